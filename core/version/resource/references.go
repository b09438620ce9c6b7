package resource

import "fmt"

// Warnings names what is accepted but may be a mistake: an endpoint that serves
// a model or service which is not declared, and the deletion of one that
// endpoints serve. Declaring things in any order is allowed.
func (s *Snapshot) Warnings(change Object) []string {
	if change.Deleted {
		return s.orphans(change)
	}
	if change.Endpoint == nil {
		return nil
	}
	var warnings []string
	for _, model := range change.Endpoint.Models {
		warnings = append(warnings, s.undeclared(KindModel, model)...)
	}
	for _, service := range change.Endpoint.Services {
		warnings = append(warnings, s.undeclared(KindService, service)...)
	}
	return warnings
}

func (s *Snapshot) undeclared(kind Kind, name string) []string {
	if _, ok := s.Get(kind, name); ok {
		return nil
	}
	return []string{fmt.Sprintf("%s %q is not declared", kind, name)}
}

func (s *Snapshot) orphans(deleted Object) []string {
	served := 0
	switch deleted.Kind {
	case KindModel:
		served = len(s.endpointsByModel[deleted.Name])
	case KindService:
		served = len(s.endpointsByService[deleted.Name])
	}
	if served == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%d endpoints still serve %s %q", served, deleted.Kind, deleted.Name)}
}
