package control

import (
	"context"
	"time"

	"gentianhead/core/process/membership"
	"gentianhead/fleet/connection/peer"
	"gentianhead/fleet/connection/platform"
)

// This file exchanges heartbeats and reads the platform's list.

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
	var answer peer.Heartbeat
	if err := l.options.Peers.Call(ctx, address, peer.TypeHeartbeat, own, &answer); err != nil {
		l.options.Log.Debug("Heartbeat failed.", "peer", address, "error", err)
		return
	}
	l.Post(answer)
}

// answerHeartbeat takes note of a peer and returns this router's heartbeat.
func (l *Loop) answerHeartbeat(heartbeat peer.Heartbeat) peer.Heartbeat {
	l.Post(heartbeat)
	state := l.State()
	self, _ := state.View.Find(l.options.Self.Instance)
	return peer.Heartbeat{Router: self, Revision: state.Config.Revision()}
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
