package control

import (
	"context"
	"time"

	"gentianhead/core/process/membership"
	"gentianhead/core/version/config"
	"gentianhead/core/version/resource"
	"gentianhead/fleet/connection/peer"
	"gentianhead/fleet/connection/platform"
)

// The functions in this file run outside the control goroutine and hand their
// results back through Post.

// callTimeout bounds one call that the control loop makes.
const callTimeout = 3 * time.Second

func (l *Loop) readHead(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := l.options.Desired.Head(ctx)
	if err != nil {
		l.options.Log.Debug("Head not read.", "error", err)
		return
	}
	l.Post(config.StoreHead{Revision: revision})
	if revision == l.State().Config.Revision() {
		l.Post(storeWasRead{})
	}
}

func (l *Loop) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	self := l.options.Self
	entry := platform.Instance{
		Name:          self.Instance,
		Zone:          self.Zone,
		Role:          platform.RoleRouter,
		CallerAddress: self.CallerAddress,
		PeerAddress:   self.PeerAddress,
	}
	if err := l.options.Platform.RegisterInstance(ctx, entry); err != nil {
		l.options.Log.Debug("Instance not registered.", "error", err)
	}
	instances, err := l.options.Platform.Instances(ctx)
	if err != nil {
		l.options.Log.Debug("Instance list not read.", "error", err)
		return
	}
	l.Post(membership.ListRead{At: time.Now(), Routers: routersOf(instances)})
}

func routersOf(instances []platform.Instance) []membership.Router {
	var routers []membership.Router
	for _, instance := range instances {
		if instance.Role != platform.RoleRouter {
			continue
		}
		routers = append(routers, membership.Router{
			Instance:      instance.Name,
			Zone:          instance.Zone,
			CallerAddress: instance.CallerAddress,
			PeerAddress:   instance.PeerAddress,
			Leaving:       instance.Leaving,
		})
	}
	return routers
}

func (l *Loop) sendHeartbeats(ctx context.Context) {
	own := l.heartbeat()
	for _, router := range l.members.View().Routers {
		if router.Instance != own.Router.Instance {
			go l.sendHeartbeat(ctx, router.PeerAddress, own)
		}
	}
}

func (l *Loop) heartbeat() peer.Heartbeat {
	return peer.Heartbeat{Router: l.members.Self(), Revision: l.config.InForce()}
}

func (l *Loop) sendHeartbeat(ctx context.Context, address string, own peer.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := l.options.Peers.Heartbeat(ctx, address, own)
	if err != nil {
		l.options.Log.Debug("Heartbeat failed.", "peer", address, "error", err)
		return
	}
	l.Post(answer)
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
	answer, err := l.options.Peers.Changes(ctx, router.PeerAddress, peer.ChangesRequest{After: fetch.After})
	if err != nil {
		l.options.Log.Debug("Changes not fetched.", "peer", fetch.Instance, "error", err)
		return
	}
	if answer.IsWhole {
		l.Post(config.State{Revision: answer.Revision, Objects: answer.Changes})
		return
	}
	l.Post(config.Changes{Objects: answer.Changes})
}

// HandleHeartbeat implements peer.Handler.
func (l *Loop) HandleHeartbeat(heartbeat peer.Heartbeat) peer.Heartbeat {
	l.Post(heartbeat)
	state := l.State()
	self, _ := state.View.Find(l.options.Self.Instance)
	return peer.Heartbeat{Router: self, Revision: state.Config.Revision()}
}

// HandleChanges implements peer.Handler.
func (l *Loop) HandleChanges(peer.ChangesRequest) peer.ChangesAnswer {
	snapshot := l.State().Config
	return peer.ChangesAnswer{Changes: snapshot.List(""), IsWhole: true, Revision: snapshot.Revision()}
}

// Leave makes entry answers and heartbeats say that this router leaves.
func (l *Loop) Leave(ctx context.Context) {
	done := make(chan struct{})
	select {
	case l.events <- leaveAsked{done: done}:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
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
