package hosted

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/core/process/presence"
	"gentianhead/core/process/table"
	"gentianhead/fleet/process/boottime"
	"gentianhead/platform"
	"gentianhead/platform/platformtest"
)

// Guards against an odd entry that ends the routers that read it or hand it on, that keeps
// them from following the others, or whose numbers break the choice of an endpoint.
func TestOddEntriesKeepOthers(t *testing.T) {
	f := newFleet(t, 2)
	served := 0
	serves := func(reason string) {
		t.Helper()
		f.eventually(reason, func() bool {
			served++
			for number := range f.routers {
				if f.status(number, "first", fmt.Sprint("odd-", served, "-", number)) != http.StatusOK {
					return false
				}
			}
			return true
		})
	}
	know := func(reason string, want int) {
		t.Helper()
		f.eventually(reason, func() bool {
			return f.routers[0].control.current.Load().endpointCount == want && f.routers[1].control.current.Load().endpointCount == want
		})
	}
	serves("requests served")
	for number, value := range platformtest.OddEntries("plain", f.endpoint.Address) {
		f.store.Put(platform.TableEndpoints, fmt.Sprintf("odd-%d", number), value)
	}
	for _, key := range platformtest.OddKeys() {
		f.store.Put(platform.TableEndpoints, key, f.endpoint.Entry("plain", "ready"))
	}
	f.store.Put(platform.TableEndpoints, "e-2", f.endpoint.Entry("plain", "ready"))
	know("only the two sound entries are used", 2)
	f.store.Delete(platform.TableEndpoints, "e-2")
	know("a change after the odd entries is followed", 1)
	f.store.Compact()
	f.start(2)
	serves("requests served by a router that starts with odd entries")
	odd := f.endpoint.Entry("plain", "ready")
	odd["Slots"] = 9.3e18
	f.store.Put(platform.TableEndpoints, f.endpoint.ID, odd)
	know("an endpoint whose entry became odd isn't used", 0)
	f.store.Put(platform.TableEndpoints, f.endpoint.ID, f.endpoint.Entry("plain", "ready"))
	serves("requests served after the entry is sound again")
}

// Guards against an odd entry that another router hands on.
func TestOddEntriesFromOtherRouter(t *testing.T) {
	c, others := newControlWithEndpoint(t)
	for number, value := range platformtest.OddEntries("plain", "127.0.0.1:9") {
		now := boottime.Now()
		others[0].EndpointChanges = []table.Row{{Key: fmt.Sprint("odd-", number), Value: value, Version: uint64(number + 2)}}
		c.handleBeacon(now, others[0])
		c.balancer.Tick()
		assert.Equal(t, c.state.endpointCount, 1, "%.300s", value)
	}
}

// Guards against an entry that became odd around an outage of the store and is taken for one
// that expired, whose endpoint is kept.
func TestOddEntryDuringOutage(t *testing.T) {
	for _, value := range platformtest.OddEntries("plain", "127.0.0.1:9") {
		c, others := newControlWithEndpoint(t)
		c.endpoints.StoreFailed()
		others[0].EndpointChanges = []table.Row{{Key: "e-1", Value: value, Version: 2}}
		c.handleBeacon(boottime.Now(), others[0])
		assert.Equal(t, c.state.endpointCount, 0, "%.300s", value)
	}
}

// Guards against odd rows in the table of routers that keep a router from finding the others,
// and against one odd quarantine that drops the others.
func TestOddRowsAmongRouters(t *testing.T) {
	f := newFleet(t, 0)
	for number, value := range []string{"", "null", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:99999", "[::1%lo]:9", "host:80", "\xff", string(make([]byte, 60<<10))} {
		f.store.Put(tableRouters, fmt.Sprint("a-odd-", number), []byte(value))
	}
	for _, key := range platformtest.OddKeys() {
		f.store.Put(tableRouters, key, []byte(key))
	}
	quarantines := `[{"part":"f","revision":2,"crashes":3,"decidedMs":1,"periodMs":30000},{"part":"e","crashes":1e999},` +
		`{"part":"zz"},7,null,{"part":"d","revision":4294967295,"crashes":4294967295,"decidedMs":-9223372036854775808,"periodMs":4294967295}]`
	f.store.Put(tableRouters, keyQuarantine, []byte(quarantines))
	for number := range 2 {
		f.start(number)
	}
	for number := range 2 {
		f.eventually("routers know each other", func() bool { return len(f.resolve(number)) == 2 })
		f.eventually("the sound quarantine is known", func() bool {
			for _, verdict := range f.routers[number].control.balancer.Quarantined() {
				if verdict.Part == presence.PartKey(15) {
					return true
				}
			}
			return false
		})
	}
}

// Guards against one odd quarantine that drops the others.
func TestOddQuarantineKeepsOthers(t *testing.T) {
	for _, odd := range []string{"null", "7", "{}", `{"part":7}`, `{"part":"1","crashes":1e999}`, `{"part":"1","revision":-1}`, `{"part":"1","decidedMs":1e30}`} {
		verdicts, err := decodeQuarantine(time.UnixMilli(5000), []byte(`[{"part":"f","periodMs":100},`+odd+`,{"part":"e","periodMs":100}]`))
		assert.Assert(t, err != nil, odd)
		assert.Equal(t, len(verdicts), 2, odd)
	}
}
