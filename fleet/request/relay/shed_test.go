package relay_test

import (
	"expvar"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"gentianhead/core/process/presence"
	"gentianhead/core/request/balance"
)

// maxRounding is how much the header with a retry delay, of two decimals, exceeds it at most.
const maxRounding = 0.005

// refuseUnderPressure sends the first request to a pressured fixture, and to another one with
// another request until one is refused, and returns the response with its body. The load allows
// fewer than one request in five, and a draw by request and time tells which.
func refuseUnderPressure(t *testing.T) (*http.Response, []byte) {
	t.Helper()
	for number := range 8 {
		f := newFixture(t, 1)
		f.balancer.SetOptions(balance.Options{IsPressured: true})
		stated := []presence.Slowness{{Endpoint: presence.KeyOf("e-0"), Percent: 150}}
		work := map[presence.Key]presence.Work{presence.KeyOf("e-0"): {Running: 100}}
		f.balancer.Report("other", balance.WorkReport{Load: presence.Load{Work: work, Slowness: stated}})
		request, err := http.NewRequest(http.MethodGet, f.url+pathSafe+strconv.Itoa(number), http.NoBody)
		assert.NilError(t, err)
		request.Host = "a.example"
		request.Header.Set("Authorization", "Token "+secret)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		if response.StatusCode != http.StatusOK {
			assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
			return response, body
		}
		t.Logf("request %d was served", number)
	}
	t.Fatal("no request was refused")
	return nil, nil
}

// Guards against a refusal under pressure that may have run, doesn't say why, tells callers to
// come back when they can only be late, or isn't counted.
func TestRefusalUnderPressureSaysWhy(t *testing.T) {
	response, body := refuseUnderPressure(t)
	assert.Assert(t, strings.Contains(string(body), `"outcome":"not-run"`) && strings.Contains(string(body), "too little capacity"), "%s", body)
	delay, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, delay >= 0.05 && delay <= 2.0/3+maxRounding, "%v", delay)
	assert.Assert(t, expvar.Get("relay_shed").(*expvar.Map).Get("capacity") != nil)
	assert.Assert(t, expvar.Get("relay_by_rank").(*expvar.Map).Get("0.refused") != nil)
	assert.Assert(t, expvar.Get("relay_by_account").(*expvar.Map).Get("mill.refused") != nil)
}
