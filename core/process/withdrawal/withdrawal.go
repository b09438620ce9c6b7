// Package withdrawal tracks endpoints that are withdrawn in addition to those
// withdrawn by the configuration: endpoints that the platform's list shows as
// leaving or no longer contains, and endpoints that answered that they are
// withdrawn. A mark expires, so a wrong one doesn't last; routers that still see
// the reason renew it.
//
// Routers exchange marks in heartbeats. The core has no I/O and no clock and must
// be used by one goroutine only; Set is immutable and may be shared.
package withdrawal

import (
	"cmp"
	"maps"
	"net/url"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Source is the origin of a withdrawal.
type Source uint8

const (
	// SourceEndpoint means that the endpoint refused work as withdrawn.
	SourceEndpoint Source = iota
	// SourceList means that the platform's list shows the endpoint as leaving or no
	// longer contains it.
	SourceList
)

const (
	// MarkTTL is the TTL of a mark that is not renewed.
	MarkTTL = 2 * time.Minute
	// RenewBefore is the remaining TTL at or below which a mark is renewed if the
	// list still gives a reason for it.
	RenewBefore = MarkTTL / 2
	// MinTTL is the minimum remaining TTL of marks that are sent or accepted. It
	// exceeds the transit time of a heartbeat, so two routers can't keep renewing a
	// mark for each other.
	MinTTL = 2 * time.Second
	// MaxMarks limits the marks of one router and of one message.
	MaxMarks = 512
)

// Mark withdraws an endpoint until its TTL expires.
type Mark struct {
	// Address is the endpoint's host:port.
	Address string `msgpack:"a"`
	Source  Source `msgpack:"s,omitempty"`
	// TTLMillis is the remaining TTL in milliseconds.
	TTLMillis int64 `msgpack:"l"`
}

// ListedEndpoint is an endpoint in the platform's list.
type ListedEndpoint struct {
	Address   string
	IsLeaving bool
}

// Event is an input of the core: one of the types in this file.
type Event interface{ isEvent() }

// Refused reports that the endpoint at Address answered that it is withdrawn.
type Refused struct {
	At      time.Time
	Address string
}

// Configured holds the addresses of all endpoints in the configuration.
type Configured struct{ Addresses []string }

// ListRead is the platform's list of endpoints, read at At.
type ListRead struct {
	At        time.Time
	Endpoints []ListedEndpoint
}

// PeerMarks holds marks received from a peer.
type PeerMarks struct {
	At    time.Time
	Marks []Mark
}

// Tick advances the time.
type Tick struct{ At time.Time }

func (Refused) isEvent()    {}
func (Configured) isEvent() {}
func (ListRead) isEvent()   {}
func (PeerMarks) isEvent()  {}
func (Tick) isEvent()       {}

// Set is an immutable set of withdrawn endpoints.
type Set struct {
	addresses map[string]struct{}
	hash      uint64
}

// Has reports whether the endpoint at address (host:port) is withdrawn. A nil set
// is empty.
func (s *Set) Has(address string) bool {
	if s == nil {
		return false
	}
	_, ok := s.addresses[address]
	return ok
}

// Len returns how many endpoints are withdrawn.
func (s *Set) Len() int {
	return len(s.addresses)
}

// Hash returns the same number for equal sets, and zero for an empty one.
func (s *Set) Hash() uint64 {
	return s.hash
}

type mark struct {
	source    Source
	expiresAt time.Time
}

// Core holds the marks of one router.
type Core struct {
	marks map[string]mark
	// listed holds the endpoints of the latest plausible list, and delisted those that
	// are missing from it but were in an earlier list and are still configured.
	listed   map[string]bool
	delisted map[string]bool
	// configured is nil until the first Configured.
	configured map[string]bool
	set        *Set
	// hasNewMark reports that the latest event withdrew an endpoint.
	hasNewMark bool
}

// New returns a core without marks.
func New() *Core {
	return &Core{
		marks:    make(map[string]mark),
		listed:   make(map[string]bool),
		delisted: make(map[string]bool),
		set:      &Set{},
	}
}

// Set returns the endpoints that are currently withdrawn.
func (c *Core) Set() *Set {
	return c.set
}

// Step processes one event and reports whether it withdrew another endpoint; the
// caller should then push the marks to peers.
func (c *Core) Step(event Event) bool {
	c.hasNewMark = false
	switch e := event.(type) {
	case Refused:
		c.putMark(e.Address, mark{SourceEndpoint, e.At.Add(MarkTTL)})
	case Configured:
		c.stepConfigured(e)
	case ListRead:
		c.stepList(e)
	case PeerMarks:
		c.stepPeerMarks(e)
	case Tick:
		c.expireMarks(e.At)
	}
	return c.hasNewMark
}

func (c *Core) putMark(address string, m mark) {
	old, known := c.marks[address]
	if known && !m.expiresAt.After(old.expiresAt) {
		return
	}
	if !known && len(c.marks) >= MaxMarks {
		return
	}
	c.marks[address] = m
	if !known {
		c.hasNewMark = true
		c.rebuildSet()
	}
}

func (c *Core) stepConfigured(e Configured) {
	c.configured = make(map[string]bool, len(e.Addresses))
	for _, address := range e.Addresses {
		c.configured[address] = true
	}
	maps.DeleteFunc(c.delisted, func(address string, _ bool) bool { return !c.configured[address] })
}

// stepList withdraws endpoints that are leaving, and those in an earlier list that
// are missing from this one. A list that lost several endpoints at once, and more
// than half of them, is treated as faulty.
func (c *Core) stepList(e ListRead) {
	listed := make(map[string]bool, len(e.Endpoints))
	for _, endpoint := range e.Endpoints {
		listed[endpoint.Address] = true
		delete(c.delisted, endpoint.Address)
		if endpoint.IsLeaving {
			c.renewMark(endpoint.Address, e.At)
		}
	}
	if c.isImplausible(listed) {
		return
	}
	for address := range c.listed {
		if !listed[address] && (c.configured == nil || c.configured[address]) {
			c.delisted[address] = true
		}
	}
	c.listed = listed
	for address := range c.delisted {
		c.renewMark(address, e.At)
	}
}

func (c *Core) isImplausible(listed map[string]bool) bool {
	missing := 0
	for address := range c.listed {
		if !listed[address] {
			missing++
		}
	}
	return missing > 1 && 2*missing > len(c.listed)
}

// renewMark marks an endpoint, or extends its mark if at most RenewBefore remains.
func (c *Core) renewMark(address string, at time.Time) {
	if old, known := c.marks[address]; known && old.expiresAt.Sub(at) > RenewBefore {
		return
	}
	c.putMark(address, mark{SourceList, at.Add(MarkTTL)})
}

func (c *Core) stepPeerMarks(e PeerMarks) {
	for _, received := range e.Marks[:min(len(e.Marks), MaxMarks)] {
		ttl := min(time.Duration(received.TTLMillis)*time.Millisecond, MarkTTL)
		if ttl >= MinTTL {
			c.putMark(received.Address, mark{received.Source, e.At.Add(ttl)})
		}
	}
}

func (c *Core) expireMarks(at time.Time) {
	before := len(c.marks)
	maps.DeleteFunc(c.marks, func(_ string, m mark) bool { return !m.expiresAt.After(at) })
	if len(c.marks) != before {
		c.rebuildSet()
	}
}

func (c *Core) rebuildSet() {
	set := &Set{addresses: make(map[string]struct{}, len(c.marks))}
	for address := range c.marks {
		set.addresses[address] = struct{}{}
		set.hash ^= xxhash.Sum64String(address)
	}
	c.set = set
}

// AddressOf returns the host:port of an endpoint's base URL, with the default port
// of its scheme if the URL has none, or an empty string if the URL is invalid.
func AddressOf(base string) string {
	parsed, err := url.Parse(base)
	if err != nil || parsed.Host == "" {
		return ""
	}
	if parsed.Port() != "" {
		return parsed.Host
	}
	if parsed.Scheme == "https" {
		return parsed.Host + ":443"
	}
	return parsed.Host + ":80"
}

// Marks returns the marks to send to peers, sorted by address.
func (c *Core) Marks(at time.Time) []Mark {
	marks := make([]Mark, 0, len(c.marks))
	for address, m := range c.marks {
		if ttl := m.expiresAt.Sub(at); ttl >= MinTTL {
			marks = append(marks, Mark{Address: address, Source: m.source, TTLMillis: ttl.Milliseconds()})
		}
	}
	slices.SortFunc(marks, func(a, b Mark) int { return cmp.Compare(a.Address, b.Address) })
	return marks
}
