package hosted

import (
	"expvar"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"gentianhead/fleet/process/telemetry"
)

// defaultVars are the variables that package expvar publishes by default.
var defaultVars = []string{"cmdline", "memstats"}

// Guards against metrics that are undocumented, or documented but not served.
func TestOperationsPageListsMetrics(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	listed := regexp.MustCompile(`gentianhead_[a-z_]+`).FindAllString(string(page), -1)
	slices.Sort(listed)
	var served []string
	expvar.Do(func(kv expvar.KeyValue) {
		if !slices.Contains(defaultVars, kv.Key) {
			served = append(served, "gentianhead_"+kv.Key)
		}
	})
	slices.Sort(served)
	assert.DeepEqual(t, slices.Compact(listed), served)
}

func TestMetricsTextFormat(t *testing.T) {
	recorder := httptest.NewRecorder()
	telemetry.MetricsHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	assert.Equal(t, recorder.Code, http.StatusOK)
	line := regexp.MustCompile(`^gentianhead_[a-z_]+(\{[a-z]+="[^"]*"\})? [-+0-9.eE]+$`)
	for _, text := range strings.Split(strings.TrimSpace(recorder.Body.String()), "\n") {
		assert.Assert(t, strings.HasPrefix(text, "#") || line.MatchString(text), "%q", text)
	}
}
