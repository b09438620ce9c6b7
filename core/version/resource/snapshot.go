package resource

import (
	"maps"
	"slices"
	"strings"
)

// Snapshot is the whole configuration at one revision. It is immutable: Apply
// returns a new one. Readers may share it between goroutines.
type Snapshot struct {
	revision Revision
	objects  map[Key]Object
	// endpointsByModel and endpointsByService hold live endpoint names, sorted.
	endpointsByModel   map[string][]string
	endpointsByService map[string][]string
	accountByToken     map[string]string
}

// NewSnapshot returns the configuration that objects make up at revision.
// Deleted objects are left out.
func NewSnapshot(revision Revision, objects []Object) *Snapshot {
	byKey := make(map[Key]Object, len(objects))
	for _, o := range objects {
		if !o.Deleted {
			byKey[o.Key()] = o
		}
	}
	return index(revision, byKey)
}

// Apply returns the snapshot after changes, which must be in revision order and
// directly follow s. It returns false when they do not.
func (s *Snapshot) Apply(changes []Object) (*Snapshot, bool) {
	if len(changes) == 0 {
		return s, true
	}
	objects := maps.Clone(s.objects)
	next := s.revision
	for _, change := range changes {
		if change.Revision != next+1 {
			return s, false
		}
		next = change.Revision
		if change.Deleted {
			delete(objects, change.Key())
			continue
		}
		objects[change.Key()] = change
	}
	return index(next, objects), true
}

func index(revision Revision, objects map[Key]Object) *Snapshot {
	s := &Snapshot{
		revision:           revision,
		objects:            objects,
		endpointsByModel:   make(map[string][]string),
		endpointsByService: make(map[string][]string),
		accountByToken:     make(map[string]string),
	}
	for _, o := range s.List("") {
		switch {
		case o.Endpoint != nil && !o.Endpoint.Withdrawn:
			for _, model := range o.Endpoint.Models {
				s.endpointsByModel[model] = append(s.endpointsByModel[model], o.Name)
			}
			for _, service := range o.Endpoint.Services {
				s.endpointsByService[service] = append(s.endpointsByService[service], o.Name)
			}
		case o.Account != nil:
			s.accountByToken[o.Account.TokenSHA256] = o.Name
		}
	}
	return s
}

// Revision returns the revision of the newest change in s.
func (s *Snapshot) Revision() Revision {
	return s.revision
}

// Get returns the object with this kind and name.
func (s *Snapshot) Get(kind Kind, name string) (Object, bool) {
	o, ok := s.objects[Key{Kind: kind, Name: name}]
	return o, ok
}

// List returns the objects of kind, or of every kind when it is empty, sorted
// by kind and name.
func (s *Snapshot) List(kind Kind) []Object {
	list := make([]Object, 0, len(s.objects))
	for _, o := range s.objects {
		if kind == "" || o.Kind == kind {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b Object) int {
		if c := strings.Compare(string(a.Kind), string(b.Kind)); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	return list
}

// EndpointsOfModel returns the names of endpoints that serve model and are not
// withdrawn. The caller must not change the slice.
func (s *Snapshot) EndpointsOfModel(model string) []string {
	return s.endpointsByModel[model]
}

// AccountByToken returns the client account whose token has this SHA-256, in
// lower-case hex. A map lookup on a digest does not leak the token by its timing.
func (s *Snapshot) AccountByToken(tokenSHA256 string) (string, bool) {
	name, ok := s.accountByToken[tokenSHA256]
	return name, ok
}
