// Package gateway is the HTTP interface for callers: chats, calls to plain
// services, and entry queries, which return the addresses of routers. An exchange
// and what it refers to live for one request.
package gateway

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"log/slog"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"gentianhead/core/process/drain"
	"gentianhead/core/process/membership"
	"gentianhead/core/request/outcome"
	"gentianhead/core/request/quarantine"
	"gentianhead/fleet/connection/engine"
	"gentianhead/fleet/process/control"
	"gentianhead/fleet/process/memory"
	"gentianhead/fleet/process/settings"
	"gentianhead/fleet/process/telemetry"
	"gentianhead/fleet/request/claims"
)

// HeaderChat carries the ID of the conversation that a request belongs to.
const HeaderChat = "X-Chat-Id"

// Limits of a caller's request, besides its body size.
const (
	// MaxHeaderBytes limits the size of the request header.
	MaxHeaderBytes = 32 << 10
	// ReadHeaderTimeout bounds reading the request header.
	ReadHeaderTimeout = 5 * time.Second
	// BodyReadTimeout bounds reading the body.
	BodyReadTimeout = 30 * time.Second
	// bodyPauseTimeout bounds a pause in the body.
	bodyPauseTimeout = 15 * time.Second
	// refusedReadTimeout bounds reading the body of a refused request.
	refusedReadTimeout = 200 * time.Millisecond
)

// Options configures a Gateway. All fields are required.
type Options struct {
	Control  *control.Loop
	Engine   *engine.Client
	Claims   *claims.Manager
	Limits   settings.Limits
	Shutdown settings.Shutdown
	Log      *slog.Logger
}

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	options Options
	tracer  trace.Tracer
	bodies  *bodyMemory
	crashes *crashGuard
	rates   *rateGuard
	drain   *drainGuard
}

// New returns a gateway.
func New(options Options) *Gateway {
	crashes := newCrashGuard(options.Control.Instance(), options.Log)
	options.Control.ShareCrashes(crashes)
	rates := newRateGuard(options.Control.Instance(), func() *membership.View { return options.Control.State().View }, options.Log)
	options.Control.ShareRates(rates)
	options.Engine.SetRates(rates)
	return &Gateway{
		options: options,
		tracer:  otel.Tracer(telemetry.TracerName),
		bodies:  newBodyMemory(options.Limits.BodyMemoryBytes),
		crashes: crashes,
		rates:   rates,
		drain:   newDrainGuard(),
	}
}

// Handler returns the HTTP interface for callers.
func (g *Gateway) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", g.drain.track(g.serve(g.chat)))
	mux.HandleFunc(servicesPath+"{service}/{path...}", g.drain.track(g.serve(g.service)))
	mux.HandleFunc("GET /v1/entry", g.entry)
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", g.ready)
	return g.withRecovery(withReadDeadline(withProblems(mux)))
}

// exchange is the state of one request.
type exchange struct {
	w       http.ResponseWriter
	r       *http.Request
	id      string
	account string
	chat    string
	body    []byte
	// reservedBytes is the body memory reserved for body.
	reservedBytes int64
	// event is a reused buffer for writing events.
	event []byte
	// abortProblem is why a started answer can't be completed, or nil.
	abortProblem *outcome.Problem
	// isClaimKnown reports whether the answer is based on the key's claim.
	isClaimKnown bool
	// parts are the parts of the request that may crash an endpoint. isSent is set once it
	// was sent to one, and isServed once that is known to have survived it.
	parts            []quarantine.Part
	isSent, isServed bool
	// inFlight is the request's entry in the durations, or nil.
	inFlight *drain.Request
	// state is the control state at the start of the request.
	state *control.State
}

// handlerFunc serves an exchange. It returns a problem only if nothing has been
// written to the caller.
type handlerFunc func(ctx context.Context, x *exchange) *outcome.Problem

