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

// Guards against a refusal under pressure that may have run, doesn't say why, tells callers to
// come back when they can only be late, or isn't counted.
func TestRefusalUnderPressureSaysWhy(t *testing.T) {
	f := newFixture(t, 1)
	f.balancer.SetOptions(balance.Options{IsPressured: true})
	stated := []presence.Slowness{{Endpoint: presence.KeyOf("e-0"), Percent: 150}}
	work := map[presence.Key]presence.Work{presence.KeyOf("e-0"): {Running: 100}}
	f.balancer.Report("other", balance.WorkReport{Load: presence.Load{Work: work, Slowness: stated}})
	request, err := http.NewRequest(http.MethodGet, f.url+pathSafe+"x", http.NoBody)
	assert.NilError(t, err)
	request.Host = "a.example"
	request.Header.Set("Authorization", "Token "+secret)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(string(body), `"outcome":"not-run"`) && strings.Contains(string(body), "too little capacity"), "%s", body)
	delay, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, delay >= 0.05 && delay <= 2.0/3, "%v", delay)
	assert.Assert(t, expvar.Get("relay_shed").(*expvar.Map).Get("capacity") != nil)
	assert.Assert(t, expvar.Get("relay_by_rank").(*expvar.Map).Get("0.refused") != nil)
	assert.Assert(t, expvar.Get("relay_by_account").(*expvar.Map).Get("mill.refused") != nil)
}
