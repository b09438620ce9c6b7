// Package node assembles a router and runs it from startup to graceful shutdown.
package node

import (
	"context"
	"expvar"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/do/v2"

	"gentianhead/fleet/connection/engine"
	"gentianhead/fleet/connection/peer"
	"gentianhead/fleet/process/control"
	"gentianhead/fleet/process/memory"
	"gentianhead/fleet/process/serving"
	"gentianhead/fleet/process/settings"
	"gentianhead/fleet/process/telemetry"
	"gentianhead/fleet/request/admin"
	"gentianhead/fleet/request/claims"
	"gentianhead/fleet/request/gateway"
)

// Node is a running router.
type Node struct {
	settings  *settings.Settings
	log       *slog.Logger
	control   *control.Loop
	pool      *peer.Pool
	peers     *peer.Server
	engine    *engine.Client
	claims    *claims.Manager
	gateway   *gateway.Gateway
	callers   *serving.Server
	operators *serving.Server
	listeners listeners
	// isClosing is set once operators' connections close after their next response.
	isClosing atomic.Bool
}

type listeners struct {
	callers, operators, peers net.Listener
}

// New assembles a router. It opens no port.
func New(s *settings.Settings, logger *slog.Logger) (*Node, error) {
	injector, err := newInjector(s, logger)
	if err != nil {
		return nil, err
	}
	loop := do.MustInvoke[*control.Loop](injector)
	pool := newPool(s, logger)
	options := serverOptions(s, pool)
	callerOptions := options
	callerOptions.MemoryReserve = pool.Budget() / reserveDivisor
	callerOptions.ConnReserve = s.Limits.Connections / reserveDivisor
	n := &Node{
		settings: s,
		log:      telemetry.ComponentLogger(logger, "node"),
		control:  loop,
		pool:     do.MustInvoke[*peer.Pool](injector),
		peers:    do.MustInvoke[*peer.Server](injector),
		engine:   do.MustInvoke[*engine.Client](injector),
		claims:   do.MustInvoke[*claims.Manager](injector),
		gateway:  do.MustInvoke[*gateway.Gateway](injector),
		callers:  serving.New(do.MustInvoke[*gateway.Gateway](injector).Handler(), callerOptions),
	}
	n.operators = serving.New(n.closeWhenClosing(operatorsHandler(do.MustInvoke[admin.Options](injector))), options)
	return n, nil
}

// closeWhenClosing adds "Connection: close" to each response once operators' connections
// are to be closed.
func (n *Node) closeWhenClosing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.isClosing.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

const (
	// memoryPerConn is the memory for each connection that the settings allow, on average: that of
	// the connection and of a header near its limit of size. Bodies have a limit of their own. With
	// half as much, 192 misbehaving connections of 256 leave no room for an ordinary one.
	memoryPerConn = 64 << 10
	// maxHeaderFields is the maximum number of fields of a request's header. Ordinary callers send
	// fewer than a hundred; heads of thousands would use up the memory for callers.
	maxHeaderFields = 256
	// callerListeners is the number of listeners with Limits.Connections each.
	callerListeners = 2
	// reserveDivisor is the part of the memory, and of their connections, that callers leave to operators.
	reserveDivisor = 10
)

// newPool returns the limits of callers' and operators' connections together.
func newPool(s *settings.Settings, logger *slog.Logger) *serving.Pool {
	conns := callerListeners * s.Limits.Connections
	return serving.NewPool(serving.PoolOptions{
		MaxConns: conns, HardMaxConns: conns,
		Memory: memory.NewBudget(int64(conns) * memoryPerConn),
		Log:    telemetry.ComponentLogger(logger, "serving"),
	})
}

func serverOptions(s *settings.Settings, pool *serving.Pool) serving.Options {
	return serving.Options{
		MaxConns:      s.Limits.Connections,
		HeaderBytes:   gateway.MaxHeaderBytes,
		Limits:        func() serving.Limits { return serving.Limits{HeaderFields: maxHeaderFields} },
		HeaderTimeout: gateway.ReadHeaderTimeout,
		MinIdleTime:   minIdleTime,
		Pool:          pool,
	}
}

// operatorsHandler serves the resource API, metrics and the liveness check.
func operatorsHandler(options admin.Options) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", admin.Handler(options))
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return mux
}

// Run serves until ctx is done and then shuts down gracefully; see shutdown. When
// abort is done, it stops waiting for requests in flight.
func (n *Node) Run(ctx, abort context.Context) error {
	if ctx.Err() != nil {
		n.log.Info("Shutdown requested before startup.")
		return nil
	}
	if err := n.listen(); err != nil {
		return err
	}
	stopTraces, err := telemetry.StartTracing(ctx, n.settings.Traces.OTLPEndpoint, n.settings.Instance, n.settings.Zone)
	if err != nil {
		return err
	}
	loopCtx, stopLoop := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoop()
	activeLoop.Store(n.control)
	go n.control.Run(loopCtx)
	go n.claims.Sweep(loopCtx)
	go n.peers.Serve(n.listeners.peers)
	failed := make(chan error, 2)
	go func() { failed <- n.callers.Serve(n.listeners.callers) }()
	go func() { failed <- n.operators.Serve(n.listeners.operators) }()
	n.log.Info("Serving.", "callers", n.settings.Listen.Callers, "operators", n.settings.Listen.Operators, "peers", n.settings.Listen.Peers)
	select {
	case <-ctx.Done():
	case err = <-failed:
		err = errors.Wrap(err, "node")
		n.log.Error("A listener failed. The router stops.", "error", err)
	}
	err = errors.CombineErrors(err, n.shutdown(abort))
	stopLoop()
	flushCtx, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
	defer cancel()
	return errors.CombineErrors(err, stopTraces(flushCtx))
}

// traceFlushTimeout bounds the export of the remaining spans.
const traceFlushTimeout = 5 * time.Second

func (n *Node) listen() error {
	for _, port := range []struct {
		listener *net.Listener
		address  string
	}{
		{&n.listeners.callers, n.settings.Listen.Callers},
		{&n.listeners.operators, n.settings.Listen.Operators},
		{&n.listeners.peers, n.settings.Listen.Peers},
	} {
		listener, err := net.Listen("tcp", port.address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		*port.listener = listener
	}
	return nil
}