// serve wraps a handler with the steps common to all requests: ID, trace,
// account, body and deadline.
func (g *Gateway) serve(next handlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		inFlight.Add(1)
		defer inFlight.Add(-1)
		x := &exchange{w: w, r: r, id: requestID(r), state: g.options.Control.State()}
		w.Header().Set(engine.HeaderRequestID, x.id)
		ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, cancel := context.WithTimeout(ctx, g.timeout(r))
		defer cancel()
		ctx, span := g.tracer.Start(ctx, "gateway "+r.Method, trace.WithSpanKind(trace.SpanKindServer),
			trace.WithAttributes(attribute.String("request.id", x.id)))
		defer span.End()
		defer func() { g.bodies.release(x.account, x.reservedBytes) }()
		defer g.drain.end(x)
		problem := g.prepare(ctx, x)
		if problem == nil {
			problem = next(ctx, x)
		} else {
			// Don't wait for the rest of the body.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusedReadTimeout))
		}
		problem = x.withRepeatOutcome(withStopCause(ctx, problem))
		g.finish(x, span, cmp.Or(problem, x.abortProblem), start)
		if problem != nil {
			writeProblem(w, x.id, problem)
		}
		if x.abortProblem != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// requestID returns the caller's request ID if it is valid, or a new one. It is
// used to find the request in logs and need not be unique.
func requestID(r *http.Request) string {
	if id := r.Header.Get(engine.HeaderRequestID); requestIDPattern.MatchString(id) {
		return id
	}
	return uuid.NewString()
}

var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._:~-]{1,128}$`)

// timeout returns the router's limit for a request, or less if the caller
// requests less.
func (g *Gateway) timeout(r *http.Request) time.Duration {
	limit := g.options.Limits.RequestDeadline
	millis, err := strconv.ParseInt(r.Header.Get(engine.HeaderDeadline), 10, 64)
	if err != nil || millis <= 0 || millis > limit.Milliseconds() {
		return limit
	}
	return time.Duration(millis) * time.Millisecond
}

// prepare checks the router's state, authenticates the account and reads the
// body.
func (g *Gateway) prepare(ctx context.Context, x *exchange) *outcome.Problem {
	if !x.state.IsReady {
		return notRun(http.StatusServiceUnavailable, outcome.CodeNotReady, "no configuration is in force on this router yet").retryAfter(time.Second)
	}
	if g.options.Control.IsIsolated() {
		return isolatedProblem()
	}
	if problem := x.authenticate(); problem != nil {
		return problem
	}
	if problem := g.drain.admitBody(remaining(ctx)); problem != nil {
		return problem
	}
	x.chat = x.r.Header.Get(HeaderChat)
	return g.readBody(ctx, x)
}

func (x *exchange) authenticate() *outcome.Problem {
	token, ok := strings.CutPrefix(x.r.Header.Get("Authorization"), "Bearer ")
	digest := sha256.Sum256([]byte(token))
	account, known := x.state.Config.AccountByTokenHash(hex.EncodeToString(digest[:]))
	if !ok || !known {
		x.w.Header().Set("WWW-Authenticate", "Bearer")
		return notRun(http.StatusUnauthorized, outcome.CodeUnauthenticated, "no client account has this bearer token").Problem
	}
	x.account = account
	memory.HolderOf(x.r.Context()).MarkKnown()
	return nil
}

func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	if g.drain.isLeaving() || !g.options.Control.State().IsReady || g.options.Control.IsIsolated() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// retryAfterIsolated is the retry delay for an isolated router. Callers can use
// the other addresses of their entry answer at once.
const retryAfterIsolated = 2 * time.Second

func isolatedProblem() *outcome.Problem {
	return notRun(http.StatusServiceUnavailable, outcome.CodeIsolated, "this router has lost contact with the rest of the system").retryAfter(retryAfterIsolated)
}

// callerDisconnected is the problem of a request whose caller closed the
// connection. It only appears in metrics, traces and the log.
var callerDisconnected = unknown(statusClientClosedRequest, outcome.CodeAbandoned, "the caller closed the connection")

// statusClientClosedRequest is a non-standard but common status for a connection
// that the client closed.
const statusClientClosedRequest = 499

// problemFromError maps an error of the engine client to a problem.
func problemFromError(err error) *outcome.Problem {
	switch {
	case errors.Is(err, engine.ErrIsolated):
		return isolatedProblem()
	case errors.Is(err, engine.ErrWithdrawn):
		return notRun(http.StatusServiceUnavailable, outcome.CodeNoEndpoint, "the endpoint is withdrawn").retryAfter(time.Second)
	case errors.Is(err, engine.ErrNotSent):
		return notRun(http.StatusBadGateway, outcome.CodeEndpointFailed, "the endpoint could not be reached").retryAfter(time.Second)
	case errors.Is(err, context.Canceled):
		return callerDisconnected
	case errors.Is(err, context.DeadlineExceeded):
		return unknown(http.StatusGatewayTimeout, outcome.CodeDeadline, "the deadline passed before the answer was complete")
	case errors.Is(err, engine.ErrMismatched):
		return unknown(http.StatusBadGateway, outcome.CodeAnswerMismatched, "the endpoint's answer belongs to another request")
	case errors.Is(err, engine.ErrTruncated):
		return unknown(http.StatusBadGateway, outcome.CodeAnswerTruncated, "the endpoint's answer was truncated")
	}
	return unknown(http.StatusBadGateway, outcome.CodeEndpointFailed, "the endpoint did not answer")
}
