package hosted

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"gentianhead/core/process/table"
)

const (
	// addressUseFactor is how long callers may use resolved addresses, in TTLs.
	addressUseFactor = 3
	// exitMargin is the part of the grace period reserved for the process to exit.
	exitMargin = 300 * time.Millisecond
	// minIdleTime is how long a connection must be idle before it is closed.
	minIdleTime = 200 * time.Millisecond
	// deregisterTimeout limits the removal of this router's address from the store.
	deregisterTimeout = time.Second
)

// ErrCutOff means that requests were still in flight at the end of the grace period.
var ErrCutOff = errors.New("requests were cut off")

// shutdown stops the router so that no request is cut off within the grace period:
//
//  1. It becomes not ready, and the other routers stop returning its address.
//  2. It keeps serving for as long as callers may use its address, and closes
//     each connection after its next response.
//  3. It accepts no new connections and waits for the requests in flight.
func (r *Router) shutdown(abort context.Context) error {
	ctx, cancel := context.WithTimeout(abort, r.control.settings.Load().Grace-exitMargin)
	defer cancel()
	r.relay.Drain()
	r.control.announceShutdown()
	go r.deregister()
	servingPeriod := addressUseFactor * r.addressTTL()
	r.log.Info("Leaving.", "servingFor", servingPeriod, "connections", r.callers.Conns())
	sleep(ctx, servingPeriod)
	_ = r.listener.Close()
	r.log.Info("Waiting for requests in flight.", "connections", r.callers.Conns())
	isIdle := r.callers.AwaitIdle(ctx)
	inFlight := r.callers.InFlight()
	if !isIdle {
		r.log.Warn("The grace period ended before all requests.", "connections", r.callers.Conns())
	}
	_ = r.callers.Close()
	_ = r.directory.Close()
	_ = r.readiness.Close()
	_ = r.copies.Close()
	r.beacons.Close()
	r.upstream.Close()
	r.log.Info("Stopped.", "cutOff", inFlight)
	if !isIdle && inFlight > 0 {
		return errors.Wrapf(ErrCutOff, "%d in flight", inFlight)
	}
	return nil
}

func (r *Router) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := r.putAddress(ctx, table.Put{Key: r.settings.Instance, Delete: true}); err != nil {
		r.log.Warn("Removing this router's address failed.", "error", err)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
