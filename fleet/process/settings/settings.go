// Package settings reads and checks a router's settings file before any port opens.
package settings

import (
	"cmp"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// Settings is everything that a router is told by its operator. It lives as
// long as the process.
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

// Listen holds the router's addresses, as HOST:PORT with an IP number.
type Listen struct {
	// Callers is where chats and service calls arrive.
	Callers string `yaml:"callers"`
	// Operators is where the resource API and the metrics are served.
	Operators string `yaml:"operators"`
	// Peers is where other routers connect.
	Peers string `yaml:"peers"`
}

// Platform says where the platform's services are.
type Platform struct {
	// URL is the base address of table service, object store and instance list.
	URL string `yaml:"url"`
}

// Secret names a secret without holding it; exactly one field is set.
type Secret struct {
	// Env is the environment variable that holds the secret.
	Env string `yaml:"env"`
	// File is the path of a file that holds it; surrounding white space is dropped.
	File string `yaml:"file"`
}

// Secrets are never logged.
type Secrets struct {
	// OperatorToken is the bearer token of the resource API.
	OperatorToken Secret `yaml:"operatorToken"`
	// FleetKey is shared by all routers and admits frames between them.
	FleetKey Secret `yaml:"fleetKey"`
}

// Log sets what is logged and how.
type Log struct {
	// Level is debug, info, warn or error; empty means info.
	Level string `yaml:"level"`
	// Format is text or json; empty means text.
	Format string `yaml:"format"`
}

// Traces sets where spans go.
type Traces struct {
	// OTLPEndpoint is the URL of an OTLP/HTTP collector; empty turns traces off.
	OTLPEndpoint string `yaml:"otlpEndpoint"`
}

// Limits bound what one request may use. Zero means the default.
type Limits struct {
	// BodyBytes is the largest request body; zero means DefaultBodyBytes.
	BodyBytes int64 `yaml:"bodyBytes"`
	// BodyMemoryBytes bounds the bodies held at once; one client account gets at
	// most a quarter. Zero means DefaultBodyMemoryBytes.
	BodyMemoryBytes int64 `yaml:"bodyMemoryBytes"`
	// Connections bounds the open connections of callers, and those of
	// operators; zero means DefaultConnections.
	Connections int `yaml:"connections"`
	// RequestDeadline bounds a request; zero means DefaultRequestDeadline.
	RequestDeadline time.Duration `yaml:"requestDeadline"`
}

// Shutdown sets how a planned stop goes.
type Shutdown struct {
	// Announce is how long the other routers may take to hear that this one
	// leaves; zero means DefaultAnnounce.
	Announce time.Duration `yaml:"announce"`
	// Grace bounds the wait for requests in flight after entry answers that
	// name this router have expired. What is still in flight then is ended with
	// the problem "stopping". Zero means DefaultShutdownGrace.
	Grace time.Duration `yaml:"grace"`
	// EntryLife is how long callers may keep an entry answer; zero means DefaultEntryLife.
	EntryLife time.Duration `yaml:"entryLife"`
}

// Defaults of settings that are left out.
const (
	DefaultBodyBytes       = 8 << 20
	DefaultBodyMemoryBytes = 256 << 20
	DefaultConnections     = 16384
	DefaultRequestDeadline = 10 * time.Minute
	DefaultAnnounce        = 10 * time.Second
	DefaultShutdownGrace   = 10 * time.Minute
	DefaultEntryLife       = 30 * time.Second
)

// BodyMemoryFactor is how many of the largest bodies the memory for bodies has
// to hold, so that one client account may send one of them.
const BodyMemoryFactor = 4

// Load reads, completes and checks the settings in the file at path.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(path, data)
}

// Parse is Load for settings that are in memory; path is named in errors. Its
// errors are of type *Error.
func Parse(path string, data []byte) (*Settings, error) {
	d, err := parseDocument(path, data)
	if err != nil {
		return nil, err
	}
	s := &Settings{}
	if err := yaml.UnmarshalWithOptions(data, s, yaml.Strict()); err != nil {
		return nil, syntaxError(path, err)
	}
	s.complete()
	if err := s.check(d); err != nil {
		return nil, err
	}
	return s, nil
}

// complete fills in the defaults.
func (s *Settings) complete() {
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
