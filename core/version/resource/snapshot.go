package resource

import (
	"maps"
	"slices"
	"strings"
)

// Snapshot is the complete configuration at one revision. It is immutable (Apply
// returns a new one) and safe for concurrent use.
type Snapshot struct {
	revision Revision
	objects  map[Key]Object
	// endpointsByModel and endpointsByService hold the sorted names of the
	// endpoints that are not withdrawn.
	endpointsByModel   map[string][]string
	endpointsByService map[string][]string
	accountByTokenHash map[string]string
}

// NewSnapshot returns a snapshot of objects at revision, without deleted objects.
func NewSnapshot(revision Revision, objects []Object) *Snapshot {
	byKey := make(map[Key]Object, len(objects))
	for _, o := range objects {
		if !o.Deleted {
			byKey[o.Key()] = o
		}
	}
	return newIndexedSnapshot(revision, byKey)
}

// Apply returns the snapshot after changes. It returns s and false unless their
// revisions are consecutive and directly follow s.
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
	return newIndexedSnapshot(next, objects), true
}

func newIndexedSnapshot(revision Revision, objects map[Key]Object) *Snapshot {
	s := &Snapshot{
		revision:           revision,
		objects:            objects,
		endpointsByModel:   make(map[string][]string),
		endpointsByService: make(map[string][]string),
		accountByTokenHash: make(map[string]string),
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
			s.accountByTokenHash[o.Account.TokenSHA256] = o.Name
		}
	}
	return s
}

// Revision returns the revision of the latest change in s.
func (s *Snapshot) Revision() Revision {
	return s.revision
}

// Get returns the object of this kind and name, and whether it exists.
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

// AccountByTokenHash returns the client account whose token has this SHA-256, in
// lower-case hex. The timing of a map lookup by digest does not leak the token.
func (s *Snapshot) AccountByTokenHash(tokenSHA256 string) (string, bool) {
	name, ok := s.accountByTokenHash[tokenSHA256]
	return name, ok
}
