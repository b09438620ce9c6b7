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

// UnreachableLife is how long a router that fell silent without leaving is still
// named. After that it has ended, has read the store itself, or refuses new work.
const UnreachableLife = 20 * time.Second

// RouterInForce says what one router has in force, as far as is known.
type RouterInForce struct {
	Instance string
	Zone     string
	// Revision is the newest that the router reported.
	Revision resource.Revision
	// IsReachable is false for a router that is no longer believed live or that
	// has not reported yet. Its revision must not be counted as in force.
	IsReachable bool
	IsLeaving   bool
}

// rosterEntry is a router with the time at which it was last in the view.
type rosterEntry struct {
	RouterInForce
	inViewAt time.Time
}

// roster remembers routers for a while after they fell silent. Only the control
// goroutine uses it.
type roster struct {
	entries map[string]rosterEntry
}

// update takes in the live view and the revisions heard of its routers.
func (r *roster) update(now time.Time, view *membership.View, heads map[string]resource.Revision) {
	if r.entries == nil {
		r.entries = make(map[string]rosterEntry)
	}
	for _, router := range view.Routers {
		revision, isHeard := heads[router.Instance]
		r.entries[router.Instance] = rosterEntry{
			RouterInForce: RouterInForce{
				Instance: router.Instance, Zone: router.Zone, Revision: revision,
				IsReachable: isHeard, IsLeaving: router.Leaving,
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
		if entry.IsLeaving || now.Sub(entry.inViewAt) > UnreachableLife {
			delete(r.entries, instance)
		}
	}
}

// list returns the routers sorted by instance.
func (r *roster) list() []RouterInForce {
	routers := make([]RouterInForce, 0, len(r.entries))
	for entry := range maps.Values(r.entries) {
		routers = append(routers, entry.RouterInForce)
	}
	slices.SortFunc(routers, func(a, b RouterInForce) int { return strings.Compare(a.Instance, b.Instance) })
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
