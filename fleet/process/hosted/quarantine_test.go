package hosted

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/core/process/presence"
	"gentianhead/platform"
	"gentianhead/platform/platformtest"
)

// ask sends a request for a stream to a router and returns the status, zero if it broke off.
func (f *fleet) ask(number int, id string, parts ...string) int {
	f.t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+f.routers[number].settings.Callers+"/chat/1", strings.NewReader("prompt"))
	assert.NilError(f.t, err)
	request.Host = hostName
	request.Header.Set("Authorization", "Token first")
	request.Header.Set("Gentianhead-Attempt-Id", id)
	request.Header.Set("Gentianhead-Model", "m")
	request.Header.Set("Gentianhead-Token-Usage", "30,5")
	request.Header.Set("Gentianhead-Prompt-Prefix", strings.Join(append(parts, id), ":10,")+":10")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

func chatConfiguration() map[string]any {
	c := configuration(2, "first")
	c["RouteTable"] = append(c["RouteTable"].([]map[string]any), map[string]any{
		"Name": "chat", "Hostname": hostName, "Prefix": "/chat/", "RouteType": "streaming",
		"TimeoutMs": 5000, "TargetLatencyMs": 300, "Service": "pool", "MaxAttempts": 2, "SessionAffinity": true,
	})
	c["Services"] = append(c["Services"].([]map[string]any), map[string]any{"Name": "pool", "MaxConnections": 100})
	return c
}

// Guards against routers that each crash endpoints of their own to learn what others know,
// and against a router that knows nothing after its start.
func TestQuarantineReachesAllRouters(t *testing.T) {
	const crashingPart = "c4a5"
	f := newFleet(t, 3)
	f.store.Put(platform.TableOperator, platform.KeyConfiguration, chatConfiguration())
	var all []*platformtest.Endpoint
	for number := range 12 {
		endpoint := platformtest.NewEndpoint(fmt.Sprint("chat-", number))
		t.Cleanup(endpoint.Close)
		endpoint.CrashParts = []string{crashingPart}
		all = append(all, endpoint)
		f.store.Put(platform.TableEndpoints, endpoint.ID, endpoint.Entry("pool", "ready"))
	}
	crashes := func() int {
		count := 0
		for _, endpoint := range all {
			if !endpoint.CrashedAt().IsZero() {
				count++
			}
		}
		return count
	}
	for number := range 3 {
		f.eventually("sound request served", func() bool {
			return f.ask(number, fmt.Sprintf("sound-%d-%d", number, time.Now().UnixNano()), "shared") == http.StatusOK
		})
	}
	sent := 0
	f.eventually("requests with the part refused by all", func() bool {
		for number := range 3 {
			sent++
			if f.ask(number, fmt.Sprint("crashing-", sent), "shared", crashingPart) != http.StatusServiceUnavailable {
				<-time.After(300 * time.Millisecond)
				return false
			}
		}
		return true
	})
	learned := crashes()
	t.Logf("%d endpoints crashed by %d requests", learned, sent)
	assert.Assert(t, learned <= 5, "%d endpoints crashed", learned)
	f.start(3)
	f.eventually("started router serves", func() bool {
		return f.ask(3, fmt.Sprintf("sound-3-%d", time.Now().UnixNano()), "shared") == http.StatusOK
	})
	f.eventually("started router knows the others", func() bool { return len(f.resolve(3)) == 4 })
	for number := range 4 {
		f.eventually("part refused", func() bool {
			sent++
			return f.ask(number, fmt.Sprint("crashing-", sent), "shared", crashingPart) == http.StatusServiceUnavailable
		})
	}
	assert.Assert(t, crashes()-learned <= 1, "%d more endpoints crashed", crashes()-learned)
}

// Guards against a loss of all routers after which the next ones crash endpoints again to
// learn what was known.
func TestQuarantineSurvivesLossOfAllRouters(t *testing.T) {
	f := newFleet(t, 2)
	verdict := presence.Verdict{Part: 1 << 63, Revision: 3, Crashes: 4, Period: 60_000}
	f.routers[1].control.balancer.AdoptQuarantined([]presence.Verdict{verdict})
	isQuarantined := func(number int) bool { return len(f.routers[number].control.balancer.Quarantined()) == 1 }
	f.eventually("both routers know the quarantine", func() bool { return isQuarantined(0) && isQuarantined(1) })
	f.eventually("quarantine stored", func() bool { return slices.Contains(f.store.Keys(tableRouters), keyQuarantine) })
	for number := range 2 {
		f.stops[number]()
		assert.NilError(t, <-f.ended[number])
	}
	f.start(2)
	f.eventually("started router knows the quarantine", func() bool { return isQuarantined(2) })
	got := f.routers[2].control.balancer.Quarantined()[0]
	assert.Equal(t, got.Part, verdict.Part)
	assert.Equal(t, got.Revision, verdict.Revision)
	assert.Assert(t, got.Age < 60_000)
}

// Guards against a row that stays when nothing is in quarantine.
func TestEndedQuarantineRemovedFromStore(t *testing.T) {
	f := newFleet(t, 1)
	balancer := f.routers[0].control.balancer
	balancer.AdoptQuarantined([]presence.Verdict{{Part: 7, Revision: 1, Crashes: 3, Period: 60_000}})
	isStored := func() bool { return slices.Contains(f.store.Keys(tableRouters), keyQuarantine) }
	f.eventually("quarantine stored", isStored)
	balancer.AdoptQuarantined([]presence.Verdict{{Part: 7, Revision: 2, IsLifted: true}})
	f.eventually("row removed", func() bool { return !isStored() })
}

// Guards against a row of another writer, or a broken one, that ends routers at their start.
func TestUnreadableStoredQuarantine(t *testing.T) {
	for _, value := range []string{"", "no list", `[{"part":"zz"}]`, `[{"part":"1","revision":-1}]`, `[{"part":7}]`} {
		_, err := decodeQuarantine(time.Now(), []byte(value))
		assert.Assert(t, err != nil, value)
	}
	verdicts, err := decodeQuarantine(time.UnixMilli(5000), []byte(`[{"part":"f","revision":2,"crashes":3,"decidedMs":9000,"periodMs":30000},{"part":"e","periodMs":100}]`))
	assert.NilError(t, err)
	want := []presence.Verdict{{Part: 15, Revision: 2, Crashes: 3, Period: 30000}, {Part: 14, Age: 100, Period: 100}}
	assert.Assert(t, slices.Equal(verdicts, want), "%+v", verdicts)
}
