package hosted

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
