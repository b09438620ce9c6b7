package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/core/process/table"
	"gentianhead/platform"
)

// maxPropagationTime is the target for the time from acceptance of a change until it
// is in force on all connected routers.
const maxPropagationTime = 5 * time.Second

func modelYAML(name string, bound float64) string {
	return fmt.Sprintf("kind: model\nname: %s\nmodel: {loadBound: %g}\n", name, bound)
}

// callAPI sends one request to the resource API.
func (r *router) callAPI(t *testing.T, method, path, body string, headers ...string) answer {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+r.operators+path, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	request.Header.Set("Content-Type", "application/json")
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: data, err: err}
}

type changesAnswer struct {
	Changes []struct {
		Name     string
		Revision uint64
	}
}

// changes returns the names of the resources changed after a revision, in order.
func (r *router) changes(t *testing.T, after uint64) []string {
	t.Helper()
	var changes changesAnswer
	got := r.callAPI(t, http.MethodGet, fmt.Sprintf("/v1/changes?after=%d", after), "")
	assert.Equal(t, got.status, http.StatusOK, string(got.body))
	assert.NilError(t, json.Unmarshal(got.body, &changes))
	var names []string
	for _, change := range changes.Changes {
		names = append(names, change.Name)
	}
	return names
}

// ownRevision returns the revision in force on r itself, or 0 if r doesn't respond.
func (r *router) ownRevision(t *testing.T) uint64 {
	return r.revisions(t)[r.instance]
}

// watchRevision samples a router's revision in force until stop is called, and
// fails the test if it decreases.
func watchRevision(t *testing.T, r *router) (stop func()) {
	t.Helper()
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		highest := uint64(0)
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
			// A router that isn't ready has no revision in force and serves no requests.
			revision := r.ownRevision(t)
			if revision != 0 && revision < highest {
				t.Errorf("%s: revision decreased from %d to %d", r.instance, highest, revision)
			}
			highest = max(highest, revision)
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// Guards against applying a write twice, or rejecting its retry as a conflict, when
// the store commits but its response is lost.
func TestConfigCommitResponseLost(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, 0)
	r := f.routers[0]
	before := r.ownRevision(t)
	f.platform.setFaults(t, map[string]any{"loseAnswers": 3})
	for i := range 3 {
		output, err := r.ctl(t, modelYAML(fmt.Sprintf("lost-%d", i), 2), "apply", "--wait")
		assert.NilError(t, err, output)
	}
	assert.DeepEqual(t, r.changes(t, before), []string{"lost-0", "lost-1", "lost-2"})

	body := `{"kind":"model","name":"again","model":{"loadBound":2}}`
	for range 3 {
		got := r.callAPI(t, http.MethodPut, "/v1/resources/model/again", body, "X-Attempt-Id", "e2e-1")
		assert.Equal(t, got.status, http.StatusOK, string(got.body))
		assert.Equal(t, got.header.Get("ETag"), fmt.Sprintf("%q", fmt.Sprint(before+4)))
	}
	got := r.callAPI(t, http.MethodPut, "/v1/resources/model/other", strings.Replace(body, "again", "other", 1), "X-Attempt-Id", "e2e-1")
	assert.Equal(t, got.status, http.StatusConflict, string(got.body))
}

// Guards against slow propagation of a change to all routers.
func TestConfigPropagationSevenRouters(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 7, 0)
	var took []time.Duration
	for i := range 8 {
		writer := f.routers[i%7]
		accepted := writer.callAPI(t, http.MethodPut, "/v1/resources/model/m", fmt.Sprintf(`{"kind":"model","name":"m","model":{"loadBound":%g}}`, 2+float64(i)/10))
		assert.Equal(t, accepted.status, http.StatusOK, string(accepted.body))
		var object struct{ Revision uint64 }
		assert.NilError(t, json.Unmarshal(accepted.body, &object))
		start := time.Now()
		for _, r := range f.routers {
			awaitWithin(t, maxPropagationTime-time.Since(start), r.instance+" has the revision", func() bool {
				return r.ownRevision(t) >= object.Revision
			})
		}
		took = append(took, time.Since(start).Round(time.Millisecond))
	}
	t.Logf("time from acceptance until in force on 7 routers: %v", took)
}

// awaitWithin is like eventually, with a given timeout.
func awaitWithin(t *testing.T, bound time.Duration, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(bound); time.Now().Before(deadline); {
		if condition() {
			return
		}
		<-time.After(5 * time.Millisecond)
	}
	t.Fatalf("timed out after %s waiting for: %s", bound, what)
}

// Guards against routers that stop serving or go back to an older revision during
// a store outage, and against a restarted one that serves without a configuration.
func TestConfigStoreOutage(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3, 1)
	stops := []func(){watchRevision(t, f.routers[0]), watchRevision(t, f.routers[1])}
	before := f.routers[0].ownRevision(t)
	f.platform.setFaults(t, map[string]any{"down": true})

	refused := f.routers[0].callAPI(t, http.MethodPut, "/v1/resources/model/m", `{"kind":"model","name":"m","model":{}}`)
	assert.Equal(t, refused.status, http.StatusServiceUnavailable, string(refused.body))
	assert.Assert(t, refused.header.Get("Retry-After") != "")
	assert.Assert(t, strings.Contains(string(refused.body), "not written"), string(refused.body))

	restarted := f.routers[2]
	restarted.signal(syscall.SIGKILL)
	<-restarted.done
	restarted.restart(t)
	eventually(t, "the restarted router answers", func() bool {
		return restarted.callAPI(t, http.MethodGet, "/livez", "").status == http.StatusOK
	})
	for range 20 {
		served := f.routers[0].send(t.Context(), http.MethodPost, "/v1/chat/completions", chatBody(false))
		assert.Equal(t, served.status, http.StatusOK, string(served.body))
		unready := restarted.send(t.Context(), http.MethodGet, "/readyz", "")
		assert.Equal(t, unready.status, http.StatusServiceUnavailable)
		<-time.After(100 * time.Millisecond)
	}
	f.platform.setFaults(t, map[string]any{})
	restarted.awaitReady(t)
	assert.Equal(t, restarted.ownRevision(t), before)
	f.routers[0].apply(t, modelYAML("after", 2))
	for _, stop := range stops {
		stop()
	}
}

