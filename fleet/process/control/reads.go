package control

import (
	"context"
	"math/rand/v2"
	"time"

	"gentianhead/core/process/gossip"
	"gentianhead/core/process/membership"
	"gentianhead/core/process/pacing"
	"gentianhead/core/process/withdrawal"
	"gentianhead/fleet/connection/platform"
)

// This file paces what the router reads of the platform.

// listedBytes estimates one instance in the platform's list.
const listedBytes = 150

// readTimes says when each read of the platform is due.
type readTimes struct {
	head, list, registration time.Time
}

// listRead is the platform's list as read.
type listRead struct {
	at        time.Time
	instances []platform.Instance
}

// startReads spreads the first reads of routers that start together.
func (l *Loop) startReads(now time.Time) {
	l.reads.registration = now.Add(rand.N(pacing.StartJitter))
	l.reads.list = now.Add(rand.N(pacing.StartJitter))
	l.reads.head = now
}

// readDue begins the reads whose time has come.
func (l *Loop) readDue(ctx context.Context, now time.Time) {
	if !now.Before(l.reads.head) {
		l.reads.head = l.nextHead(now)
		go l.readHead(ctx)
	}
	if !now.Before(l.reads.list) {
		l.reads.list = now.Add(pacing.MinListInterval)
		go l.readList(ctx)
	}
	if !now.Before(l.reads.registration) {
		l.reads.registration = now.Add(pacing.RegistrationInterval + rand.N(pacing.StartJitter))
		go l.register(ctx, l.gossip.Self().Leaving)
	}
}

// nextHead returns when the head row is read next: in this router's slot, or
// sooner while it is not ready or has lost its peers.
func (l *Loop) nextHead(now time.Time) time.Time {
	rank, size := l.gossip.View().Rank(l.options.Self.Instance)
	next := pacing.Next(now, pacing.HeadInterval(size), rank, size)
	if !l.isReady {
		return now.Add(min(next.Sub(now), pacing.MinHeadInterval/2+rand.N(pacing.MinHeadInterval)))
	}
	if l.gossip.IsInDoubt() {
		return now.Add(min(next.Sub(now), pacing.DoubtInterval/2+rand.N(pacing.DoubtInterval)))
	}
	return next
}

func (l *Loop) register(ctx context.Context, isLeaving bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	self := l.options.Self
	entry := platform.Instance{
		Name:          self.Instance,
		Zone:          self.Zone,
		Role:          platform.RoleRouter,
		Leaving:       isLeaving,
		CallerAddress: self.CallerAddress,
		PeerAddress:   self.PeerAddress,
	}
	if err := l.options.Platform.RegisterInstance(ctx, entry); err != nil {
		l.options.Log.Debug("Instance not registered.", "error", err)
		l.Post(registrationFailed{})
	}
}

// registrationFailed has the instance registered again soon.
type registrationFailed struct{}

func (l *Loop) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	instances, err := l.options.Platform.Instances(ctx)
	if err != nil {
		l.options.Log.Debug("Instance list not read.", "error", err)
		return
	}
	l.Post(listRead{at: time.Now(), instances: instances})
}

// stepList hands the list to the cores and plans the next read.
func (l *Loop) stepList(e listRead) {
	var routers []membership.Router
	var endpoints []withdrawal.Listed
	for _, instance := range e.instances {
		switch instance.Role {
		case platform.RoleRouter:
			routers = append(routers, routerOf(instance))
		case platform.RoleEndpoint:
			endpoints = append(endpoints, withdrawal.Listed{Address: withdrawal.AddressOf(instance.URL), IsLeaving: instance.Leaving})
		}
	}
	l.gossip.Step(gossip.ListRead{At: e.at, Routers: routers, Endpoints: endpoints})
	rank, size := l.gossip.View().Rank(l.options.Self.Instance)
	interval := pacing.ListInterval(len(e.instances) * listedBytes)
	l.reads.list = pacing.Next(e.at, interval, rank, size)
}

func routerOf(instance platform.Instance) membership.Router {
	return membership.Router{
		Instance:      instance.Name,
		Zone:          instance.Zone,
		CallerAddress: instance.CallerAddress,
		PeerAddress:   instance.PeerAddress,
		Leaving:       instance.Leaving,
	}
}
