// Package routing makes one router's decisions on requests to models. It combines
// account limits, reservations, load bounds and retries.
//
// A Node is a state machine: the caller passes it events with the current time
// and then takes the resulting actions from Ready: calls to other routers and
// placements of requests. A Node does no I/O, reads no clock, starts no goroutine
// and is not safe for concurrent use.
package routing

import (
	"time"

	"gentianhead/core/request/admission"
	"gentianhead/core/request/reservation"
	"gentianhead/core/request/retry"
)

// Ticket identifies a request at its router.
type Ticket uint64

// PlacementRequest describes a request to be placed.
type PlacementRequest struct {
	Model   string
	Account string
	// Chat and Prefix are hashes of the conversation and of the long prompt
	// prefix that it shares with other chats; zero means none.
	Chat   uint64
	Prefix uint64
	// Excluded engines take no request from this router now.
	Excluded []string
}

// Reason is why a request was refused.
type Reason int

const (
	// AccountLimit means that the account is above its request rate.
	AccountLimit Reason = iota + 1
	// AccountShare means that engines are full and the account is above its share.
	AccountShare
	// LoadBound means that every engine of the pool is at the bound.
	LoadBound
	// NoEngine means that there is no usable engine.
	NoEngine
	// NoObserver means that no observer of the pool could be reached.
	NoObserver
	// NoRetry means that the request failed and is not retried.
	NoRetry
)

// Refusal is the final answer to a request that gets no engine.
type Refusal struct {
	Reason Reason
	// Retry is why a failed request is not retried. It is set with NoRetry.
	Retry retry.Reason
	// RetryAfter is the delay before the caller should retry.
	RetryAfter time.Duration
}

// Placement is the result of Place and Failed.
type Placement struct {
	Ticket Ticket
	// Engine is the engine to send the request to; empty if Refusal is set.
	Engine  string
	Refusal *Refusal
}

// CallID identifies a Call at the router that makes it.
type CallID uint64

// Message is a message from one router to another: *reservation.Request,
// *reservation.Registration, *reservation.Release, *reservation.Invitation,
// *reservation.Total or *admission.Demand.
type Message any

// Reply is the reply to a Message: *reservation.Decision to a Request, *Ack to a
// Registration, Release, Invitation or Total, and *admission.Share to a Demand.
type Reply any

// Ack acknowledges messages that need no decision.
type Ack struct {
	//lint:ignore U1000 The codec reads the tag.
	_msgpack struct{} `msgpack:",as_array"`
	// IsRegistered reports whether the router is registered with the observer.
	IsRegistered bool
}

// Call is a message to send to another router.
type Call struct {
	ID CallID
	// Instance and Address identify the router to call.
	Instance string
	Address  string
	Message  Message
}

// Ready has the actions for the caller to perform.
type Ready struct {
	Calls      []Call
	Placements []Placement
}

// Account is the configuration of a client account.
type Account struct {
	// Limit is the rate limit across the fleet in requests per second; zero means
	// no limit.
	Limit float64
	// Weight is the account's share when engines are full; zero is treated as one.
	Weight int
}

// Model is the configuration of a model.
type Model struct {
	Name    string
	Options reservation.Options
	// Engines are the names of the engines that serve the model.
	Engines []string
}

// Config is the configuration of routing. Its values must not be modified.
type Config struct {
	Models   []Model
	Accounts map[string]Account
}

// specs splits the engines of each model into pools.
func (c Config) specs() (specs map[reservation.PoolID]reservation.Spec, members map[string][]reservation.Member) {
	specs = make(map[reservation.PoolID]reservation.Spec)
	members = make(map[string][]reservation.Member)
	for _, model := range c.Models {
		members[model.Name] = reservation.Members(model.Engines)
		for i, engines := range reservation.Pools(model.Engines) {
			id := reservation.PoolID{Model: model.Name, Index: i}
			specs[id] = reservation.Spec{Options: model.Options, ModelEngines: len(model.Engines), Engines: engines}
		}
	}
	return specs, members
}

var (
	_ Message = (*admission.Demand)(nil)
	_ Reply   = (*admission.Share)(nil)
)
