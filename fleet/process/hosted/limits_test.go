package hosted

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"gentianhead/platform"
)

// Guards against limits of a configuration that apply only from the next start on.
func TestLimitsOfConfigurationAreFollowed(t *testing.T) {
	f := newFleet(t, 1)
	address := f.routers[0].settings.Directory
	askWith := func(fieldBytes int) int {
		request, err := http.NewRequest(http.MethodGet, "http://"+address+platform.ResolvePath, nil)
		assert.NilError(t, err)
		request.Header.Set("X-Padding", strings.Repeat("a", fieldBytes))
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0
		}
		defer response.Body.Close()
		return response.StatusCode
	}
	await := func(want int) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if got := askWith(20000); got != want {
				return poll.Continue("status %d instead of %d", got, want)
			}
			return poll.Success()
		})
	}
	await(http.StatusOK)
	changed := configuration(2, "first")
	changed["Limits"] = map[string]any{"MaxHeaderBytes": 10000}
	f.store.Put(platform.TableOperator, platform.KeyConfiguration, changed)
	await(http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, askWith(9000), http.StatusOK)
	f.store.Put(platform.TableOperator, platform.KeyConfiguration, configuration(3, "first"))
	await(http.StatusOK)
}
