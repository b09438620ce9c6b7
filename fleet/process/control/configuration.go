package control

import (
	"context"
	"time"

	"gentianhead/core/process/gossip"
	"gentianhead/core/version/config"
	"gentianhead/core/version/resource"
	"gentianhead/fleet/connection/peer"
)

// This file carries out what the configuration core asks for.

// carryOut does what the configuration core asks for.
func (l *Loop) carryOut(ctx context.Context) {
	ready := l.config.Ready()
	if ready.Snapshot != nil {
		l.options.Log.Info("Configuration in force.", "revision", ready.Snapshot.Revision())
		l.config.Advance()
		l.publish()
	}
	if ready.Fetch != nil && !l.isFetching {
		l.isFetching = true
		go l.fetch(ctx, *ready.Fetch)
	}
}

func (l *Loop) readHead(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	revision, err := l.options.Desired.Head(ctx)
	if err != nil {
		l.options.Log.Debug("Head not read.", "error", err)
		return
	}
	l.Post(config.StoreHead{Revision: revision})
	l.Post(gossip.StoreRead{SentAt: sentAt, Revision: revision})
	if revision == l.State().Config.Revision() {
		l.Post(storeWasRead{})
	}
}

func (l *Loop) fetch(ctx context.Context, fetch config.Fetch) {
	defer l.Post(fetchFailed{})
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if fetch.Source == config.SourcePeer {
		l.fetchFromPeer(ctx, fetch)
		return
	}
	changes, err := l.options.Desired.Changes(ctx, fetch.After)
	if err != nil {
		l.options.Log.Debug("Changes not read.", "error", err)
		return
	}
	l.Post(config.Changes{Objects: changes})
}

func (l *Loop) fetchFromPeer(ctx context.Context, fetch config.Fetch) {
	router, ok := l.State().View.Find(fetch.Instance)
	if !ok {
		return
	}
	var answer peer.ChangesAnswer
	question := peer.ChangesRequest{After: fetch.After}
	if err := l.options.Peers.Call(ctx, router.PeerAddress, peer.TypeChanges, question, &answer); err != nil {
		l.options.Log.Debug("Changes not fetched.", "peer", fetch.Instance, "error", err)
		return
	}
	if answer.IsWhole {
		l.Post(config.State{Revision: answer.Revision, Objects: answer.Changes})
		return
	}
	l.Post(config.Changes{Objects: answer.Changes})
}

// answerChanges returns what this router has after a revision.
func (l *Loop) answerChanges(peer.ChangesRequest) peer.ChangesAnswer {
	snapshot := l.State().Config
	return peer.ChangesAnswer{Changes: snapshot.List(""), IsWhole: true, Revision: snapshot.Revision()}
}

// inForce returns the revision in force on each live router, as last heard.
func (l *Loop) inForce() map[string]resource.Revision {
	revisions := make(map[string]resource.Revision)
	for _, router := range l.gossip.View().Routers {
		revisions[router.Instance] = l.heads[router.Instance]
	}
	revisions[l.options.Self.Instance] = l.config.InForce()
	return revisions
}

// InForce returns the revision in force on each live router, as last heard.
func (l *Loop) InForce(ctx context.Context) map[string]resource.Revision {
	answer := make(chan map[string]resource.Revision, 1)
	l.Post(fleetAsked{answer: answer})
	select {
	case revisions := <-answer:
		return revisions
	case <-ctx.Done():
		return nil
	}
}

// Refresh asks for the head row to be read now.
func (l *Loop) Refresh(revision resource.Revision) {
	l.Post(config.StoreHead{Revision: revision})
}
