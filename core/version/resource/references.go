package resource

import "fmt"

// Warnings describes possible mistakes in a valid change: an endpoint serves an
// undeclared model or service, or endpoints still serve a deleted one. They are
// accepted so that resources can be declared in any order.
func (s *Snapshot) Warnings(change Object) []string {
	if change.Deleted {
		return s.deletionWarnings(change)
	}
	if change.Endpoint == nil {
		return nil
	}
	var warnings []string
	for _, model := range change.Endpoint.Models {
		warnings = append(warnings, s.undeclaredWarnings(KindModel, model)...)
	}
	for _, service := range change.Endpoint.Services {
		warnings = append(warnings, s.undeclaredWarnings(KindService, service)...)
	}
	return warnings
}

func (s *Snapshot) undeclaredWarnings(kind Kind, name string) []string {
	if _, ok := s.Get(kind, name); ok {
		return nil
	}
	return []string{fmt.Sprintf("%s %q is not declared", kind, name)}
}

func (s *Snapshot) deletionWarnings(deleted Object) []string {
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
