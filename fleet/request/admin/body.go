package admin

import (
	"strconv"

	"gentianhead/core/version/resource"
)

// ObjectBody is a resource as operators read and write it.
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

// AcceptedBody is a resource as it was written.
type AcceptedBody struct {
	ObjectBody
	// Warnings name references to what is not declared.
	Warnings []string `json:"warnings,omitempty"`
}

// ListBody holds the resources in force on the router that answers.
type ListBody struct {
	Revision resource.Revision `json:"revision"`
	Items    []ObjectBody      `json:"items"`
}

// ChangesBody holds consecutive changes, oldest first. It is empty when none
// came within the time to wait.
type ChangesBody struct {
	Changes []ObjectBody `json:"changes"`
}

// RouterStatus says what one router has in force.
type RouterStatus struct {
	Instance string            `json:"instance"`
	Zone     string            `json:"zone"`
	Revision resource.Revision `json:"revision" doc:"newest revision that the router reported"`
	// Unreachable routers are not counted as having any revision in force.
	Unreachable bool `json:"unreachable,omitempty" doc:"not believed live, or not heard of yet; its revision counts as not in force"`
	Leaving     bool `json:"leaving,omitempty"`
}

// HasInForce says that the router is known to have this revision or a later one.
func (s RouterStatus) HasInForce(revision resource.Revision) bool {
	return !s.Unreachable && s.Revision >= revision
}

// StatusBody is the state of the fleet as the router that answers knows it.
type StatusBody struct {
	// InForceEverywhere is the highest revision that every router has; zero
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

// object leaves the revision out: the system sets it.
func objectOf(b ObjectBody) resource.Object {
	return resource.Object{Kind: b.Kind, Name: b.Name, Endpoint: b.Endpoint, Account: b.Account, Model: b.Model, Service: b.Service}
}

func etag(revision resource.Revision) string {
	return strconv.Quote(strconv.FormatUint(uint64(revision), 10))
}
