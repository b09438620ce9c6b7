package node

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"gentianhead/core/process/drain"
	"gentianhead/fleet/process/boottime"
	"gentianhead/fleet/process/settings"
	"gentianhead/fleet/request/gateway"
)

const (
	// minIdleTime is how long a connection must be idle before it is closed. A
	// request sent before the entry response expired has arrived by then.
	minIdleTime = time.Second
	// recordTimeout bounds the wait for claims to be recorded after the last response.
	recordTimeout = 30 * time.Second
	// cancelTimeout bounds the time to send error responses to requests that are cut off.
	cancelTimeout = 3 * time.Second
	// closeTimeout bounds the wait for callers to close the connections after that.
	closeTimeout = 2 * time.Second
	// wakeTimeout is how long requests get after the grace period if the process was paused:
	// their answers may have arrived meanwhile. It was if a timer is later than maxTimerDelay.
	wakeTimeout   = time.Second
	maxTimerDelay = 100 * time.Millisecond
	// operatorsTimeout bounds the wait for operators' requests, which write to the
	// platform or wait for changes, and operatorsCancelTimeout that for their error responses.
	operatorsTimeout       = 3 * time.Second
	operatorsCancelTimeout = 2 * time.Second
)

// ErrCutOff means that requests were still in flight when the grace period ended
// or the operator forced the shutdown.
var ErrCutOff = errors.New("requests were cut off")

// newPlan returns the plan of a stop that begins now: the router serves until no cached
// response of /v1/entry names it, and then for the grace period.
func newPlan(now time.Duration, shutdown settings.Shutdown) drain.Plan {
	addressesExpireAt := now + shutdown.Announce + shutdown.EntryLife + minIdleTime
	answerBy := addressesExpireAt + shutdown.Grace
	return drain.Plan{AddressesExpireAt: addressesExpireAt, AnswerBy: answerBy, ExitAt: answerBy + cancelTimeout + closeTimeout}
}

// shutdown stops the router so that no request is cut off within the grace period:
//
//  1. It announces that it is leaving, closes connections after their next
//     response, and refuses requests that can't end within the plan.
//  2. It continues to serve until no cached response of /v1/entry names it: the other
//     routers have been notified, and their earlier responses have expired.
//  3. It accepts no new connections, closes idle ones and waits for the requests in
//     flight, at most for the grace period. The remaining ones end with a problem
//     response.
func (n *Node) shutdown(abort context.Context) error {
	plan := newPlan(boottime.Now(), n.settings.Shutdown)
	n.log.Info("Leaving.", "servingFor", until(plan.AddressesExpireAt), "connections", n.callers.Conns())
	n.gateway.Leave(plan)
	n.announceLeave(abort, until(plan.AddressesExpireAt))
	n.callers.StopAccepting()
	n.callers.CloseIdle()
	n.isClosing.Store(true)
	n.operators.CloseIdle()
	n.log.Info("Waiting for requests in flight.", "connections", n.callers.Conns(), "atMost", until(plan.AnswerBy))
	err := n.awaitRequests(abort, plan.AnswerBy)
	var operatorsClosed sync.WaitGroup
	operatorsClosed.Go(func() { n.closeOperators(abort) })
	n.closeCallers()
	operatorsClosed.Wait()
	n.recordClaims(abort)
	_ = n.listeners.peers.Close()
	n.peers.Close()
	n.pool.Close()
	n.engine.Close()
	n.log.Info("Stopped.")
	return err
}

func until(at time.Duration) time.Duration { return at - boottime.Now() }

// closeCallers ends the requests that are left with a problem response, and waits until
// their callers have read it.
func (n *Node) closeCallers() {
	if err := n.callers.CancelAndClose(cancelTimeout, gateway.ErrStopping); err != nil {
		n.log.Error("Connections were closed before their requests ended.", "connections", n.callers.Conns(), "error", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if !n.callers.AwaitIdle(ctx) {
		n.log.Warn("Callers have not closed their connections.", "connections", n.callers.Conns())
	}
	if left := n.gateway.AwaitRequests(ctx); left > 0 {
		n.log.Error("Requests have not ended.", "requests", left)
	}
}

// closeOperators waits for operators' requests, so that changes in progress are written,
// and ends those that wait for changes.
func (n *Node) closeOperators(abort context.Context) {
	n.operators.StopAccepting()
	ctx, cancel := context.WithTimeout(abort, operatorsTimeout)
	defer cancel()
	if !n.operators.AwaitIdle(ctx) {
		n.log.Warn("Operators' requests are cut off.", "connections", n.operators.Conns())
	}
	if err := n.operators.CancelAndClose(operatorsCancelTimeout, gateway.ErrStopping); err != nil {
		n.log.Error("Closing operators' connections failed.", "error", err)
	}
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

// awaitRequests waits for the requests in flight, at most until answerBy, and returns
// ErrCutOff if some are left.
func (n *Node) awaitRequests(abort context.Context, answerBy time.Duration) error {
	isIdle := n.awaitIdle(abort, until(answerBy))
	if late := -until(answerBy); !isIdle && late > maxTimerDelay && abort.Err() == nil {
		n.log.Warn("The process was paused. Requests get more time.", "late", late, "atMost", wakeTimeout)
		isIdle = n.awaitIdle(abort, wakeTimeout)
	}
	if isIdle {
		return nil
	}
	inFlight := n.callers.Conns().Busy
	if inFlight == 0 {
		return nil
	}
	n.log.Error("Requests are cut off.", "inFlight", inFlight)
	return errors.Wrapf(ErrCutOff, "%d in flight", inFlight)
}

func (n *Node) awaitIdle(abort context.Context, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(abort, limit)
	defer cancel()
	return n.callers.AwaitIdle(ctx)
}
