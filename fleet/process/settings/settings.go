// Package settings loads and validates a router's settings file. Routers load it
// at startup, before they open any port.
package settings

import (
	"cmp"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// Settings holds a router's settings. They don't change while the process runs.
type Settings struct {
	// Instance is the router's name, unique in the fleet.
	Instance string `yaml:"instance"`
	// Zone is the availability zone that the router runs in.
	Zone     string   `yaml:"zone"`
	Listen   Listen   `yaml:"listen"`
	Platform Platform `yaml:"platform"`
	Secrets  Secrets  `yaml:"secrets"`
	Log      Log      `yaml:"log"`
	Traces   Traces   `yaml:"traces"`
	Limits   Limits   `yaml:"limits"`
	Shutdown Shutdown `yaml:"shutdown"`
}

// Listen holds the router's listen addresses, as IP:PORT.
type Listen struct {
	// Callers is the address for chats and service calls.
	Callers string `yaml:"callers"`
	// Operators is the address of the resource API and the metrics.
	Operators string `yaml:"operators"`
	// Peers is the address for other routers.
	Peers string `yaml:"peers"`
}

// Platform locates the platform's services.
type Platform struct {
	// URL is the base URL of the table service, object store and instance list.
	URL string `yaml:"url"`
}

// Secret refers to the source of a secret; exactly one field is set.
type Secret struct {
	// Env is the environment variable that holds the secret.
	Env string `yaml:"env"`
	// File is the path of a file that holds it; surrounding white space is trimmed.
	File string `yaml:"file"`
}

// Secrets holds the sources of the router's secrets, whose values are never logged.
type Secrets struct {
	// OperatorToken is the bearer token of the resource API.
	OperatorToken Secret `yaml:"operatorToken"`
	// FleetKey is shared by all routers. Only peers that prove to have it may
	// exchange frames with a router.
	FleetKey Secret `yaml:"fleetKey"`
}

// Log configures logging.
type Log struct {
	// Level is debug, info, warn or error; empty means info.
	Level string `yaml:"level"`
	// Format is text or json; empty means text.
	Format string `yaml:"format"`
}

// Traces configures the export of spans.
type Traces struct {
	// OTLPEndpoint is the URL of an OTLP/HTTP collector; empty disables the export.
	OTLPEndpoint string `yaml:"otlpEndpoint"`
}

// Limits bounds the resources that requests and connections use. Zero means the
// default.
type Limits struct {
	// BodyBytes is the maximum size of a request body; zero means DefaultBodyBytes.
	BodyBytes int64 `yaml:"bodyBytes"`
	// BodyMemoryBytes bounds the memory for all request bodies; one client account
	// gets at most a quarter. Zero means DefaultBodyMemoryBytes or BodyMemoryFactor
	// times BodyBytes, whichever is larger.
	BodyMemoryBytes int64 `yaml:"bodyMemoryBytes"`
	// Connections bounds the open connections of callers and, separately, of
	// operators; zero means DefaultConnections.
	Connections int `yaml:"connections"`
	// RequestDeadline bounds the duration of a request; zero means
	// DefaultRequestDeadline.
	RequestDeadline time.Duration `yaml:"requestDeadline"`
}

// Shutdown configures graceful shutdown.
type Shutdown struct {
	// Announce is the time for the other routers to learn that this one is
	// leaving; zero means DefaultAnnounce.
	Announce time.Duration `yaml:"announce"`
	// Grace bounds the wait for requests in flight after entry responses that name
	// this router have expired. Requests still in flight then end with the problem
	// "stopping". Zero means DefaultShutdownGrace.
	Grace time.Duration `yaml:"grace"`
	// EntryLife is how long callers may cache a response of /v1/entry; zero means
	// DefaultEntryLife.
	EntryLife time.Duration `yaml:"entryLife"`
}

// Default values.
const (
	DefaultBodyBytes       = 8 << 20
	DefaultBodyMemoryBytes = 256 << 20
	DefaultConnections     = 16384
	DefaultRequestDeadline = 10 * time.Minute
	DefaultAnnounce        = 10 * time.Second
	DefaultShutdownGrace   = 10 * time.Minute
	DefaultEntryLife       = 30 * time.Second
)

// BodyMemoryFactor is the minimum ratio of Limits.BodyMemoryBytes to
// Limits.BodyBytes. A client account gets a quarter of the memory, which must fit
// one body of the maximum size.
const BodyMemoryFactor = 4

// Load reads the settings file at path, fills in defaults and validates the result.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(path, data)
}

// Parse is like Load for settings in memory; path is used in errors. Its errors
// are of type *Error.
func Parse(path string, data []byte) (*Settings, error) {
	d, err := parseDocument(path, data)
	if err != nil {
		return nil, err
	}
	s := &Settings{}
	if err := yaml.UnmarshalWithOptions(data, s, yaml.Strict()); err != nil {
		return nil, syntaxError(path, err)
	}
	s.applyDefaults()
	if err := s.check(d); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Settings) applyDefaults() {
	s.Log.Level = cmp.Or(s.Log.Level, "info")
	s.Log.Format = cmp.Or(s.Log.Format, "text")
	s.Limits.BodyBytes = cmp.Or(s.Limits.BodyBytes, DefaultBodyBytes)
	s.Limits.BodyMemoryBytes = cmp.Or(s.Limits.BodyMemoryBytes, max(DefaultBodyMemoryBytes, BodyMemoryFactor*s.Limits.BodyBytes))
	s.Limits.Connections = cmp.Or(s.Limits.Connections, DefaultConnections)
	s.Limits.RequestDeadline = cmp.Or(s.Limits.RequestDeadline, DefaultRequestDeadline)
	s.Shutdown.Announce = cmp.Or(s.Shutdown.Announce, DefaultAnnounce)
	s.Shutdown.Grace = cmp.Or(s.Shutdown.Grace, DefaultShutdownGrace)
	s.Shutdown.EntryLife = cmp.Or(s.Shutdown.EntryLife, DefaultEntryLife)
}
