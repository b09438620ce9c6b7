package control

import (
	"context"
	"time"

	"gentianhead/core/process/gossip"
	"gentianhead/core/process/membership"
	"gentianhead/core/process/pacing"
	"gentianhead/core/process/withdrawal"
	"gentianhead/fleet/connection/instances"
)

// This file schedules reads from the platform.

// listedInstanceBytes is the estimated size of one instance in the platform's list.
const listedInstanceBytes = 150

// listRead is the instance list read by a call that started at sentAt and ended at at.
type listRead struct {
	at, sentAt time.Time
	instances  []instances.Instance
}

func (l *Loop) startDueReads(ctx context.Context, now time.Time) {
	if l.reads.HeadDue(now, l.slot(), l.gossip.IsStoreReadDue() || !l.isReady) {
		go l.readHead(ctx)
	}
	if l.reads.ListDue(now) {
		go l.readList(ctx)
	}
	if l.reads.RegistrationDue(now) {
		go l.register(ctx, l.gossip.Self().Leaving)
	}
}

func (l *Loop) slot() pacing.Slot {
	return l.gossip.View().Slot(l.options.Self.Instance)
}

func (l *Loop) register(ctx context.Context, isLeaving bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	self := l.options.Self
	entry := instances.Instance{
		Name:          self.Instance,
		Zone:          self.Zone,
		Role:          instances.RoleRouter,
		Leaving:       isLeaving,
		CallerAddress: self.CallerAddress,
		PeerAddress:   self.PeerAddress,
	}
	if err := l.options.Instances.Register(ctx, entry); err != nil {
		l.options.Log.Debug("Failed to register the instance.", "error", err)
		l.Post(registrationFailed{})
	}
}

// registrationFailed causes the registration to be retried.
type registrationFailed struct{}

func (l *Loop) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	listed, unreadable, err := l.options.Instances.All(ctx)
	if err != nil {
		l.options.Log.Debug("Failed to read the instance list.", "error", err)
		return
	}
	if unreadable > 0 {
		l.options.Log.Warn("Skipped invalid entries of the instance list.", "entries", unreadable)
	}
	l.Post(listRead{at: time.Now(), sentAt: sentAt, instances: listed})
}

// handleList passes the list to the cores and schedules the next read.
func (l *Loop) handleList(e listRead) {
	var routers []membership.Router
	var endpoints []withdrawal.ListedEndpoint
	for _, instance := range e.instances {
		switch instance.Role {
		case instances.RoleRouter:
			routers = append(routers, routerOf(instance))
		case instances.RoleEndpoint:
			endpoints = append(endpoints, withdrawal.ListedEndpoint{Address: withdrawal.AddressOf(instance.URL), IsLeaving: instance.Leaving})
		}
	}
	l.gossip.Step(gossip.ListRead{At: e.at, SentAt: e.sentAt, Routers: routers, Endpoints: endpoints})
	l.reads.ListRead(e.at, l.slot(), len(e.instances)*listedInstanceBytes)
	l.isListRead = true
}

func routerOf(instance instances.Instance) membership.Router {
	return membership.Router{
		Instance:      instance.Name,
		Zone:          instance.Zone,
		CallerAddress: instance.CallerAddress,
		PeerAddress:   instance.PeerAddress,
		Leaving:       instance.Leaving,
	}
}
