package routetable

import (
	"testing"

	"gotest.tools/v3/assert"
)

func spec() Spec {
	return Spec{
		Version: 3,
		Routes: []Route{
			{Name: "root", Host: "a.example", Prefix: "/", Targets: []Target{{"one", 1}}},
			{Name: "deep", Host: "A.example", Prefix: "/x/y/", Targets: []Target{{"one", 9}, {"two", 1}}},
			{Name: "mid", Host: "a.example", Prefix: "/x/", Targets: []Target{{"one", 1}}},
		},
		Accounts: []Credentials{{Account: Account{Name: "mill"}, Secrets: []string{"k1", "k2"}}},
	}
}

// Guards against requests routed by a shorter prefix or by another host's routes.
func TestMatchLongestPrefix(t *testing.T) {
	table, err := New(spec())
	assert.NilError(t, err)
	for path, want := range map[string]string{"/x/y/z": "deep", "/x/yy": "mid", "/x": "root", "/x/y": "mid"} {
		route, ok := table.Match("a.EXAMPLE:80", path)
		assert.Assert(t, ok)
		assert.Equal(t, route.Name, want, path)
	}
	_, ok := table.Match("b.example", "/x/")
	assert.Assert(t, !ok)
}

// Guards against a request that gets the route of another one as an encoded slash is taken for
// a slash, and against one that gets none as other characters are encoded.
func TestDecodePath(t *testing.T) {
	table, err := New(spec())
	assert.NilError(t, err)
	for path, want := range map[string]string{
		"/x/y/z": "deep", "/x/y%2Fz": "mid", "/x/y%2fz/": "mid", "/x%2Fy/z": "root", "//x/y/z": "root", "/%78/y/z": "deep", "/x/%79/%7a": "deep", "/x/y/%": "deep",
	} {
		route, ok := table.Match("a.example", DecodePath(path))
		assert.Assert(t, ok)
		assert.Equal(t, route.Name, want, path)
	}
}

// Guards against finding an account by only one of its secrets.
func TestAccountWithSeveralSecrets(t *testing.T) {
	table, err := New(spec())
	assert.NilError(t, err)
	for _, secret := range []string{"k1", "k2"} {
		account, ok := table.Account(secret)
		assert.Assert(t, ok)
		assert.Equal(t, account.Name, "mill")
	}
	_, ok := table.Account("")
	assert.Assert(t, !ok)
}

// Guards against access without a secret once the last secret, or the last account, has been
// taken away, and against an empty secret that admits requests without one.
func TestAccountRequiredWithoutSecrets(t *testing.T) {
	for name, example := range map[string]struct {
		spec Spec
		want bool
	}{
		"account without secrets": {Spec{Accounts: []Credentials{{Account: Account{Name: "mill"}}}}, true},
		"empty secret":            {Spec{Accounts: []Credentials{{Account: Account{Name: "mill"}, Secrets: []string{""}}}}, true},
		"no account":              {Spec{RequiresAccount: true}, true},
		"no list of accounts":     {Spec{}, false},
	} {
		table, err := New(example.spec)
		assert.NilError(t, err)
		assert.Equal(t, table.RequiresAccount(), example.want, name)
		_, isKnown := table.Account("")
		assert.Assert(t, !isKnown, name)
	}
}

// Guards against a split that ignores the weights or has no target near point 1.
func TestPickByWeight(t *testing.T) {
	table, err := New(spec())
	assert.NilError(t, err)
	route, _ := table.Match("a.example", "/x/y/z")
	assert.Equal(t, route.Pick(0.89), "one")
	assert.Equal(t, route.Pick(0.91), "two")
	assert.Equal(t, route.Pick(0.9999999), "two")
}

// Guards against accepting a route that can match no path or has no target.
func TestNewInvalidRoute(t *testing.T) {
	for _, route := range []Route{
		{Prefix: "x/", Targets: []Target{{"s", 1}}},
		{Prefix: "/x", Targets: []Target{{"s", 1}}},
		{Prefix: "/x/"},
		{Prefix: "/x/", Targets: []Target{{"s", 0}}},
		{Prefix: "/x/", Targets: []Target{{"s", 2}, {"r", -1}}},
	} {
		_, err := New(Spec{Routes: []Route{route}})
		assert.Assert(t, err != nil, "%+v", route)
	}
}

// Guards against a route whose first fault hides another one.
func TestFaultsOfRoute(t *testing.T) {
	route := Route{Prefix: "a", Targets: []Target{{Service: "s", Weight: -1}, {Service: "t", Weight: 1}}}
	assert.Equal(t, len(route.Faults()), 3)
	_, err := New(Spec{Routes: []Route{route}})
	assert.ErrorContains(t, err, "starts and ends with a slash")
}
