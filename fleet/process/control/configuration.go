package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"gentianhead/core/process/gossip"
	"gentianhead/core/version/config"
	"gentianhead/core/version/resource"
	"gentianhead/fleet/connection/peer"
	"gentianhead/fleet/version/desired"
)

// handleConfigReady performs the actions that the configuration core requests.
func (l *Loop) handleConfigReady(ctx context.Context) {
	l.runHousekeeping(time.Now())
	ready := l.config.Ready()
	l.config.Advance()
	if ready.Snapshot != nil {
		l.options.Log.Info("Configuration in force.", "revision", ready.Snapshot.Revision())
		l.history.Store(l.config.History())
	}
	if ready.Snapshot != nil || ready.IsReady != l.isReady {
		l.isReady = ready.IsReady
		l.publish()
		l.configChanged.notify()
	}
	if ready.Fetch != nil {
		go l.fetch(ctx, *ready.Fetch)
	}
	if ready.MaxTickDelay > 0 {
		l.scheduleTick(ready.MaxTickDelay)
	}
}

// housekeepingInterval is the minimum time between ticks of the core, which would be
// too expensive at each event.
const housekeepingInterval = 100 * time.Millisecond

func (l *Loop) runHousekeeping(now time.Time) {
	if now.Sub(l.lastHousekeeping) < housekeepingInterval {
		return
	}
	l.lastHousekeeping = now
	l.config.Step(config.Tick{At: now})
	l.roster.update(now, l.State().View, l.revisions)
}

// scheduleTick schedules a tick of the core, unless one is scheduled already.
func (l *Loop) scheduleTick(within time.Duration) {
	if l.isTickScheduled.CompareAndSwap(false, true) {
		time.AfterFunc(within, func() {
			l.isTickScheduled.Store(false)
			l.Post(config.Tick{At: time.Now()})
		})
	}
}

// readHead reads the head row. Until the router is ready the store must confirm
// it: a stale head would let a restarted router use an older revision than before.
func (l *Loop) readHead(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	isConfirmed := !l.State().IsReady
	read := l.options.Desired.Head
	if isConfirmed {
		read = l.options.Desired.ConfirmedHead
	}
	revision, err := read(ctx)
	if err != nil {
		l.options.Log.Debug("Failed to read the head revision.", "error", err)
		return
	}
	l.Post(config.StoreHead{Revision: revision, IsConfirmed: isConfirmed})
	l.Post(gossip.StoreRead{SentAt: sentAt, Revision: revision})
}

// fetchTransferTimeout bounds a fetch. The core tries another source after
// config.FetchTimeout, but uses a later answer: a configuration that takes longer to
// transfer would otherwise never arrive from any source.
const fetchTransferTimeout = 30 * time.Second

// fetch performs one fetch and posts its result or config.FetchFailed.
func (l *Loop) fetch(ctx context.Context, fetch config.Fetch) {
	ctx, cancel := context.WithTimeout(ctx, fetchTransferTimeout)
	defer cancel()
	from := l.fetchFromStore
	if fetch.Source == config.SourcePeer {
		from = l.fetchFromPeer
	}
	answer, err := from(ctx, fetch)
	if err != nil {
		l.options.Log.Debug("Failed to fetch configuration changes.", "peer", fetch.Instance, "error", err)
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

// errPeerUnknown means that the peer left the view before the request was sent.
var errPeerUnknown = errors.New("control: peer is not in the view")

func (l *Loop) fetchFromPeer(ctx context.Context, fetch config.Fetch) (config.Event, error) {
	router, ok := l.State().View.Find(fetch.Instance)
	if !ok {
		return nil, errPeerUnknown
	}
	var answer peer.ChangesAnswer
	request := peer.ChangesRequest{After: fetch.After}
	if err := l.options.Peers.Call(ctx, router.PeerAddress, peer.TypeChanges, request, &answer); err != nil {
		return nil, err
	}
	if answer.IsSnapshot {
		return config.State{Fetch: fetch.ID, Revision: answer.Revision, Objects: answer.Changes}, nil
	}
	return config.Changes{Fetch: fetch.ID, Objects: answer.Changes}, nil
}

// handleChanges returns the changes after a revision, or the whole state if the
// history doesn't reach back that far. It runs on the peer's connection.
func (l *Loop) handleChanges(request peer.ChangesRequest) peer.ChangesAnswer {
	history := l.history.Load()
	revision := history.Snapshot().Revision()
	if changes, ok := history.After(request.After); ok {
		return peer.ChangesAnswer{Changes: changes, Revision: revision}
	}
	return peer.ChangesAnswer{Changes: history.Snapshot().List(""), IsSnapshot: true, Revision: revision}
}

// NotifyRevision tells the loop of a revision that was just accepted.
func (l *Loop) NotifyRevision(revision resource.Revision) {
	l.Post(config.StoreHead{Revision: revision})
}

// History returns the active configuration with its latest changes. It may be
// called from any goroutine.
func (l *Loop) History() *config.History {
	return l.history.Load()
}

// AwaitRevision returns once a revision above after is active or ctx ends. It
// may be called from any goroutine.
func (l *Loop) AwaitRevision(ctx context.Context, after resource.Revision) {
	for {
		changed := l.configChanged.channel()
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

// ActiveRevisions returns the active revision that each router of the fleet last
// reported. It may be called from any goroutine; it fails when the loop doesn't
// answer within callTimeout.
func (l *Loop) ActiveRevisions(ctx context.Context) ([]RouterRevision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer := make(chan []RouterRevision, 1)
	l.Post(revisionsRequested{answer: answer})
	select {
	case routers := <-answer:
		return routers, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// activeRevisions handles revisionsRequested on the control goroutine.
func (l *Loop) activeRevisions() []RouterRevision {
	l.revisions[l.options.Self.Instance] = l.config.InForce()
	l.roster.update(time.Now(), l.State().View, l.revisions)
	return l.roster.list()
}