// Guards against a router that stays on an old revision after a pause, or goes back
// to an older one.
func TestConfigPausedRouter(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3, 0)
	paused := f.routers[2]
	stop := watchRevision(t, paused)
	paused.signal(syscall.SIGSTOP)
	for i := range 5 {
		output, err := f.routers[0].ctl(t, modelYAML("m", 2+float64(i)), "apply")
		assert.NilError(t, err, output)
	}
	output, err := f.routers[0].ctl(t, modelYAML("last", 2), "apply", "--wait", "--timeout", "1s")
	assert.Equal(t, exitCodeOf(err), 3, output)
	assert.Assert(t, strings.Contains(output, paused.instance), output)
	paused.signal(syscall.SIGCONT)
	want := f.routers[0].ownRevision(t)
	awaitWithin(t, maxPropagationTime, "the paused router has the revision", func() bool {
		return paused.ownRevision(t) == want
	})
	stop()
}

func exitCodeOf(err error) int {
	if exit, ok := err.(*exec.ExitError); ok {
		return exit.ExitCode()
	}
	return 0
}

// Guards against accepting invalid resources, and against errors that don't name the cause.
func TestResourceAPIInvalidInput(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, 0)
	r := f.routers[0]
	account := `{"kind":"client-account","name":"b","clientAccount":{"tokenSha256":"` + accountDigest + `"}}`
	cases := []struct {
		name, method, path, body, ifMatch string
		status                            int
		wantText                          string
	}{
		{"out of range", http.MethodPut, "/v1/resources/model/x", `{"kind":"model","name":"x","model":{"loadBound":99}}`, "", 422, "1 to 10"},
		{"unknown kind", http.MethodGet, "/v1/resources/engine/x", "", "", 422, "kind"},
		{"unknown field", http.MethodPut, "/v1/resources/model/x", `{"kind":"model","name":"x","model":{"loadBond":2}}`, "", 422, "loadBond"},
		{"token of another account", http.MethodPut, "/v1/resources/client-account/b", account, "", 422, "no other client account"},
		{"another revision", http.MethodPut, "/v1/resources/model/m", `{"kind":"model","name":"m","model":{}}`, "999", 412, "another writer"},
		{"malformed revision", http.MethodPut, "/v1/resources/model/m", `{"kind":"model","name":"m","model":{}}`, "x", 400, "If-Match"},
		{"delete of nothing", http.MethodDelete, "/v1/resources/model/none", "", "", 404, "no such"},
	}
	before := r.ownRevision(t)
	for _, c := range cases {
		headers := []string{}
		if c.ifMatch != "" {
			headers = []string{"If-Match", c.ifMatch}
		}
		got := r.callAPI(t, c.method, c.path, c.body, headers...)
		assert.Equal(t, got.status, c.status, "%s: %s", c.name, got.body)
		assert.Assert(t, strings.Contains(string(got.body), c.wantText), "%s: %s", c.name, got.body)
	}
	assert.Equal(t, r.ownRevision(t), before)
	openAPI := r.callAPI(t, http.MethodGet, "/openapi.json", "")
	assert.Equal(t, openAPI.status, http.StatusOK)

	dangling := "kind: endpoint\nname: e\nendpoint: {url: \"http://127.0.0.1:1\", zone: z, models: [nowhere]}\n"
	output, err := r.ctl(t, dangling, "apply", "--wait")
	assert.NilError(t, err, output)
	assert.Assert(t, strings.Contains(output, `warning: endpoint/e: model "nowhere" is not declared`), output)
}

// Guards against a watch that skips changes whose history was dropped.
func TestWatchHistoryDropped(t *testing.T) {
	t.Parallel()
	store := startStandin(t, "platform")
	puts := []table.Put{
		{Key: "config/head", Value: []byte(`{"revision":10,"digest":0}`)},
		{Key: "config/oldest", Value: []byte(`{"revision":8}`)},
	}
	for revision := 8; revision <= 10; revision++ {
		value := fmt.Sprintf(`{"object":{"kind":"model","name":"gone-%d","revision":%d,"deleted":true},"attempt":"a"}`, revision, revision)
		puts = append(puts, table.Put{Key: fmt.Sprintf("config/log/%020d", revision), Value: []byte(value)})
	}
	_, err := platform.NewStore(store.url()).Table("state").Commit(t.Context(), table.Transaction{Puts: puts})
	assert.NilError(t, err)
	r := startRouter(t, "router-1", store.url(), routerOptions{})
	r.awaitReady(t)
	assert.Equal(t, r.ownRevision(t), uint64(10))

	assert.DeepEqual(t, r.changes(t, 8), []string{"gone-9", "gone-10"})
	gone := r.callAPI(t, http.MethodGet, "/v1/changes?after=3", "")
	assert.Equal(t, gone.status, http.StatusGone, string(gone.body))
	output, err := r.ctl(t, "", "watch", "--after", "3")
	assert.Equal(t, exitCodeOf(err), 1, output)
	assert.Assert(t, strings.Contains(output, "oldest revision whose change is kept (8)"), output)
}
