// Package routetable indexes one version of the configuration for request
// routing: routes, services, client accounts and limits. A Table is immutable; a
// new version replaces it.
package routetable

import (
	"crypto/sha256"
	"fmt"
	"net"
	"net/url"
	"slices"
	"strings"
	"time"
)

// Kind defines how often a request may run and the form of its response.
type Kind uint8

const (
	// AtMostOnce requests run once or not at all.
	AtMostOnce Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests receive a response of events. They run at most once unless
	// the route is resumable.
	Stream
)

// Target is one of the services among which a route splits its requests.
type Target struct {
	Service string
	// Weight is the target's share of the sum of weights.
	Weight int
}

// Route maps a host and path prefix to target services.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Kind    Kind
	Targets []Target
	// Timeout is the maximum duration of a request.
	Timeout time.Duration
	// TargetLatency is the latency objective: the time to a complete response, or
	// to the first event of a stream.
	TargetLatency time.Duration
	// MaxAttempts is the maximum number of endpoints that a request is sent to.
	MaxAttempts int
	// Priority of the route; 0 is the highest.
	Priority int
	// IsAnonymous routes need no account.
	IsAnonymous bool
	// IsResumable streams may run more than once.
	IsResumable bool
	Homes       Homes
}

// IsRetryable reports whether a request that may have run can be retried.
func (r *Route) IsRetryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.IsResumable
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name string
	// Engine is nil for plain services.
	Engine *Engine
	// ColdStart is how long an endpoint is cold after it started, and ColdPerSecond the rate
	// above which it crashes meanwhile, in requests per second; zero if it has no limit.
	ColdStart     time.Duration
	ColdPerSecond float64
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently; zero means
	// the number that the endpoint registers.
	Slots int
	// MemoryTokens is the number of tokens, of prompts and output, that the running requests
	// of an engine may hold; zero if that is not known.
	MemoryTokens int
	// CopyPerToken is the time to copy the cached state of a token from another engine; zero if
	// that is not known.
	CopyPerToken time.Duration
}

// Account is a client account, which callers authenticate as with a secret.
type Account struct {
	Name string
	// Priority overrides the route's priority unless nil.
	Priority *int
	Homes    Homes
}

// Credentials are the secrets of one account.
type Credentials struct {
	Account Account
	Secrets []string
}

// Limits on the requests of a caller. Zero means none; the router may then apply its own.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Spec is the declared form of a version.
type Spec struct {
	// Version increases with each change.
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Credentials
	// RequiresAccount is set if requests must present the secret of an account, also while
	// there is none. Any account sets it as well.
	RequiresAccount bool
	Limits          Limits
	// Skipped are the values that were skipped since they can't be read, for the log.
	Skipped []string
}

// Table is the indexed form of a version.
type Table struct {
	Version  int64
	Limits   Limits
	byHost   map[string][]*Route
	services map[string]*Service
	accounts map[[sha256.Size]byte]*Account

	requiresAccount bool
}

// New indexes a version. It returns an error for a route with a malformed prefix,
// a negative weight or no target with a positive weight.
func New(spec Spec) (*Table, error) {
	t := &Table{
		Version:  spec.Version,
		Limits:   spec.Limits,
		byHost:   make(map[string][]*Route),
		services: make(map[string]*Service, len(spec.Services)),
		accounts: make(map[[sha256.Size]byte]*Account),

		requiresAccount: spec.RequiresAccount || len(spec.Accounts) > 0,
	}
	for i := range spec.Services {
		t.services[spec.Services[i].Name] = &spec.Services[i]
	}
	for i := range spec.Routes {
		if err := t.addRoute(&spec.Routes[i]); err != nil {
			return nil, err
		}
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range spec.Accounts {
		for _, secret := range spec.Accounts[i].Secrets {
			if secret == "" {
				// It would admit requests without a secret.
				continue
			}
			t.accounts[sha256.Sum256([]byte(secret))] = &spec.Accounts[i].Account
		}
	}
	return t, nil
}

func (t *Table) addRoute(route *Route) error {
	if faults := route.Faults(); len(faults) > 0 {
		return fmt.Errorf("route %q: %w", route.Name, faults[0])
	}
	host := NormalizeHost(route.Host)
	t.byHost[host] = append(t.byHost[host], route)
	return nil
}

// Fault is an invalid field of a route. It is an error, as New returns it.
type Fault struct {
	// Field is the name of the field of Route.
	Field, Value, Allowed string
}

// Error implements error.
func (f Fault) Error() string {
	return fmt.Sprintf("%s %q: allowed: %s", f.Field, f.Value, f.Allowed)
}

// Faults returns the fields for which New refuses a route.
func (r *Route) Faults() []Fault {
	var faults []Fault
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		faults = append(faults, Fault{Field: "Prefix", Value: r.Prefix, Allowed: "a path that starts and ends with a slash"})
	}
	totalWeight := 0
	for _, target := range r.Targets {
		if target.Weight < 0 {
			faults = append(faults, Fault{Field: "Targets", Value: fmt.Sprintf("weight %d for service %q", target.Weight, target.Service), Allowed: "weights of 0 or more"})
		}
		totalWeight += target.Weight
	}
	if totalWeight == 0 {
		faults = append(faults, Fault{Field: "Targets", Value: "weights that sum to 0", Allowed: "at least one service with a positive weight"})
	}
	return faults
}

// DecodePath returns the path of a request target, as it was sent, in the form that Match
// takes: decoded, except for encoded slashes, which separate no segments (RFC 3986, 2.2).
func DecodePath(escaped string) string {
	segments := strings.Split(escaped, "/")
	for i, segment := range segments {
		decoded, err := url.PathUnescape(segment)
		if err != nil {
			continue
		}
		segments[i] = strings.ReplaceAll(decoded, "/", "%2F")
	}
	return strings.Join(segments, "/")
}

// Match returns the route of host with the longest matching prefix of path, which is in the
// form of DecodePath.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, route := range t.byHost[NormalizeHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// NormalizeHost strips the port and lower-cases the host name.
func NormalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Service returns the service with this name, and whether it exists.
func (t *Table) Service(name string) (*Service, bool) {
	service, ok := t.services[name]
	return service, ok
}

// Account returns the account that secret belongs to. The lookup is by digest, so
// its timing leaks nothing about the secrets.
func (t *Table) Account(secret string) (*Account, bool) {
	account, ok := t.accounts[sha256.Sum256([]byte(secret))]
	return account, ok
}

// RequiresAccount reports whether requests must present the secret of an account.
func (t *Table) RequiresAccount() bool { return t.requiresAccount }

// Pick returns the service at a point in [0, 1) of the route's weighted split.
func (r *Route) Pick(point float64) string {
	sum := 0
	for _, target := range r.Targets {
		sum += target.Weight
	}
	remaining := point * float64(sum)
	for _, target := range r.Targets {
		if remaining -= float64(target.Weight); remaining < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
