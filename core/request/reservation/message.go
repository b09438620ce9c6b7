// Package reservation keeps the load of each engine within a multiple of the
// mean load while many routers send to it.
//
// The engines of a model are split into pools. One router, the observer of a
// pool, counts every request in flight on the pool's engines; a router requests
// a grant from it before sending and releases the grant afterwards. The observer
// is chosen from the live view by rendezvous hashing, without agreement between
// routers: an observer that may not be the only one grants nothing.
//
// The unit of load is one request in flight: granted and not yet released. The
// bound is load <= Bound x mean + 1 after each grant; the one is added because
// loads are whole requests.
//
// The package does no I/O, reads no clock and starts no goroutine. Types are not
// safe for concurrent use; the caller serializes access.
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
	// Router and Incarnation identify the requesting process.
	Router      string
	Incarnation uint64
	// Seq is unique among the requests of one incarnation; a repeated number
	// returns the same grant.
	Seq uint64
	// Chat and Prefix are hashes of the conversation and of its shared prefix;
	// zero means none.
	Chat   uint64
	Prefix uint64
	// Account is the client account and Weight its share; zero is treated as one.
	Account string
	Weight  int
	// Hint is the engine that the router last used for the chat, or empty.
	Hint string
	// Excluded engines were tried already.
	Excluded []string
	// IsFailover is set when the observers that rank higher could not be reached.
	IsFailover bool
}

// Verdict is the observer's decision on a Request.
type Verdict int

const (
	// Granted means that the request may be sent to Engine.
	Granted Verdict = iota + 1
	// RefusedBound means that every engine is at the bound.
	RefusedBound
	// RefusedShare means that engines are full and the account is above its share.
	RefusedShare
	// RefusedNoEngine means that the pool has no usable engine.
	RefusedNoEngine
	// Unregistered means that the router must register first.
	Unregistered
	// NotServing means that the observer grants nothing now: it may not be the only
	// one. A new observer serves once all live routers have registered.
	NotServing
	// Redirected means that the router named in Observer is live and ranks first.
	Redirected
)

// Decision is the reply to a Request.
type Decision struct {
	//lint:ignore U1000 The codec reads the tag.
	_msgpack struct{} `msgpack:",as_array"`
	Verdict  Verdict
	// Engine is the engine that was granted.
	Engine string
	// RetryAfter is the delay before the next request after a refusal.
	RetryAfter time.Duration
	// Observer and Address identify the router to ask instead.
	Observer string
	Address  string
}

// Grant is a request in flight as recorded by its router.
type Grant struct {
	//lint:ignore U1000 The codec reads the tag.
	_msgpack struct{} `msgpack:",as_array"`
	Seq      uint64
	Engine   string
	Account  string
	Weight   int
}

// Registration registers a router with the observer of a pool, with all of its
// grants there. It replaces the observer's earlier state of the router.
type Registration struct {
	//lint:ignore U1000 The codec reads the tag.
	_msgpack    struct{} `msgpack:",as_array"`
	Pool        PoolID
	Router      string
	Incarnation uint64
	Grants      []Grant
	// Pending lists the requests without a reply yet.
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
	// Failed is an engine that refused a request without running it, or empty.
	Failed string
	// IsLeaving unregisters the router, which has moved to another observer.
	IsLeaving bool
}

// Total is the load of a pool, sent to the observers of the model's other pools.
type Total struct {
	//lint:ignore U1000 The codec reads the tag.
	_msgpack struct{} `msgpack:",as_array"`
	Pool     PoolID
	Load     int
	Engines  int
	// Rate is the number of grants that end per second.
	Rate float64
}

// Invitation asks routers to register with Observer.
type Invitation struct {
	//lint:ignore U1000 The codec reads the tag.
	_msgpack struct{} `msgpack:",as_array"`
	Pool     PoolID
	Observer string
	Address  string
	// Dead is the former observer if it is not running. It is empty when the former
	// observer sends the invitation itself because it no longer ranks first.
	Dead string
	// IsWaiting is set when the first-ranked observer sends the invitation
	// itself; it grants nothing until the invited router has registered.
	IsWaiting bool
}
