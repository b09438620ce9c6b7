package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"gentianhead/core/version/config"
	"gentianhead/core/version/resource"
	"gentianhead/fleet/connection/peer"
	"gentianhead/fleet/version/desired"
)

// This file carries out what the configuration core asks for.

// carryOut does what the configuration core asks for.
func (l *Loop) carryOut(ctx context.Context) {
	l.passTime(time.Now())
	ready := l.config.Ready()
	l.config.Advance()
	if ready.Snapshot != nil {
		l.options.Log.Info("Configuration in force.", "revision", ready.Snapshot.Revision())
		l.history.Store(l.config.History())
	}
	if ready.Snapshot != nil || ready.IsReady != l.isReady {
		l.isReady = ready.IsReady
		l.publish()
		l.inForceChanged.notify()
	}
	if ready.Fetch != nil {
		go l.fetch(ctx, *ready.Fetch)
	}
	if ready.TickWithin > 0 {
		l.wake(ready.TickWithin)
	}
}

// housekeepingInterval is the time between two looks at the clock for the core,
// so that events which come often stay cheap.
const housekeepingInterval = 100 * time.Millisecond

func (l *Loop) passTime(now time.Time) {
	if now.Sub(l.housekeptAt) < housekeepingInterval {
		return
	}
	l.housekeptAt = now
	l.config.Step(config.Tick{At: now})
	l.roster.update(now, l.State().View, l.heads)
}

// wake has the core told the time after a while, unless that is planned already.
func (l *Loop) wake(within time.Duration) {
	if l.isWakePlanned.CompareAndSwap(false, true) {
		time.AfterFunc(within, func() {
			l.isWakePlanned.Store(false)
			l.Post(config.Tick{At: time.Now()})
		})
	}
}

// readHead reads the head row. Until the router is ready the store has to vouch
// for it, since a stale head would let a router come back below what it had.
func (l *Loop) readHead(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	isConfirmed := !l.State().IsReady
	read := l.options.Desired.Head
	if isConfirmed {
		read = l.options.Desired.ConfirmedHead
	}
	revision, err := read(ctx)
	if err != nil {
		l.options.Log.Debug("Head not read.", "error", err)
		return
	}
	l.Post(config.StoreHead{Revision: revision, IsConfirmed: isConfirmed})
}

// fetch carries out one fetch and posts its answer, or that there is none.
func (l *Loop) fetch(ctx context.Context, fetch config.Fetch) {
	ctx, cancel := context.WithTimeout(ctx, config.FetchTimeout)
	defer cancel()
	from := l.fetchFromStore
	if fetch.Source == config.SourcePeer {
		from = l.fetchFromPeer
	}
	answer, err := from(ctx, fetch)
	if err != nil {
		l.options.Log.Debug("Changes not fetched.", "peer", fetch.Instance, "error", err)
		answer = config.FetchFailed{Fetch: fetch.ID}
	}
	l.Post(answer)
}

func (l *Loop) fetchFromStore(ctx context.Context, fetch config.Fetch) (config.Event, error) {
	if fetch.After != 0 {
		changes, err := l.options.Desired.Changes(ctx, fetch.After)
		var compacted *desired.CompactedError
		if !errors.As(err, &compacted) {
			return config.Changes{Fetch: fetch.ID, Objects: changes}, err
		}
	}
	revision, objects, err := l.options.Desired.State(ctx)
	return config.State{Fetch: fetch.ID, Revision: revision, Objects: objects}, err
}

// errPeerUnknown means that the peer left the view before it could be asked.
var errPeerUnknown = errors.New("control: peer is not in the view")

func (l *Loop) fetchFromPeer(ctx context.Context, fetch config.Fetch) (config.Event, error) {
	router, ok := l.State().View.Find(fetch.Instance)
	if !ok {
		return nil, errPeerUnknown
	}
	var answer peer.ChangesAnswer
	question := peer.ChangesRequest{After: fetch.After}
	if err := l.options.Peers.Call(ctx, router.PeerAddress, peer.TypeChanges, question, &answer); err != nil {
		return nil, err
	}
	if answer.IsWhole {
		return config.State{Fetch: fetch.ID, Revision: answer.Revision, Objects: answer.Changes}, nil
	}
	return config.Changes{Fetch: fetch.ID, Objects: answer.Changes}, nil
}

// answerChanges returns what this router has after a revision. It runs on the
// peer's connection.
func (l *Loop) answerChanges(question peer.ChangesRequest) peer.ChangesAnswer {
	history := l.history.Load()
	revision := history.Snapshot().Revision()
	if changes, ok := history.After(question.After); ok {
		return peer.ChangesAnswer{Changes: changes, Revision: revision}
	}
	return peer.ChangesAnswer{Changes: history.Snapshot().List(""), IsWhole: true, Revision: revision}
}

// Refresh tells the loop of a revision that was just accepted.
func (l *Loop) Refresh(revision resource.Revision) {
	l.Post(config.StoreHead{Revision: revision})
}

// History returns the configuration in force with its newest changes. It may be
// called from any goroutine.
func (l *Loop) History() *config.History {
	return l.history.Load()
}

// AwaitRevision returns once a revision above after is in force, or ctx ends. It
// may be called from any goroutine.
func (l *Loop) AwaitRevision(ctx context.Context, after resource.Revision) {
	for {
		changed := l.inForceChanged.channel()
		if l.History().Snapshot().Revision() > after {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// InForce returns what is in force on each router of the fleet, as last heard.
// It may be called from any goroutine; it fails when the loop does not answer in time.
func (l *Loop) InForce(ctx context.Context) ([]RouterInForce, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer := make(chan []RouterInForce, 1)
	l.Post(fleetAsked{answer: answer})
	select {
	case routers := <-answer:
		return routers, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// inForce answers fleetAsked on the control goroutine.
func (l *Loop) inForce() []RouterInForce {
	l.heads[l.options.Self.Instance] = l.config.InForce()
	l.roster.update(time.Now(), l.State().View, l.heads)
	return l.roster.list()
}
