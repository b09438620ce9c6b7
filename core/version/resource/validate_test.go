package resource

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an endpoint that no router can reach, or that is another machine for each.
func TestValidateEndpointURL(t *testing.T) {
	validate := func(url string) error {
		return Object{Kind: KindEndpoint, Name: "e-1", Endpoint: &Endpoint{URL: url, Zone: "a", Models: []string{"m"}}}.Validate()
	}
	for _, url := range []string{
		"", "http://", "http://:80", "http://host:", "http://host:0", "http://host:-1", "http://host:65536", "http://host:99999999",
		"http://host:1e3", "http://host:80:80", "http://[fe80::1%25lo]:80", "http://[fe80::1%lo]:80", "http://[::1", "http://::1:80",
		"http://0.0.0.0:80", "http://[::]:80", "http://224.0.0.1:80", "ftp://host:80", "host:80", "http://u@host:80", "http://host:80?x=1",
		"http://host:80#x", "http://host\n:80", "http://ho st:80",
	} {
		assert.Assert(t, validate(url) != nil, url)
	}
	for _, url := range []string{"http://host", "http://host:1", "https://host:65535", "http://10.0.0.1:8000", "http://[2001:db8::1]:80", "http://host:80/engine"} {
		assert.NilError(t, validate(url), url)
	}
}

// Guards against an account whose token is empty, as a file or variable was: every caller
// without a token would have it.
func TestValidateEmptyToken(t *testing.T) {
	account := func(digest string) error {
		return Object{Kind: KindAccount, Name: "mill", Account: &Account{TokenSHA256: digest}}.Validate()
	}
	assert.ErrorContains(t, account("e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"), "not empty")
	assert.NilError(t, account("e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b856"))
}

// Guards against a fault that hides another one, and against a token that is printed because it
// stands where its digest belongs.
func TestFaultsNameEveryField(t *testing.T) {
	faults := Object{Kind: KindAccount, Name: "Mill", Account: &Account{TokenSHA256: "a-token", Weight: -1}}.Faults()
	assert.Equal(t, len(faults), 3)
	assert.Equal(t, faults[0].Value, "Mill")
	assert.Equal(t, faults[1].Value, "")
	assert.Equal(t, faults[2].Value, "-1")
	assert.ErrorContains(t, Object{Kind: "route", Name: "r"}.Validate(), "kind")
}
