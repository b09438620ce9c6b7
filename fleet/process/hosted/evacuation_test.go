package hosted

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/core/process/evacuation"
	"gentianhead/core/version/routetable"
	"gentianhead/fleet/process/boottime"
	"gentianhead/platform"
	"gentianhead/platform/platformtest"
)

// awaitZones waits until all routers know which zones are evacuated.
func (f *fleet) awaitZones(zones ...string) {
	f.t.Helper()
	for _, router := range f.routers {
		f.eventually(fmt.Sprint(zones, " known to be evacuated"), func() bool {
			current := router.control.current.Load()
			return current.hasEvacuations && slices.Equal(current.evacuated, zones)
		})
	}
}

// addEndpoint adds an endpoint of the service in zone-2 and waits until all routers know it.
func (f *fleet) addEndpoint() *platformtest.Endpoint {
	f.t.Helper()
	second := platformtest.NewEndpoint("e-2")
	f.t.Cleanup(second.Close)
	second.Zone = "zone-2"
	f.store.Put(platform.TableEndpoints, second.ID, second.Entry("plain", "ready"))
	for _, router := range f.routers {
		f.eventually("both endpoints known", func() bool { return router.control.current.Load().endpointCount == 2 })
	}
	return second
}

// Guards against requests that reach an evacuated zone, from watchers and from routers that hear
// of it, and against a zone that is not used again. With all zones evacuated, callers must get a
// refusal at once.
func TestEvacuatedZones(t *testing.T) {
	f := newFleet(t, 5)
	f.awaitWatchers()
	second := f.addEndpoint()
	send := func(status int) {
		t.Helper()
		for number := range f.routers {
			for i := range 4 {
				assert.Equal(t, f.status(number, "first", fmt.Sprint("r-", number, i, time.Now().UnixNano())), status)
			}
		}
	}
	f.store.Evacuate("zone-1")
	f.store.Evacuate("nowhere")
	f.awaitZones("nowhere", "zone-1")
	before := f.endpoint.RequestCount()
	send(http.StatusOK)
	assert.Equal(t, f.endpoint.RequestCount(), before)
	f.store.EndEvacuation("nowhere")
	f.store.Put(platform.TableOperator, "evacuate/zone-2", []byte("no JSON"))
	f.store.Put(platform.TableOperator, "evacuate/", []byte("no zone"))
	f.store.Compact()
	f.awaitZones("zone-1", "zone-2")
	f.eventually("refused", func() bool {
		return f.status(0, "first", fmt.Sprint("s-", time.Now().UnixNano())) == http.StatusServiceUnavailable
	})
	before = f.endpoint.RequestCount() + second.RequestCount()
	send(http.StatusServiceUnavailable)
	assert.Equal(t, f.endpoint.RequestCount()+second.RequestCount(), before)
	refused := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/orders/1", nil)
	request.Host = hostName
	request.Header.Set("Authorization", "Token first")
	f.routers[0].relay.ServeHTTP(refused, request)
	assert.Equal(t, refused.Code, http.StatusServiceUnavailable)
	assert.Assert(t, refused.Header().Get("Retry-After") != "" && strings.Contains(refused.Body.String(), `"code":"evacuated"`), "%v", refused)
	f.store.EndEvacuation("zone-1")
	f.store.EndEvacuation("zone-2")
	f.awaitZones()
	send(http.StatusOK)
}

// Guards against requests that reach an evacuated zone after a drill, in which the store has lost
// the row and the operator writes it again, also from a router that starts then.
func TestEvacuationSurvivesDrill(t *testing.T) {
	f := newFleet(t, 3)
	for number := range 3 {
		f.eventually("all routers resolved", func() bool { return len(f.resolve(number)) == 3 })
	}
	f.addEndpoint()
	older := f.store.Copy()
	f.store.Evacuate("zone-1")
	f.awaitZones("zone-1")
	before := f.endpoint.RequestCount()
	lost := f.store.Restore(older)
	f.start(3)
	rewriteAt := boottime.Now() + time.Second
	for isRewritten := false; boottime.Now() < rewriteAt+2*time.Second; {
		for number := range f.routers {
			f.status(number, "first", fmt.Sprint("d-", number, time.Now().UnixNano()))
		}
		if !isRewritten && boottime.Now() >= rewriteAt {
			f.store.Rewrite(lost, platform.TableOperator, platform.TableEndpoints)
			isRewritten = true
		}
	}
	assert.Equal(t, f.endpoint.RequestCount(), before)
	f.awaitZones("zone-1")
	assert.Equal(t, f.routers[3].control.current.Load().era, uint64(1))
}

// Guards against a router that has lost the store and goes on sending to a zone that the others
// know to be evacuated.
func TestEvacuationReachesRouterWithoutStore(t *testing.T) {
	f := newFleet(t, 3)
	own := platformtest.NewStore()
	t.Cleanup(own.Close)
	own.Put(platform.TableOperator, platform.KeyConfiguration, configuration(1, "first"))
	own.Put(platform.TableEndpoints, f.endpoint.ID, f.endpoint.Entry("plain", "ready"))
	for i := range 20 {
		f.store.Put("other", fmt.Sprint(i), i)
	}
	f.startAt(3, own.Address)
	f.routers[3].control.events <- routersDiscovered{[]string{f.routers[0].settings.Peers.String()}}
	for number := range 4 {
		f.eventually("all routers resolved", func() bool { return len(f.resolve(number)) == 4 })
	}
	f.eventually("request served", func() bool { return f.status(3, "first", fmt.Sprint("a-", time.Now().UnixNano())) == http.StatusOK })
	own.SetFault(platformtest.Unavailable)
	f.store.Evacuate("zone-1")
	f.awaitZones("zone-1")
	before := f.endpoint.RequestCount()
	assert.Equal(t, f.status(3, "first", "b"), http.StatusServiceUnavailable)
	assert.Equal(t, f.endpoint.RequestCount(), before)
	f.store.EndEvacuation("zone-1")
	f.awaitZones()
}

// Guards against a router that says it is ready before it knows the evacuated zones, and against
// one that never does, as it gets them from another router only.
func TestReadyOnceEvacuationsKnown(t *testing.T) {
	c, others := newControlWithEndpoint(t)
	table, err := routetable.New(routetable.Spec{Version: 7})
	assert.NilError(t, err)
	c.state.table = table
	now := boottime.Now()
	assert.Assert(t, !c.state.isReady(now))
	c.handleBeacon(now, others[0])
	assert.Assert(t, !c.state.isReady(now), "a release before evacuations knows none")
	others[0].Evacuations = &evacuation.State{Version: 3, Zones: []string{"zone-1"}}
	c.handleBeacon(now, others[0])
	assert.Assert(t, c.state.isReady(now))
	assert.DeepEqual(t, c.state.evacuated, []string{"zone-1"})
	assert.DeepEqual(t, c.beacon(now).Evacuations, others[0].Evacuations)
	member, _ := c.presence.Member(others[0].Peer)
	assert.Equal(t, member.Evacuations, (*evacuation.State)(nil), "kept for each of many routers")
}
