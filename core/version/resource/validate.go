package resource

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// ValidationError reports the invalid field of an object, its value and its allowed values.
type ValidationError struct {
	Key   Key
	Field string
	// Value is empty for fields that may hold a secret by mistake.
	Value   string
	Allowed string
}

// Error returns a message with the object's kind and name, the field and its allowed
// values.
func (e *ValidationError) Error() string {
	return fmt.Sprintf("%s %q: %s: allowed: %s", e.Key.Kind, e.Key.Name, e.Field, e.Allowed)
}

const (
	// MaxNameBytes is the longest name of an object.
	MaxNameBytes = 100
	// MaxListEntries is the maximum number of models, services or paths in an object.
	MaxListEntries = 256
	// MaxLoadBound is the largest load bound, as a multiple of the mean load.
	MaxLoadBound = 10
	// MaxWeight is the largest share weight of a client account.
	MaxWeight = 1000
)

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)
	tokenPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	// emptyTokenSHA256 is the digest of an empty token, which a caller without one has too.
	emptyTokenSHA256 = hex.EncodeToString(sha256.New().Sum(nil))
)

// Validate returns a ValidationError for the first invalid field of o, or nil.
func (o Object) Validate() error {
	if faults := o.Faults(); len(faults) > 0 {
		return faults[0]
	}
	return nil
}

// Faults returns a ValidationError for each invalid field of o.
func (o Object) Faults() []*ValidationError {
	f := &faults{key: o.Key()}
	f.check(len(o.Name) <= MaxNameBytes && namePattern.MatchString(o.Name),
		"name", o.Name, "1 to 100 characters of a-z 0-9 . _ -, starting and ending with a letter or digit")
	switch {
	case o.Deleted:
	case !slices.Contains(Kinds(), o.Kind):
		f.check(false, "kind", o.Kind, "endpoint, client-account, model or service")
	case !o.hasMatchingSpec():
		f.check(false, "spec", "", "exactly one field, the one that matches the kind")
	case o.Kind == KindEndpoint:
		f.checkEndpoint(o.Endpoint)
	case o.Kind == KindAccount:
		f.checkAccount(o.Account)
	case o.Kind == KindModel:
		f.checkModel(o.Model)
	case o.Kind == KindService:
		f.checkService(o.Service)
	}
	return f.list
}

// faults collects the invalid fields of one object.
type faults struct {
	key  Key
	list []*ValidationError
}

func (f *faults) check(isValid bool, field string, value any, allowed string) {
	if !isValid {
		f.list = append(f.list, &ValidationError{Key: f.key, Field: field, Value: fmt.Sprint(value), Allowed: allowed})
	}
}

func (o Object) hasMatchingSpec() bool {
	present := map[Kind]bool{
		KindEndpoint: o.Endpoint != nil,
		KindAccount:  o.Account != nil,
		KindModel:    o.Model != nil,
		KindService:  o.Service != nil,
	}
	count := 0
	for _, set := range present {
		if set {
			count++
		}
	}
	return count == 1 && present[o.Kind]
}

func (f *faults) checkEndpoint(e *Endpoint) {
	f.check(isEndpointURL(e.URL), "endpoint.url", e.URL, "http://HOST:PORT or https://HOST:PORT")
	f.check(e.Zone != "", "endpoint.zone", e.Zone, "the name of an availability zone")
	f.check(len(e.Models)+len(e.Services) > 0, "endpoint.models", "", "at least one model or service")
	f.check(len(e.Models) <= MaxListEntries && len(e.Services) <= MaxListEntries,
		"endpoint.models", len(e.Models)+len(e.Services), "at most 256 models and 256 services")
	f.check(e.Fencing == "" || e.Fencing == FencingIgnored || e.Fencing == FencingChecked,
		"endpoint.fencing", e.Fencing, "ignored or checked")
}

// isEndpointURL reports whether a URL names one port of one machine, by default that of its
// scheme. The unspecified address and an IPv6 zone mean something else on each router.
func isEndpointURL(text string) bool {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return false
	}
	host, port := u.Hostname(), u.Port()
	if host == "" || strings.HasSuffix(u.Host, ":") || strings.Contains(host, "%") {
		return false
	}
	if ip, err := netip.ParseAddr(host); err == nil && (ip.IsUnspecified() || ip.IsMulticast()) {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return port == "" || err == nil && number > 0
}

func (f *faults) checkAccount(a *Account) {
	// The value may be a token instead of its digest.
	f.check(tokenPattern.MatchString(a.TokenSHA256), "clientAccount.tokenSha256", "", "64 lower-case hex digits")
	f.check(a.TokenSHA256 != emptyTokenSHA256, "clientAccount.tokenSha256", "", "the digest of a token that is not empty")
	f.check(a.RequestsPerSecond >= 0, "clientAccount.requestsPerSecond", a.RequestsPerSecond, "0 (no limit) or more")
	f.check(a.Weight >= 0 && a.Weight <= MaxWeight, "clientAccount.weight", a.Weight, "0 to 1000")
}

func (f *faults) checkModel(m *Model) {
	f.check(m.LoadBound == 0 || m.LoadBound >= 1 && m.LoadBound <= MaxLoadBound,
		"model.loadBound", m.LoadBound, "1 to 10, or 0 for the default of 1.25")
	f.check(m.ReuseWeight >= 0 && m.ReuseWeight <= 1, "model.reuseWeight", m.ReuseWeight, "0 to 1")
}

func (f *faults) checkService(s *Service) {
	f.check(len(s.NonIdempotent) <= MaxListEntries, "service.nonIdempotent", len(s.NonIdempotent), "at most 256 paths")
	for _, path := range s.NonIdempotent {
		f.check(strings.HasPrefix(path, "/"), "service.nonIdempotent", path, "paths that start with /")
	}
}
