// Package hosted runs a router on a platform whose store holds the configuration
// and the endpoints' entries. It wires the relay, the control loop and the
// listeners together.
package hosted

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"gentianhead/core/request/balance"
	"gentianhead/fleet/connection/beacon"
	"gentianhead/fleet/connection/upstream"
	"gentianhead/fleet/process/boottime"
	"gentianhead/fleet/process/memory"
	"gentianhead/fleet/process/serving"
	"gentianhead/fleet/process/telemetry"
	"gentianhead/fleet/request/relay"
	"gentianhead/platform"
)

const (
	// heapShare is the share of the process's memory used as the Go memory limit.
	// The rest is for stacks, kernel buffers and data received but not yet read.
	heapShare = 0.5
	// gcPercent is the garbage, as a percentage of the live heap, at which a collection begins. The
	// live heap is a few megabytes and collections take little of a core, so less garbage than the
	// default of 100 lowers the memory of each router by a sixth.
	gcPercent = 25
	// callerShare is the share of the memory that may be held for callers: connections, heads
	// and bodies. With what the router holds for itself it is less than heapShare.
	callerShare = 0.3
	// reserveDivisor is the part of that memory, and of the connections, that callers' requests
	// leave to readiness checks and router lookups.
	reserveDivisor = 10
	// connectionShare is the share of the file descriptors that callers' connections at all
	// listeners may use before some are closed, and maxConnectionShare the share that they never
	// exceed. Each request in flight needs another for its endpoint, and the store and the other
	// routers need some.
	connectionShare    = 0.4
	maxConnectionShare = 0.45
	// maxHeaderBytes and headerTimeout limit request headers. They are above the
	// limits that operators set.
	maxHeaderBytes = 64 << 10
	headerTimeout  = 10 * time.Second
	// graceDivisor is the ratio of the shutdown grace period to the maximum TTL of
	// resolved addresses: callers may use them for three times the TTL, and requests
	// need the rest to finish.
	graceDivisor = 8
)

// Router is a router process with its listeners and control loop.
type Router struct {
	// settings are those at startup.
	settings  *platform.Settings
	log       *slog.Logger
	control   *control
	relay     *relay.Relay
	upstream  *upstream.Client
	store     *platform.Store
	beacons   *beacon.Conn
	callers   *serving.Server
	readiness *serving.Server
	directory *serving.Server
	// copies serves the configuration to other routers.
	copies *serving.Server
	// isStopping is set at the start of a stop. The control loop, which may be busy, learns of
	// it later.
	isStopping atomic.Bool
}

// New creates a router and opens its socket for beacons.
func New(settings *platform.Settings, logger *slog.Logger) (*Router, error) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapShare * float64(settings.MemoryBytes)))
	beacons, err := beacon.Listen(settings.Peers)
	if err != nil {
		return nil, err
	}
	r := &Router{
		settings: settings,
		log:      telemetry.ComponentLogger(logger, "hosted"),
		upstream: upstream.New(),
		store:    newStore(settings.Store),
		beacons:  beacons,
	}
	balancer := relay.NewBalancer(settings.LoadFactor, settings.PrefixReuseWindow, retryLimits(settings), telemetry.ComponentLogger(logger, "balance"))
	balancer.SetOptions(balance.Options{IsPressured: settings.HasPressure})
	budget := memory.NewBudget(int64(callerShare * float64(settings.MemoryBytes)))
	pool := serving.NewPool(serving.PoolOptions{
		MaxConns:     int(connectionShare * float64(settings.MaxOpenFiles)),
		HardMaxConns: int(maxConnectionShare * float64(settings.MaxOpenFiles)),
		Memory:       budget,
		Log:          telemetry.ComponentLogger(logger, "serving"),
	})
	poolSource.Store(pool)
	r.control = newControl(settings, balancer, beacons, r.store, telemetry.ComponentLogger(logger, "control"))
	r.relay = relay.New(relay.Options{
		State:      r.relayState,
		Dialect:    platform.Dialect{},
		Balancer:   balancer,
		Upstream:   r.upstream,
		Log:        telemetry.ComponentLogger(logger, "relay"),
		BodyMemory: budget.Limit(),
	})
	options := serving.Options{
		MaxConns:      int(maxConnectionShare * float64(settings.MaxOpenFiles)),
		HeaderBytes:   maxHeaderBytes,
		HeaderTimeout: headerTimeout,
		MinIdleTime:   minIdleTime,
		Pool:          pool,
		Limits:        r.callerLimits,
	}
	r.readiness = serving.New(serving.WithoutBodies(http.HandlerFunc(r.serveReadiness)), options)
	r.directory = serving.New(serving.WithoutBodies(http.HandlerFunc(r.serveAddresses)), options)
	options.MemoryReserve = budget.Limit() / reserveDivisor
	options.ConnReserve = int(maxConnectionShare*float64(settings.MaxOpenFiles)) / reserveDivisor
	r.callers = serving.New(r.relay, options)
	options = serving.Options{MaxConns: maxCopyConnections, HeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, MinIdleTime: minIdleTime}
	r.copies = serving.New(r.copyServer(), options)
	return r, nil
}

