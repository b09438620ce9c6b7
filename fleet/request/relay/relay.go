// Package relay takes callers' requests by host and path and hands them on to
// the endpoints of the route's service. Everything here lives for one request.
//
// The protocol that callers and endpoints speak is that of a Dialect; nothing
// here knows a header by name.
package relay

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"gentianhead/core/process/freshness"
	"gentianhead/core/request/exchange"
	"gentianhead/core/request/outcome"
	"gentianhead/core/version/routetable"
	"gentianhead/fleet/connection/upstream"
	"gentianhead/fleet/process/boottime"
)

// Dialect reads and writes the headers of callers and endpoints. The adapter of
// a platform implements it. Its methods are called from traffic goroutines.
type Dialect interface {
	// Ask reads what a request says of itself. An error means that the caller
	// has to mend the request.
	Ask(header http.Header) (exchange.Ask, error)
	// Forward returns the headers to send to an endpoint.
	Forward(caller http.Header, send exchange.Send) http.Header
	// Answer reads what an endpoint's answer says of itself.
	Answer(status int, header http.Header) exchange.Answer
	// Reply returns the headers of an endpoint's answer to hand on to the caller.
	Reply(endpoint http.Header) http.Header
	// Identify marks an answer of the router's own with the request's id.
	Identify(header http.Header, attemptID string)
}

// State is what a request is judged by. It is immutable.
type State struct {
	// Table is nil while no configuration is known.
	Table *routetable.Table
	// Lease tells for how long the secrets in Table may be honored.
	Lease freshness.Lease
}

// Options are what a Relay needs. All fields are required.
type Options struct {
	// State returns the current state. It must not block.
	State    func() State
	Dialect  Dialect
	Balancer *Balancer
	Upstream *upstream.Client
	Log      *slog.Logger
	// BodyMemory bounds the bytes of all bodies that are held at once.
	BodyMemory int64
}

// Relay serves callers. It is safe for concurrent use.
type Relay struct {
	options   Options
	lines     *lineLimit
	bodies    atomic.Int64
	isLeaving atomic.Bool
}

// New returns a relay.
func New(options Options) *Relay {
	return &Relay{options: options, lines: newLineLimit()}
}

// Leave makes the relay close each connection after the next answer on it. It
// goes on serving.
func (r *Relay) Leave() { r.isLeaving.Store(true) }

// call is one request with what is known of it.
type call struct {
	w        http.ResponseWriter
	r        *http.Request
	ask      exchange.Ask
	route    *routetable.Route
	account  *routetable.Account
	service  string
	begun    time.Duration
	body     []byte
	bodyHeld int64
	// sends counts the endpoints that bytes of the request may have reached.
	sends int
	// mayHaveRun says that an endpoint may have run the request.
	mayHaveRun bool
	// excluded are the endpoints that were tried.
	excluded []string
	// attempts are the sends with what decided them, for the log.
	attempts []outcome.Attempt
	// firstByte is the time from the request's arrival to the first byte of the
	// answer; zero while there is none.
	firstByte time.Duration
	// leaseAge is the age of the confirmation that the secret was honored by.
	leaseAge time.Duration
	// version is the configuration's version that the request was judged by.
	version int64
	// lastEvent is the last event of a stream that the caller was given.
	lastEvent string
	// isCommitted says that an answer has begun.
	isCommitted bool
	// fallback is a failure that an endpoint answered, to be handed on if no
	// other endpoint does better.
	fallback *reply
}

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	inFlight.Add(1)
	defer inFlight.Add(-1)
	c := &call{w: w, r: request, begun: boottime.Now()}
	defer func() { r.bodies.Add(-c.bodyHeld) }()
	if r.isLeaving.Load() || isAmbiguous(request) {
		w.Header().Set("Connection", "close")
	}
	failure := r.prepare(c)
	if failure == nil {
		ctx, cancel := context.WithTimeout(request.Context(), r.timeLimit(c))
		defer cancel()
		failure = r.dispatch(ctx, c)
	}
	r.finish(c, failure)
}

// isAmbiguous reports whether a request's length may have been told twice: by
// chunks and a length, or by chunks to a receiver of HTTP/1.0, which knows none.
// Such a message may hide a second request behind its end, and net/http does not
// show whether it did; nothing after it is read.
func isAmbiguous(request *http.Request) bool {
	return len(request.TransferEncoding) > 0 || !request.ProtoAtLeast(1, 1)
}

// timeLimit is how long the request may take: the caller's deadline or the
// route's limit, whichever ends first.
func (r *Relay) timeLimit(c *call) time.Duration {
	limit := c.route.Timeout
	if c.ask.Deadline > 0 && (limit == 0 || c.ask.Deadline < limit) {
		limit = c.ask.Deadline
	}
	if limit == 0 {
		limit = defaultTimeout
	}
	return limit
}

// callerLeft is how long the caller still waits.
func (c *call) callerLeft() time.Duration {
	deadline := c.ask.Deadline
	if deadline == 0 {
		deadline = defaultTimeout
	}
	return max(0, deadline-(boottime.Now()-c.begun))
}

// defaultTimeout bounds requests for which neither the route nor the caller set a limit.
const defaultTimeout = time.Minute

// finish writes the answer of a request that failed and its log line.
func (r *Relay) finish(c *call, failure *failure) {
	if failure != nil && failure.retryAfter > 0 {
		failure.retryAfter = r.options.Balancer.comeBack(c.service, failure.retryAfter, c.callerLeft())
	}
	count(c, failure)
	r.log(c, failure)
	if failure == nil {
		return
	}
	if c.isCommitted {
		// The caller must see that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
	if failure.kind == kindCallerGone {
		panic(http.ErrAbortHandler)
	}
	if c.fallback != nil {
		r.writeReply(c, c.fallback)
		return
	}
	r.writeFailure(c, failure)
}
