package admin

import (
	"strconv"

	"gentianhead/core/version/resource"
)

// ObjectBody is the representation of a resource in reads and writes.
type ObjectBody struct {
	Kind     resource.Kind      `json:"kind" enum:"endpoint,client-account,model,service"`
	Name     string             `json:"name"`
	Revision resource.Revision  `json:"revision,omitempty" doc:"revision that last changed the resource; in a write, the revision that it must have"`
	Deleted  bool               `json:"deleted,omitempty" doc:"set in changes only"`
	Endpoint *resource.Endpoint `json:"endpoint,omitempty"`
	Account  *resource.Account  `json:"clientAccount,omitempty"`
	Model    *resource.Model    `json:"model,omitempty"`
	Service  *resource.Service  `json:"service,omitempty"`
}

// AcceptedBody is the resource after an accepted write.
type AcceptedBody struct {
	ObjectBody
	// Warnings lists references to resources that are not declared.
	Warnings []string `json:"warnings,omitempty"`
}

// ListBody contains the resources in force on the responding router.
type ListBody struct {
	Revision resource.Revision `json:"revision"`
	Items    []ObjectBody      `json:"items"`
}

// ChangesBody contains consecutive changes, oldest first. It is empty if none
// occurred within the wait time.
type ChangesBody struct {
	Changes []ObjectBody `json:"changes"`
}

// RouterStatus is the revision in force on one router, and its state.
type RouterStatus struct {
	Instance string            `json:"instance"`
	Zone     string            `json:"zone"`
	Revision resource.Revision `json:"revision" doc:"newest revision that the router reported"`
	// Unreachable routers are treated as having no revision in force.
	Unreachable bool `json:"unreachable,omitempty" doc:"not believed live, or not heard of yet; its revision counts as not in force"`
	Leaving     bool `json:"leaving,omitempty"`
}

// HasInForce reports whether the router is known to have this revision or a
// later one in force.
func (s RouterStatus) HasInForce(revision resource.Revision) bool {
	return !s.Unreachable && s.Revision >= revision
}

// StatusBody is the state of the fleet as known to the responding router.
type StatusBody struct {
	// InForceEverywhere is the highest revision in force on every router, or 0
	// while one is unreachable.
	InForceEverywhere resource.Revision `json:"inForceEverywhere"`
	Routers           []RouterStatus    `json:"routers"`
}

func toBody(o resource.Object) ObjectBody {
	return ObjectBody{o.Kind, o.Name, o.Revision, o.Deleted, o.Endpoint, o.Account, o.Model, o.Service}
}

func toBodies(objects []resource.Object) []ObjectBody {
	bodies := make([]ObjectBody, 0, len(objects))
	for _, object := range objects {
		bodies = append(bodies, toBody(object))
	}
	return bodies
}

// toObject omits the revision, which the system sets.
func toObject(b ObjectBody) resource.Object {
	return resource.Object{Kind: b.Kind, Name: b.Name, Endpoint: b.Endpoint, Account: b.Account, Model: b.Model, Service: b.Service}
}

func etag(revision resource.Revision) string {
	return strconv.Quote(strconv.FormatUint(uint64(revision), 10))
}
