package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"gentianhead/fleet/request/gateway"
)

const (
	// minIdleTime is how long a connection must be idle before it is closed. A
	// request sent before the entry response expired has arrived by then.
	minIdleTime = time.Second
	// recordTimeout bounds the wait for claims to be recorded after the last response.
	recordTimeout = 30 * time.Second
	// cancelTimeout bounds the time to send error responses to requests that are cut off.
	cancelTimeout = 5 * time.Second
)

// ErrCutOff means that requests were still in flight when the grace period ended
// or the operator forced the shutdown.
var ErrCutOff = errors.New("requests were cut off")

// shutdown stops the router so that no request is cut off within the grace period:
//
//  1. It announces that it is leaving, and closes connections after their next
//     response.
//  2. It continues to serve until no cached response of /v1/entry names it: the other
//     routers have been notified, and their earlier responses have expired.
//  3. It accepts no new connections and waits for the requests in flight, at most
//     for the grace period. The remaining ones end with a problem response.
func (n *Node) shutdown(abort context.Context) error {
	announcePeriod := n.settings.Shutdown.Announce + n.settings.Shutdown.EntryLife + minIdleTime
	n.log.Info("Leaving.", "servingFor", announcePeriod)
	n.gateway.Leave()
	n.announceLeave(abort, announcePeriod)
	_ = n.listeners.callers.Close()
	n.log.Info("Waiting for requests in flight.", "inFlight", n.callers.InFlight(), "atMost", n.settings.Shutdown.Grace)
	err := n.awaitRequests(abort)
	_ = n.callers.CancelAndClose(cancelTimeout, gateway.ErrStopping)
	_ = n.operators.CancelAndClose(cancelTimeout, gateway.ErrStopping)
	n.recordClaims(abort)
	_ = n.listeners.peers.Close()
	n.peers.Close()
	n.pool.Close()
	n.engine.Close()
	n.log.Info("Stopped.")
	return err
}

// recordClaims waits until the outcomes of at-most-once requests are recorded,
// including those whose callers disconnected.
func (n *Node) recordClaims(abort context.Context) {
	ctx, cancel := context.WithTimeout(abort, recordTimeout)
	defer cancel()
	n.claims.Close(ctx)
}

// announceLeave announces that this router is leaving and serves until the cached
// entry responses that name it have expired.
func (n *Node) announceLeave(abort context.Context, period time.Duration) {
	ctx, cancel := context.WithTimeout(abort, period)
	defer cancel()
	n.control.Leave(ctx)
	<-ctx.Done()
}

// awaitRequests waits for the requests in flight and returns ErrCutOff if some
// are left.
func (n *Node) awaitRequests(abort context.Context) error {
	ctx, cancel := context.WithTimeout(abort, n.settings.Shutdown.Grace)
	defer cancel()
	if n.callers.AwaitIdle(ctx) {
		return nil
	}
	inFlight := n.callers.InFlight()
	if inFlight == 0 {
		return nil
	}
	n.log.Error("Requests are cut off.", "inFlight", inFlight)
	return errors.Wrapf(ErrCutOff, "%d in flight", inFlight)
}
