package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"time"
)

// Error describes an invalid settings file: the key, the problem and what is
// allowed.
type Error struct {
	File string
	// Line is the line of the key or, if the key is missing, of its parent.
	Line int
	// Key is empty if the error isn't about a single key.
	Key     string
	Problem string
	Allowed string
}

// Error implements error.
func (e *Error) Error() string {
	place := fmt.Sprintf("%s:%d", e.File, e.Line)
	if e.Key != "" {
		place += ": key " + e.Key
	}
	return fmt.Sprintf("%s: %s; allowed: %s", place, e.Problem, e.Allowed)
}

const (
	minBodyBytes   = 1 << 10
	maxBodyBytes   = 64 << 20
	minConnections = 16
	maxConnections = 1 << 20
	minDuration    = 10 * time.Millisecond
	maxDuration    = 24 * time.Hour
	maxNameBytes   = 100
)

// rule is one validation rule and its result.
type rule struct {
	key     string
	isMet   bool
	problem string
	allowed string
}

// check returns an *Error for the first rule that isn't met.
func (s *Settings) check(d *document) error {
	for _, r := range s.rules() {
		if r.isMet {
			continue
		}
		if !d.has(r.key) {
			r.problem = "missing"
		}
		return &Error{File: d.path, Line: d.lineOf(r.key), Key: r.key, Problem: r.problem, Allowed: r.allowed}
	}
	return nil
}

func (s *Settings) rules() []rule {
	minMemory := BodyMemoryFactor * s.Limits.BodyBytes
	return []rule{
		name("instance", s.Instance),
		name("zone", s.Zone),
		address("listen.callers", s.Listen.Callers),
		address("listen.operators", s.Listen.Operators),
		address("listen.peers", s.Listen.Peers),
		{"listen.operators", s.Listen.Operators != s.Listen.Callers, "same address as listen.callers", "an address that no other key has"},
		{"listen.peers", s.Listen.Peers != s.Listen.Callers, "same address as listen.callers", "an address that no other key has"},
		{"listen.peers", s.Listen.Peers != s.Listen.Operators, "same address as listen.operators", "an address that no other key has"},
		baseURL("platform.url", s.Platform.URL),
		secret("secrets.operatorToken", s.Secrets.OperatorToken),
		secret("secrets.fleetKey", s.Secrets.FleetKey),
		oneOf("log.level", s.Log.Level, LogLevels()),
		oneOf("log.format", s.Log.Format, LogFormats()),
		{"traces.otlpEndpoint", s.Traces.OTLPEndpoint == "" || isURL(s.Traces.OTLPEndpoint), "not a URL", "http://HOST:PORT, https://HOST:PORT or empty"},
		inRange("limits.bodyBytes", s.Limits.BodyBytes, minBodyBytes, maxBodyBytes),
		{"limits.bodyMemoryBytes", s.Limits.BodyMemoryBytes >= minMemory, "contradicts limits.bodyBytes", fmt.Sprintf("%d (%d times limits.bodyBytes) or more", minMemory, BodyMemoryFactor)},
		inRange("limits.connections", s.Limits.Connections, minConnections, maxConnections),
		duration("limits.requestDeadline", s.Limits.RequestDeadline),
		duration("shutdown.announce", s.Shutdown.Announce),
		duration("shutdown.grace", s.Shutdown.Grace),
		duration("shutdown.entryLife", s.Shutdown.EntryLife),
	}
}

// LogLevels returns the allowed values of log.level.
func LogLevels() []string { return []string{"debug", "info", "warn", "error"} }

// LogFormats returns the allowed values of log.format.
func LogFormats() []string { return []string{"text", "json"} }

func name(key, value string) rule {
	isMet := value != "" && len(value) <= maxNameBytes
	return rule{key, isMet, "empty or too long", fmt.Sprintf("a name of 1 to %d bytes", maxNameBytes)}
}

func address(key, value string) rule {
	parsed, err := netip.ParseAddrPort(value)
	isMet := err == nil && parsed.Port() != 0
	return rule{key, isMet, "not an address", "IP:PORT with a port from 1 to 65535"}
}

func baseURL(key, value string) rule {
	return rule{key, isURL(value), "not a URL", "http://HOST:PORT or https://HOST:PORT"}
}

func isURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

func secret(key string, s Secret) rule {
	return rule{key, (s.Env == "") != (s.File == ""), "both or neither of env and file", "exactly one of env and file"}
}

func oneOf(key, value string, allowed []string) rule {
	return rule{key, slices.Contains(allowed, value), "unknown value", fmt.Sprintf("one of %v", allowed)}
}

func inRange[N int | int64](key string, value, low, high N) rule {
	return rule{key, value >= low && value <= high, "out of range", fmt.Sprintf("%d to %d", low, high)}
}

func duration(key string, value time.Duration) rule {
	isMet := value >= minDuration && value <= maxDuration
	return rule{key, isMet, "out of range", fmt.Sprintf("%v to %v", minDuration, maxDuration)}
}
