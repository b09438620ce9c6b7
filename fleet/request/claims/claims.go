// Package claims executes at-most-once requests. It performs the actions that
// the attempts of core/request/claim return: writes to the table service,
// grouped into transactions, and a single send to an endpoint.
//
// A Manager lives as long as the process. A request continues after its caller
// disconnects, until its outcome is recorded.
package claims

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"

	"gentianhead/core/process/membership"
	"gentianhead/core/process/table"
	"gentianhead/core/request/claim"
	"gentianhead/core/request/outcome"
	"gentianhead/fleet/connection/engine"
	"gentianhead/fleet/connection/peer"
	"gentianhead/fleet/process/telemetry"
)

// Store is the part of the platform that claims use.
type Store interface {
	table.Table
	table.Objects
}

// Options configures a Manager. All fields are required.
type Options struct {
	Self  membership.Router
	Store Store
	// Peers calls the router that commits for the fleet.
	Peers Caller
	// Engine sends to endpoints; it never sends a request twice.
	Engine *engine.Client
	// View returns the routers considered live.
	View func() *membership.View
	// SendTimeout bounds the wait for an endpoint's answer.
	SendTimeout time.Duration
	Log         *slog.Logger
}

// ServiceRequest is one at-most-once request from a caller.
type ServiceRequest struct {
	ID claim.ID
	// RequestID identifies the request in traces and at the endpoint.
	RequestID string
	// Service is the name of the called service.
	Service string
	Method  string
	// Target is the path and query at the endpoint.
	Target      string
	ContentType string
	Body        []byte
	// IsRepeat reports whether the caller may have used this key before.
	IsRepeat bool
	// Endpoint and EndpointURL are empty when no endpoint is live.
	Endpoint    string
	EndpointURL string
	// IsFenced reports whether the endpoint checks fencing numbers.
	IsFenced bool
}

// Manager executes at-most-once requests. It is safe for concurrent use.
type Manager struct {
	options Options
	holder  string
	// writer queues the writes of this router; direct queues the writes that
	// this router commits itself.
	writer, direct *Writer
	relay          *relay
	tracer         trace.Tracer
	recent         *recentKeys

	mu sync.Mutex
	// inFlight holds the request IDs of the requests whose outcome is not recorded yet.
	inFlight map[claim.ID]string
	wg       sync.WaitGroup
}

// New returns a manager, which must be closed with Close.
func New(options Options) *Manager {
	m := &Manager{
		options:  options,
		holder:   holderName(options.Self),
		tracer:   otel.Tracer(telemetry.TracerName),
		recent:   newRecentKeys(),
		inFlight: make(map[claim.ID]string),
	}
	m.direct = NewWriter(TableSink(options.Store), newCommitPacer())
	m.relay = &relay{self: options.Self, view: options.View, peers: options.Peers, direct: m.direct, rate: &rowRate{}}
	m.writer = NewWriter(m.relay.sink, &pacer{})
	return m
}

func holderName(router membership.Router) string {
	return router.Instance + "/" + strconv.FormatUint(router.Incarnation, 10)
}

// Do executes a request. If its result is not known when ctx ends, Do returns what
// is known by then and the request continues.
func (m *Manager) Do(ctx context.Context, request ServiceRequest) claim.Result {
	if result := claim.CheckKeyTime(keyTime(request.ID.Key, time.Now()), time.Now()); result != nil {
		return *result
	}
	if m.isFull() {
		return claim.Overloaded(request.IsRepeat)
	}
	if !m.acquire(request) {
		return claim.InProgress()
	}
	request.IsRepeat = m.recent.add(request.ID) || request.IsRepeat
	result := make(chan claim.Result, 1)
	go m.newRun(ctx, request, result).loop(ctx.Done())
	select {
	case v := <-result:
		return m.withBody(ctx, v)
	case <-ctx.Done():
	}
	if isAwaited(ctx) {
		return <-result
	}
	return claim.InProgress()
}

// isAwaited reports whether a caller whose ctx has ended still waits for a reply: its
// deadline passed or the process stops, but it did not disconnect.
func isAwaited(ctx context.Context) bool {
	return !errors.Is(context.Cause(ctx), context.Canceled)
}

// keyTime returns the creation time of a key that is a version 7 UUID, and now
// for any other key.
func keyTime(key string, now time.Time) time.Time {
	if created := keyCreated(key); !created.IsZero() {
		return created
	}
	return now
}

func keyCreated(key string) time.Time {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}
	}
	var millis int64
	for _, b := range id[:6] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis)
}

// acquire admits one request per key at a time.
func (m *Manager) acquire(request ServiceRequest) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, busy := m.inFlight[request.ID]; busy {
		return false
	}
	m.inFlight[request.ID] = request.RequestID
	m.wg.Add(1)
	return true
}

// maxInFlight limits the requests of one router whose outcome is not recorded yet.
const maxInFlight = 10_000

func (m *Manager) isFull() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.inFlight) >= maxInFlight
}

func (m *Manager) release(id claim.ID) {
	m.mu.Lock()
	delete(m.inFlight, id)
	m.mu.Unlock()
	m.wg.Done()
}

// withBody loads the answer body from the object store if it was too large for
// the row.
func (m *Manager) withBody(ctx context.Context, result claim.Result) claim.Result {
	if result.Answer == nil || result.Answer.Object == "" || result.Answer.Body != nil {
		return result
	}
	answer := *result.Answer
	body, err := m.options.Store.GetObject(ctx, answer.Object)
	if err != nil {
		m.options.Log.Warn("Failed to read the recorded answer.", "object", answer.Object, "error", err)
		return claim.Result{Outcome: outcome.Unknown, Problem: &outcome.Problem{
			Status: 503, Code: outcome.CodeStoreDown, Outcome: outcome.Unknown,
			Detail: "the request completed, but its recorded answer can't be read now", RetryAfter: claim.RetryStoreDown,
		}}
	}
	answer.Body = body
	result.Answer = &answer
	return result
}

// Close waits until the outcome of every request is recorded or ctx ends, then
// stops the writers.
func (m *Manager) Close(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		m.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		m.logUnrecorded()
	}
	m.writer.Close()
	m.direct.Close()
}

func (m *Manager) logUnrecorded() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.options.Log.Error("Stopped before the outcome of every request was recorded.", "requests", len(m.inFlight))
	for id, requestID := range m.inFlight {
		m.options.Log.Error("The outcome of a request is not recorded.", "request", requestID, "account", id.Account, "key", id.Key)
	}
}

// Register installs the handler for claim writes from other routers.
func (m *Manager) Register(server *peer.Server) {
	server.Register(TypeWrites, peer.Handle(m.relay.answer))
}

// RequestDigest returns a digest that detects an Idempotency-Key that is reused for
// a different request.
func RequestDigest(request ServiceRequest) string {
	h := sha256.New()
	for _, part := range []string{request.Service, request.Method, request.Target, request.ContentType} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(request.Body)
	return hex.EncodeToString(h.Sum(nil))
}
