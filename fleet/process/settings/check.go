package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"
)

// RangeError says which key holds a value that is not allowed.
type RangeError struct {
	File string
	// Line is the line of the key, or zero when the key is missing.
	Line    int
	Key     string
	Allowed string
}

// Error implements error.
func (e *RangeError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: key %s is missing: allowed: %s", e.File, e.Key, e.Allowed)
	}
	return fmt.Sprintf("%s:%d: key %s: allowed: %s", e.File, e.Line, e.Key, e.Allowed)
}

// rule is one condition on the settings.
type rule struct {
	key     string
	isMet   bool
	allowed string
}

// check returns the first rule that is broken.
func (s *Settings) check(path string, data []byte) error {
	for _, r := range s.rules() {
		if !r.isMet {
			return &RangeError{File: path, Line: lineOf(data, r.key), Key: r.key, Allowed: r.allowed}
		}
	}
	return nil
}

func (s *Settings) rules() []rule {
	const address = "IP:PORT with a port from 1 to 65535"
	return []rule{
		{"instance", s.Instance != "" && len(s.Instance) <= 100, "a name of 1 to 100 bytes"},
		{"zone", s.Zone != "", "the name of an availability zone"},
		{"listen.callers", isAddress(s.Listen.Callers), address},
		{"listen.operators", isAddress(s.Listen.Operators), address},
		{"listen.peers", isAddress(s.Listen.Peers), address},
		{"listen.operators", s.Listen.Operators != s.Listen.Callers, "an address that no other key uses"},
		{"listen.peers", s.Listen.Peers != s.Listen.Callers && s.Listen.Peers != s.Listen.Operators, "an address that no other key uses"},
		{"platform.url", isURL(s.Platform.URL), "http://HOST:PORT or https://HOST:PORT"},
		{"secrets.operatorToken", s.Secrets.OperatorToken.isNamed(), "exactly one of env and file"},
		{"secrets.fleetKey", s.Secrets.FleetKey.isNamed(), "exactly one of env and file"},
		{"log.level", slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level), "debug, info, warn or error"},
		{"log.format", slices.Contains([]string{"text", "json"}, s.Log.Format), "text or json"},
		{"traces.otlpEndpoint", s.Traces.OTLPEndpoint == "" || isURL(s.Traces.OTLPEndpoint), "http://HOST:PORT, https://HOST:PORT or empty"},
		{"limits.bodyBytes", s.Limits.BodyBytes >= 1024 && s.Limits.BodyBytes <= 64<<20, "1024 to 67108864"},
		{"limits.requestDeadline", s.Limits.RequestDeadline > 0, "a duration above 0, such as 10m"},
		{"shutdown.announce", s.Shutdown.Announce > 0, "a duration above 0, such as 10s"},
		{"shutdown.grace", s.Shutdown.Grace > 0, "a duration above 0, such as 10m"},
		{"shutdown.entryLife", s.Shutdown.EntryLife > 0, "a duration above 0, such as 30s"},
	}
}

func (s Secret) isNamed() bool {
	return (s.Env == "") != (s.File == "")
}

func isAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}

func isURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

// lineOf returns the line at which key stands, or zero.
func lineOf(data []byte, key string) int {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return 0
	}
	path, err := yaml.PathString("$." + key)
	if err != nil {
		return 0
	}
	node, err := path.FilterFile(file)
	if err != nil || node.GetToken() == nil {
		return 0
	}
	return node.GetToken().Position.Line
}
