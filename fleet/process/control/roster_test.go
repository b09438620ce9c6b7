package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/core/process/membership"
	"gentianhead/core/version/resource"
)

func view(routers ...membership.Router) *membership.View {
	return &membership.View{Routers: routers}
}

// Guards against counting the last revision of an unreachable router as active,
// and against dropping the router from the list before UnreachableRetention.
func TestRosterUnreachableRouter(t *testing.T) {
	var r roster
	now := time.Unix(1000, 0)
	a, b := membership.Router{Instance: "a"}, membership.Router{Instance: "b"}
	revisions := map[string]resource.Revision{"a": 3}
	r.update(now, view(a, b), revisions)
	assert.DeepEqual(t, r.list(), []RouterRevision{
		{Instance: "a", Revision: 3, IsReachable: true},
		{Instance: "b"},
	})

	revisions["b"] = 3
	r.update(now, view(a, b), revisions)
	r.update(now.Add(UnreachableRetention), view(a), revisions)
	assert.DeepEqual(t, r.list(), []RouterRevision{
		{Instance: "a", Revision: 3, IsReachable: true},
		{Instance: "b", Revision: 3, IsReachable: false},
	})
	r.update(now.Add(UnreachableRetention+1), view(a), revisions)
	assert.Equal(t, len(r.list()), 1)
}

// Guards against listing a router as unreachable after it left gracefully.
func TestRosterLeftRouter(t *testing.T) {
	var r roster
	now := time.Unix(1000, 0)
	a, b := membership.Router{Instance: "a"}, membership.Router{Instance: "b", Leaving: true}
	r.update(now, view(a, b), nil)
	assert.Equal(t, len(r.list()), 2)
	r.update(now, view(a), nil)
	assert.Equal(t, len(r.list()), 1)
}

func TestBroadcastMultipleWaiters(t *testing.T) {
	var b broadcast
	first, second := b.channel(), b.channel()
	b.notify()
	<-first
	<-second
	select {
	case <-b.channel():
		t.Fatal("channel closed without a call of notify")
	default:
	}
}
