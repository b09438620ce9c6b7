// Package reservation keeps the load of each engine within a multiple of the
// mean load while many routers send to it.
//
// The engines of a model are split into pools. One router, the observer of a
// pool, counts every request in flight on the pool's engines; a router asks it
// for a grant before it sends and releases the grant afterwards. The observer
// follows from the live view by rendezvous hashing, so no two routers have to
// agree: an observer that may not be the only one grants no more than its own
// part of the bound.
//
// The unit of load is one request in flight: granted and not yet released. The
// bound is load <= Bound x mean + 1 after each grant; the one is there because
// loads are whole requests.
//
// Nothing here has I/O, a clock or a goroutine. Types are not safe for
// concurrent use; the caller serializes access.
package reservation

import "time"

// PoolID names a pool of a model's engines.
type PoolID struct {
	//lint:ignore U1000 The codec reads the tag.
	_msgpack struct{} `msgpack:",as_array"`
	Model    string
	Index    int
}

// Request asks the observer of a pool for a grant.
type Request struct {
	//lint:ignore U1000 The codec reads the tag.
	_msgpack struct{} `msgpack:",as_array"`
	Pool     PoolID
	// Router and Incarnation identify the process that asks.
	Router      string
	Incarnation uint64
	// Seq is unique among the requests of one incarnation; asking again with
	// the same number returns the same grant.
	Seq uint64
	// Chat and Prefix are hashes of the conversation and of its shared prefix;
	// zero means none.
	Chat   uint64
	Prefix uint64
	// Account is the client account and Weight its share; zero means one.
	Account string
	Weight  int
	// Hint is the engine that the router remembers for the chat, or empty.
	Hint string
	// Excluded engines were tried already.
	Excluded []string
	// IsFailover says that the routers that come before this one as observers
	// could not be reached.
	IsFailover bool
}

// Verdict says what the observer decided.
type Verdict int

const (
	// Granted requests may be sent to Engine.
	Granted Verdict = iota + 1
	// RefusedBound means that every engine is at the bound.
	RefusedBound
	// RefusedShare means that engines are full and the account is above its share.
	RefusedShare
	// RefusedEmpty means that the pool has no engine that may be used.
	RefusedEmpty
	// Unregistered routers have to register before they ask.
	Unregistered
	// NotServing observers will decide soon, when all routers have registered.
	NotServing
	// Redirected means that the router named in Observer is live and comes first.
	Redirected
)

// Decision answers a Request.
type Decision struct {
	//lint:ignore U1000 The codec reads the tag.
	_msgpack struct{} `msgpack:",as_array"`
	Verdict  Verdict
	// Engine is the engine that was granted.
	Engine string
	// RetryAfter is when asking again helps.
	RetryAfter time.Duration
	// Observer and Address name the router to ask instead.
	Observer string
	Address  string
}

// Grant is a request in flight as its router knows it.
type Grant struct {
	//lint:ignore U1000 The codec reads the tag.
	_msgpack struct{} `msgpack:",as_array"`
	Seq      uint64
	Engine   string
	Account  string
	Weight   int
}

// Registration makes a router known to the observer of a pool, with all that it
// has in flight there. It replaces what the observer knew of the router.
type Registration struct {
	//lint:ignore U1000 The codec reads the tag.
	_msgpack    struct{} `msgpack:",as_array"`
	Pool        PoolID
	Router      string
	Incarnation uint64
	Grants      []Grant
	// Pending requests were sent and are not answered yet.
	Pending []uint64
}

// Release ends grants of a router. An empty release renews the router's lease.
type Release struct {
	//lint:ignore U1000 The codec reads the tag.
	_msgpack    struct{} `msgpack:",as_array"`
	Pool        PoolID
	Router      string
	Incarnation uint64
	Seqs        []uint64
	// Failed is an engine that refused work as not run, or empty.
	Failed string
	// IsLeaving unregisters the router: it asks another observer from now on.
	IsLeaving bool
}

// Total is the load of a pool, sent to the observers of the model's other pools.
type Total struct {
	//lint:ignore U1000 The codec reads the tag.
	_msgpack struct{} `msgpack:",as_array"`
	Pool     PoolID
	Load     int
	Engines  int
	// Rate is how many grants end per second.
	Rate float64
}

// Invitation asks routers to register with the observer that it names.
type Invitation struct {
	//lint:ignore U1000 The codec reads the tag.
	_msgpack struct{} `msgpack:",as_array"`
	Pool     PoolID
	Observer string
	Address  string
	// Dead names the first observer, which does not run, or is empty when it
	// sends the invitation itself because it comes first no more.
	Dead string
	// IsWaiting says that the observer itself sends the invitation: it comes
	// first and grants nothing until the invited router has registered.
	IsWaiting bool
}
