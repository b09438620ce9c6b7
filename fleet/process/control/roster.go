package control

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"gentianhead/core/process/membership"
	"gentianhead/core/version/resource"
)

// UnreachableRetention is how long an unreachable router that did not leave is still
// listed. After that it has ended, has read the store itself or refuses new work.
const UnreachableRetention = 20 * time.Second

// RouterRevision is the last known active revision of one router.
type RouterRevision struct {
	Instance string
	Zone     string
	// Revision is the latest that the router reported.
	Revision resource.Revision
	// IsReachable is false for a router that is no longer in the view or that has
	// not reported yet. Its revision must not be counted as active.
	IsReachable bool
	IsLeaving   bool
}

// rosterEntry is a router with the time it was last in the view.
type rosterEntry struct {
	RouterRevision
	inViewAt time.Time
}

// roster lists live routers and, for UnreachableRetention, those that became
// unreachable. Only the control goroutine uses it.
type roster struct {
	entries map[string]rosterEntry
}

// update applies the live view and the revisions that its routers reported.
func (r *roster) update(now time.Time, view *membership.View, revisions map[string]resource.Revision) {
	if r.entries == nil {
		r.entries = make(map[string]rosterEntry)
	}
	for _, router := range view.Routers {
		revision, hasReported := revisions[router.Instance]
		r.entries[router.Instance] = rosterEntry{
			RouterRevision: RouterRevision{
				Instance: router.Instance, Zone: router.Zone, Revision: revision,
				IsReachable: hasReported, IsLeaving: router.Leaving,
			},
			inViewAt: now,
		}
	}
	for instance, entry := range r.entries {
		if _, isLive := view.Find(instance); isLive {
			continue
		}
		entry.IsReachable = false
		r.entries[instance] = entry
		if entry.IsLeaving || now.Sub(entry.inViewAt) > UnreachableRetention {
			delete(r.entries, instance)
		}
	}
}

// list returns the routers sorted by instance.
func (r *roster) list() []RouterRevision {
	routers := make([]RouterRevision, 0, len(r.entries))
	for entry := range maps.Values(r.entries) {
		routers = append(routers, entry.RouterRevision)
	}
	slices.SortFunc(routers, func(a, b RouterRevision) int { return strings.Compare(a.Instance, b.Instance) })
	return routers
}

// broadcast wakes every waiter at once. It is safe for concurrent use.
type broadcast struct {
	mu     sync.Mutex
	waiter chan struct{}
}

// channel returns a channel that the next notify closes.
func (b *broadcast) channel() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiter == nil {
		b.waiter = make(chan struct{})
	}
	return b.waiter
}

func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiter != nil {
		close(b.waiter)
		b.waiter = nil
	}
}
