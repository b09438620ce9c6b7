// Package withdrawal keeps which endpoints are withdrawn beside those that the
// configuration says: those that the platform's list shows as leaving or no
// longer shows, and those that answered that they are withdrawn. A mark expires,
// so that a wrong one heals; whoever still sees the reason renews it.
//
// Marks travel between routers in heartbeats. The core has no I/O and no clock
// and belongs to one goroutine; Set is immutable and may be shared.
package withdrawal

import (
	"cmp"
	"maps"
	"net/url"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Source says how a withdrawal was learned.
type Source uint8

const (
	// SourceEndpoint means that the endpoint refused work as withdrawn.
	SourceEndpoint Source = iota
	// SourceList means that the platform's list shows it as leaving or gone.
	SourceList
)

const (
	// MarkLife is how long a mark lasts that nobody renews.
	MarkLife = 2 * time.Minute
	// RenewBefore is the remaining life below which a reader of the list renews
	// a mark that it still sees a reason for.
	RenewBefore = MarkLife / 2
	// MinLife is the least remaining life with which a mark is passed on. It is
	// above the time that a heartbeat travels, so that two routers cannot keep a
	// mark alive between them.
	MinLife = 2 * time.Second
	// MaxMarks bounds the marks of one router and of one message.
	MaxMarks = 512
)

// Mark says that an endpoint is withdrawn for a while.
type Mark struct {
	// Address is the endpoint's host:port.
	Address string `msgpack:"a"`
	Source  Source `msgpack:"s,omitempty"`
	// LifeMillis is the remaining life of the mark in milliseconds.
	LifeMillis int64 `msgpack:"l"`
}

// Listed is an endpoint as the platform's list shows it.
type Listed struct {
	Address   string
	IsLeaving bool
}

// Event is something that the core learns. The types in this file are all of them.
type Event interface{ isEvent() }

// Refused reports that the endpoint at Address answered that it is withdrawn.
type Refused struct {
	At      time.Time
	Address string
}

// Configured are the addresses of the endpoints that the configuration names.
type Configured struct{ Addresses []string }

// ListRead is the list of endpoints as read at At.
type ListRead struct {
	At        time.Time
	Endpoints []Listed
}

// Heard are the marks of a peer.
type Heard struct {
	At    time.Time
	Marks []Mark
}

// Tick lets time pass.
type Tick struct{ At time.Time }

func (Refused) isEvent()    {}
func (Configured) isEvent() {}
func (ListRead) isEvent()   {}
func (Heard) isEvent()      {}
func (Tick) isEvent()       {}

// Set is an immutable set of withdrawn endpoints.
type Set struct {
	addresses map[string]struct{}
	hash      uint64
}

// Has reports whether the endpoint at address (host:port) is
// withdrawn. A nil set is empty.
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
	source Source
	until  time.Time
}

// Core keeps the marks of one router.
type Core struct {
	marks map[string]mark
	// listed are the endpoints of the last trusted list, and gone those that an
	// earlier list had and that the configuration still names.
	listed map[string]bool
	gone   map[string]bool
	// configured is nil until the first Configured.
	configured map[string]bool
	set        *Set
	// hasNews says that the last event withdrew an endpoint.
	hasNews bool
}

// New returns a core without marks.
func New() *Core {
	return &Core{
		marks:  make(map[string]mark),
		listed: make(map[string]bool),
		gone:   make(map[string]bool),
		set:    &Set{},
	}
}

// Set returns the endpoints that are withdrawn now.
func (c *Core) Set() *Set {
	return c.set
}

// Step takes one event in and reports whether an endpoint was newly withdrawn,
// which peers should hear at once.
func (c *Core) Step(event Event) bool {
	c.hasNews = false
	switch e := event.(type) {
	case Refused:
		c.put(e.Address, mark{SourceEndpoint, e.At.Add(MarkLife)})
	case Configured:
		c.stepConfigured(e)
	case ListRead:
		c.stepList(e)
	case Heard:
		c.stepHeard(e)
	case Tick:
		c.expire(e.At)
	}
	return c.hasNews
}

func (c *Core) put(address string, m mark) {
	old, known := c.marks[address]
	if known && !m.until.After(old.until) {
		return
	}
	if !known && len(c.marks) >= MaxMarks {
		return
	}
	c.marks[address] = m
	if !known {
		c.hasNews = true
		c.rebuild()
	}
}

func (c *Core) stepConfigured(e Configured) {
	c.configured = make(map[string]bool, len(e.Addresses))
	for _, address := range e.Addresses {
		c.configured[address] = true
	}
	maps.DeleteFunc(c.gone, func(address string, _ bool) bool { return !c.configured[address] })
}

// stepList withdraws what is leaving, and what an earlier list had and this one
// lacks. A list that lost more than half of the endpoints at once is taken for
// a fault of the list.
func (c *Core) stepList(e ListRead) {
	listed := make(map[string]bool, len(e.Endpoints))
	for _, endpoint := range e.Endpoints {
		listed[endpoint.Address] = true
		delete(c.gone, endpoint.Address)
		if endpoint.IsLeaving {
			c.renew(endpoint.Address, e.At)
		}
	}
	if c.isImplausible(listed) {
		return
	}
	for address := range c.listed {
		if !listed[address] && (c.configured == nil || c.configured[address]) {
			c.gone[address] = true
		}
	}
	c.listed = listed
	for address := range c.gone {
		c.renew(address, e.At)
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

// renew marks an endpoint or lengthens a mark that is half spent.
func (c *Core) renew(address string, at time.Time) {
	if old, known := c.marks[address]; known && old.until.Sub(at) > RenewBefore {
		return
	}
	c.put(address, mark{SourceList, at.Add(MarkLife)})
}

func (c *Core) stepHeard(e Heard) {
	for _, heard := range e.Marks[:min(len(e.Marks), MaxMarks)] {
		life := min(time.Duration(heard.LifeMillis)*time.Millisecond, MarkLife)
		if life >= MinLife {
			c.put(heard.Address, mark{heard.Source, e.At.Add(life)})
		}
	}
}

func (c *Core) expire(at time.Time) {
	before := len(c.marks)
	maps.DeleteFunc(c.marks, func(_ string, m mark) bool { return !m.until.After(at) })
	if len(c.marks) != before {
		c.rebuild()
	}
}

func (c *Core) rebuild() {
	set := &Set{addresses: make(map[string]struct{}, len(c.marks))}
	for address := range c.marks {
		set.addresses[address] = struct{}{}
		set.hash ^= xxhash.Sum64String(address)
	}
	c.set = set
}

// AddressOf returns the host:port of an endpoint's base URL, with the port of its
// scheme if it names none, or an empty string if it is no URL.
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

// Marks returns what peers should hear, in the order of addresses.
func (c *Core) Marks(at time.Time) []Mark {
	marks := make([]Mark, 0, len(c.marks))
	for address, m := range c.marks {
		if life := m.until.Sub(at); life >= MinLife {
			marks = append(marks, Mark{Address: address, Source: m.source, LifeMillis: life.Milliseconds()})
		}
	}
	slices.SortFunc(marks, func(a, b Mark) int { return cmp.Compare(a.Address, b.Address) })
	return marks
}
