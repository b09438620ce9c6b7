// Package resource defines the resources that operators declare: endpoints,
// client accounts, models and plain services. Values are immutable once they are
// in a Snapshot.
package resource

import (
	"path"
	"strings"
)

// Kind is the type of a resource.
type Kind string

// Kinds of resources. The values are used in the API and in stored objects.
const (
	KindEndpoint Kind = "endpoint"
	KindAccount  Kind = "client-account"
	KindModel    Kind = "model"
	KindService  Kind = "service"
)

// Kinds returns all kinds in display order.
func Kinds() []Kind {
	return []Kind{KindEndpoint, KindAccount, KindModel, KindService}
}

// Revision is the version number of the fleet's configuration. Each accepted
// change increments it; a rollback is a new change with a new revision. Zero is
// the empty configuration.
type Revision uint64

// Object is one resource at one revision. Unless Deleted, exactly the field for
// its Kind is set.
type Object struct {
	Kind Kind   `json:"kind" msgpack:"k"`
	Name string `json:"name" msgpack:"n"`
	// Revision is the fleet revision that last changed this object.
	Revision Revision  `json:"revision" msgpack:"r"`
	Deleted  bool      `json:"deleted,omitempty" msgpack:"d,omitempty"`
	Endpoint *Endpoint `json:"endpoint,omitempty" msgpack:"e,omitempty"`
	Account  *Account  `json:"clientAccount,omitempty" msgpack:"a,omitempty"`
	Model    *Model    `json:"model,omitempty" msgpack:"m,omitempty"`
	Service  *Service  `json:"service,omitempty" msgpack:"s,omitempty"`
}

// Key identifies an object across revisions.
type Key struct {
	Kind Kind
	Name string
}

// Key returns the kind and name of o, which are the same at all of its revisions.
func (o Object) Key() Key {
	return Key{Kind: o.Kind, Name: o.Name}
}

// FencingMode defines how an endpoint treats the fencing number of a request.
type FencingMode string

const (
	// FencingIgnored endpoints accept any number.
	FencingIgnored FencingMode = "ignored"
	// FencingChecked endpoints reject a number below the highest one accepted.
	FencingChecked FencingMode = "checked"
)

// Endpoint is one model engine or one server of a plain service.
type Endpoint struct {
	// URL is the base address, such as http://10.0.0.7:8000.
	URL string `json:"url" msgpack:"u"`
	// Zone is the availability zone that the endpoint runs in.
	Zone string `json:"zone" msgpack:"z"`
	// Models are the models that the engine serves; empty for a plain service.
	Models []string `json:"models,omitempty" msgpack:"m,omitempty"`
	// Services are the plain services that the endpoint serves.
	Services []string `json:"services,omitempty" msgpack:"s,omitempty"`
	// Withdrawn endpoints receive no new request.
	Withdrawn bool        `json:"withdrawn,omitempty" msgpack:"w,omitempty"`
	Fencing   FencingMode `json:"fencing,omitempty" msgpack:"f,omitempty"`
}

// Account is a client account. Its bearer token authenticates the account's requests.
type Account struct {
	// TokenSHA256 is the lower-case hex SHA-256 of the account's bearer token.
	TokenSHA256 string `json:"tokenSha256" msgpack:"t"`
	// RequestsPerSecond limits the account across the fleet; zero means no limit.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty" msgpack:"r,omitempty"`
	// Weight is the account's share when engines are full; zero means one.
	Weight int `json:"weight,omitempty" msgpack:"w,omitempty"`
	// Priority is passed on to engines; higher is served first.
	Priority int `json:"priority,omitempty" msgpack:"p,omitempty"`
}

// Model is a model that engines serve.
type Model struct {
	// LoadBound is the maximum load of an engine as a multiple of the mean load;
	// zero means DefaultLoadBound.
	LoadBound float64 `json:"loadBound,omitempty" msgpack:"b,omitempty"`
	// ReuseWeight in [0,1] balances cache reuse (1) against even load (0).
	ReuseWeight float64 `json:"reuseWeight,omitempty" msgpack:"w,omitempty"`
}

// DefaultLoadBound applies to models without a LoadBound, as a multiple of the mean load.
const DefaultLoadBound = 1.25

// Service is a plain service, which is not a model engine.
type Service struct {
	// NonIdempotent lists the paths whose requests run at most once, as MatchesPath
	// compares them.
	NonIdempotent []string `json:"nonIdempotent,omitempty" msgpack:"n,omitempty"`
}

// MatchesPath reports whether a pattern of a service's paths matches a path. A pattern
// ending in * matches as a prefix; others ignore a trailing slash.
func MatchesPath(pattern, servicePath string) bool {
	prefix, isPrefix := strings.CutSuffix(pattern, "*")
	return path.Clean(servicePath) == path.Clean(pattern) || isPrefix && strings.HasPrefix(servicePath, prefix)
}
