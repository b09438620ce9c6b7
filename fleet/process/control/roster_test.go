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

func TestSilentRouterIsNamedAndNotCounted(t *testing.T) {
	var r roster
	now := time.Unix(1000, 0)
	a, b := membership.Router{Instance: "a"}, membership.Router{Instance: "b"}
	heads := map[string]resource.Revision{"a": 3}
	r.update(now, view(a, b), heads)
	assert.DeepEqual(t, r.list(), []RouterInForce{
		{Instance: "a", Revision: 3, IsReachable: true},
		{Instance: "b"},
	})

	heads["b"] = 3
	r.update(now, view(a, b), heads)
	r.update(now.Add(UnreachableLife), view(a), heads)
	assert.DeepEqual(t, r.list(), []RouterInForce{
		{Instance: "a", Revision: 3, IsReachable: true},
		{Instance: "b", Revision: 3, IsReachable: false},
	})
	r.update(now.Add(UnreachableLife+1), view(a), heads)
	assert.Equal(t, len(r.list()), 1)
}

func TestRouterThatLeftIsNotNamed(t *testing.T) {
	var r roster
	now := time.Unix(1000, 0)
	a, b := membership.Router{Instance: "a"}, membership.Router{Instance: "b", Leaving: true}
	r.update(now, view(a, b), nil)
	assert.Equal(t, len(r.list()), 2)
	r.update(now, view(a), nil)
	assert.Equal(t, len(r.list()), 1)
}

func TestBroadcastWakesEveryWaiter(t *testing.T) {
	var b broadcast
	first, second := b.channel(), b.channel()
	b.notify()
	<-first
	<-second
	select {
	case <-b.channel():
		t.Fatal("woken without a notification")
	default:
	}
}
