// Package routing is the decision core of one router for requests to models:
// account limits, reservations, load bounds and retries together.
//
// A Node is driven in the manner of a state machine: the caller hands it events
// with the current time and then takes from Ready what is to be done: calls to
// make to other routers, and placements of requests. Node has no I/O, clock or
// goroutine and is not safe for concurrent use.
package routing

import (
	"time"

	"gentianhead/core/request/admission"
	"gentianhead/core/request/reservation"
	"gentianhead/core/request/retry"
)

// Ticket identifies a request at its router.
type Ticket uint64

// Ask describes a request to be placed.
type Ask struct {
	Model   string
	Account string
	// Chat and Prefix are hashes of the conversation and of the long prompt
	// prefix that it shares with other chats; zero means none.
	Chat   uint64
	Prefix uint64
}

// Reason says why a request was refused.
type Reason int

const (
	// AccountLimit means that the account asks more than its rate.
	AccountLimit Reason = iota + 1
	// AccountShare means that engines are full and the account is above its share.
	AccountShare
	// LoadBound means that every engine of the pool is at the bound.
	LoadBound
	// NoEngine means that no engine may be used.
	NoEngine
	// NoObserver means that no observer of the pool could be reached.
	NoObserver
	// NoRetry means that the request failed and is not sent again.
	NoRetry
)

// Refusal is the final answer to a request that was not run.
type Refusal struct {
	Reason Reason
	// Retry says why a failed request is not sent again, after NoRetry.
	Retry retry.Reason
	// RetryAfter is when asking again helps.
	RetryAfter time.Duration
}

// Placement answers Place and Failed.
type Placement struct {
	Ticket Ticket
	// Engine is where to send the request; empty when Refusal is set.
	Engine  string
	Refusal *Refusal
}

// CallID identifies a Call at the router that makes it.
type CallID uint64

// Message is what one router asks of another: *reservation.Request,
// *reservation.Registration, *reservation.Release, *reservation.Invitation,
// *reservation.Total or *admission.Demand.
type Message any

// Reply answers a Message: *reservation.Decision to a Request, *Ack to a
// Registration, Release, Invitation or Total, and *admission.Share to a Demand.
type Reply any

// Ack answers messages that have nothing to decide.
type Ack struct {
	//lint:ignore U1000 The codec reads the tag.
	_msgpack struct{} `msgpack:",as_array"`
	// IsRegistered says that the observer knows the router.
	IsRegistered bool
}

// Call is a message to send to another router.
type Call struct {
	ID CallID
	// Instance and Address name the router to call.
	Instance string
	Address  string
	Message  Message
}

// Ready is what is to be done now.
type Ready struct {
	Calls      []Call
	Placements []Placement
}

// Account is what the configuration says of a client account.
type Account struct {
	// Limit is the rate across the fleet in requests per second; zero means none.
	Limit float64
	// Weight is the account's share when engines are full; zero means one.
	Weight int
}

// Model is what the configuration says of a model.
type Model struct {
	Name    string
	Options reservation.Options
	// Engines are the names of the engines that serve the model.
	Engines []string
}

// Config is what the configuration says of routing. Its values are not changed.
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
