package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"gentianhead/fleet/request/gateway"
)

const (
	// quietTime is how long a connection has to be idle before it is closed. A
	// request that was sent before the entry answer expired has arrived by then.
	quietTime = time.Second
	// recordTimeout bounds the wait for records after the last answer.
	recordTimeout = 30 * time.Second
	// endTimeout bounds the last answers of requests that are cut off.
	endTimeout = 5 * time.Second
)

// ErrCutOff means that requests were still in flight at the end of the grace
// time, or when the operator did not want to wait.
var ErrCutOff = errors.New("requests were cut off")

// shutdown stops the router so that no request is cut off:
//
//  1. It says that it leaves, and closes connections after their next answer.
//  2. It serves on until no kept entry answer names it: the other routers have
//     heard of it, and the answers that they gave before have expired.
//  3. It takes no new connections and waits for the requests in flight, at most
//     for the grace time. What is left then ends with a problem.
func (n *Node) shutdown(hurry context.Context) error {
	life := n.settings.Shutdown.Announce + n.settings.Shutdown.EntryLife + quietTime
	n.log.Info("Leaving.", "servingFor", life)
	n.gateway.Leave()
	n.serveOn(hurry, life)
	_ = n.listeners.callers.Close()
	n.log.Info("Waiting for requests in flight.", "inFlight", n.callers.InFlight(), "atMost", n.settings.Shutdown.Grace)
	err := n.awaitRequests(hurry)
	_ = n.callers.End(endTimeout, gateway.ErrStopping)
	_ = n.operators.End(endTimeout, gateway.ErrStopping)
	n.recordClaims(hurry)
	_ = n.listeners.peers.Close()
	n.peers.Close()
	n.pool.Close()
	n.engine.Close()
	n.log.Info("Stopped.")
	return err
}

// recordClaims waits until what became of requests that may run at most once is
// recorded, also of those whose callers left.
func (n *Node) recordClaims(hurry context.Context) {
	ctx, cancel := context.WithTimeout(hurry, recordTimeout)
	defer cancel()
	n.claims.Close(ctx)
}

// serveOn serves until no entry answer that names this router is kept.
func (n *Node) serveOn(hurry context.Context, life time.Duration) {
	ctx, cancel := context.WithTimeout(hurry, life)
	defer cancel()
	n.control.Leave(ctx)
	<-ctx.Done()
}

// awaitRequests waits for the requests in flight and returns ErrCutOff when
// some are left.
func (n *Node) awaitRequests(hurry context.Context) error {
	ctx, cancel := context.WithTimeout(hurry, n.settings.Shutdown.Grace)
	defer cancel()
	if n.callers.AwaitQuiet(ctx) {
		return nil
	}
	inFlight := n.callers.InFlight()
	if inFlight == 0 {
		return nil
	}
	n.log.Error("Requests are cut off.", "inFlight", inFlight)
	return errors.Wrapf(ErrCutOff, "%d in flight", inFlight)
}