// callerLimits returns the limits of the configuration in force.
func (r *Router) callerLimits() serving.Limits {
	table := r.control.current.Load().table
	if table == nil {
		return serving.Limits{}
	}
	return serving.Limits{HeaderBytes: table.Limits.HeaderBytes, HeaderTimeout: table.Limits.HeaderTimeout, IdleTimeout: table.Limits.IdleTimeout}
}

func (r *Router) relayState() relay.State {
	current := r.control.current.Load()
	table := current.table
	if !current.hasEvacuations {
		// A configuration of a release without evacuations: this router reads the zones itself.
		table = nil
	}
	return relay.State{
		Table: table, Lease: current.lease, IsBehind: current.isBehind, IsOutdated: !current.isUpToDate(boottime.Now()),
		RequiresAccount: r.control.settings.Load().RequiresAccount,
	}
}

// peerAddress returns the beacon address of the router at ip. All routers use the
// same port.
func peerAddress(ip netip.Addr, settings *platform.Settings) string {
	return netip.AddrPortFrom(ip, settings.Peers.Port()).String()
}

// Run serves until ctx is done and then shuts down gracefully. When abort is done,
// it stops waiting for requests in flight.
func (r *Router) Run(ctx, abort context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	registration, stopRegistering := context.WithCancel(background)
	defer stopRegistering()
	r.control.registerAgain = func() { r.register(registration) }
	r.control.quarantine.put = r.putQuarantine(background)
	go r.control.run(background)
	go r.beacons.Receive(r.control.enqueueBeacon)
	go r.register(registration)
	for _, follower := range r.control.sync.followers {
		go follower.Run(background, r.control.enqueueUpdate)
	}
	metricsSource.Store(r.control)
	metricsServer := r.serveMetrics()
	defer metricsServer.Close()
	failed := make(chan error, 3)
	if ctx.Err() != nil {
		r.log.Info("Shutdown requested before startup.")
		return nil
	}
	if err := r.listen(failed); err != nil {
		return err
	}
	r.serveCopies()
	r.log.Info("Started.", "instance", r.settings.Instance, "zone", r.settings.Zone, "callers", r.settings.Callers, "store", r.settings.Store)
	select {
	case <-ctx.Done():
	case err := <-failed:
		return errors.Wrap(err, "hosted")
	}
	stopRegistering()
	return r.shutdown(abort)
}

// listen opens the listeners and serves on them. A server that fails before the
// shutdown sends its error to failed.
func (r *Router) listen(failed chan<- error) error {
	for _, port := range []struct {
		server  *serving.Server
		address string
	}{{r.callers, r.settings.Callers}, {r.readiness, r.settings.Readiness}, {r.directory, r.settings.Directory}} {
		listener, err := net.Listen("tcp", port.address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		go func() {
			if err := port.server.Serve(listener); !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		}()
	}
	return nil
}

// addressTTL returns the TTL of the addresses returned to callers.
func (r *Router) addressTTL() time.Duration {
	settings := r.control.settings.Load()
	ttl := (settings.Grace / graceDivisor).Truncate(time.Second)
	return min(max(ttl, time.Second), settings.AddressTTL)
}
