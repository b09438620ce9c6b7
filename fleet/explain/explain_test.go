package explain

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"gentianhead/core/request/outcome"
)

const log = `edge-1 {"time":"2026-06-22T05:52:40Z","msg":"control: Configuration in force.","version":2}
edge-2 {"time":"2026-06-22T05:52:42Z","msg":"balance: Trust in an endpoint changed.","endpoint":"e-1","isTrusted":false}
edge-2 {"time":"2026-06-22T05:52:42Z","msg":"control: Configuration in force.","version":2}
starting up
edge-1 {"time":"2026-06-22T05:52:43Z","msg":"relay: Request failed.","request":"r1","took":43000000,"version":2,"confirmedAgo":1500000000,"route":"orders","service":"plain","account":"mill","attempts":[{"endpoint":"e-1","at":1000,"running":4,"took":42000000,"head":41000000,"ended":"the endpoint refused the request"}],"parts":["aa","bb"],"code":"overloaded","outcome":"not-run","detail":"the endpoint refused the request","retryAfter":500000000}
edge-1 {"time":"2026-06-22T05:52:44Z","msg":"balance: Trust in an endpoint changed.","endpoint":"e-1","isTrusted":true}
edge-2 {"time":"2026-06-22T05:52:45Z","msg":"balance: Quarantine of a prompt part changed.","partId":"bad","isQuarantined":true,"crashes":3,"reason":"crashes"}
edge-1 {"time":"2026-06-22T05:52:46Z","msg":"relay: Request failed.","request":"r4","took":90000,"parts":["shared","bad","own"],"code":"quarantined","outcome":"not-run","detail":"3 endpoints crashed while they answered requests with the part \"bad\"","retryAfter":29000000000}
edge-1 {"time":"2026-06-22T05:51:00Z","msg":"balance: The request rate of an endpoint changed.","endpoint":"e-8","service":"slow","isLimited":true,"perSecond":1.5,"part":0.5}
edge-1 {"time":"2026-06-22T05:52:47Z","msg":"relay: Request failed.","request":"r5","took":90000,"service":"slow","code":"endpoint-limit","outcome":"not-run","detail":"all endpoints of the service are at the request rates that they state","retryAfter":700000000}
edge-1 {"time":"2026-06-22T05:52:48Z","msg":"relay: Request failed.","request":"r6","took":90000,"sinceStop":2100000000,"code":"stopping","outcome":"not-run","detail":"this router stops before the request could be answered","retryAfter":50000000}
edge-1 {"time":"2026-06-22T05:52:49Z","msg":"relay: Request failed.","request":"r7","took":9000000000,"code":"stopping","outcome":"unknown","attempts":[{"endpoint":"e-3","ended":"this router stopped before the response was complete"}]}
edge-1 {"time":"2026-06-22T05:52:50Z","msg":"relay: Request failed.","request":"r8","took":90000,"service":"plain","code":"load-bound","outcome":"not-run","detail":"the endpoints of the service have too little capacity for its rank","rank":2,"shed":{"reason":"rank","fraction":0.4,"rank":2,"expected":240000000,"capacity":455.5,"age":300000000},"retryAfter":70000000}
edge-1 {"time":"2026-06-22T05:52:53Z","msg":"relay: Request answered.","request":"r2","took":10000000,"attempts":[{"endpoint":"e-1","ended":"the endpoint can't be reached"},{"endpoint":"e-2"}]}
`

func read(t *testing.T, text string) []Line {
	t.Helper()
	lines, skipped, err := Read("file", strings.NewReader(text))
	assert.NilError(t, err)
	assert.Equal(t, skipped, strings.Count(text, "starting up"))
	return lines
}

func TestReportRefusedRequest(t *testing.T) {
	reports, err := Find(read(t, log), "r1")
	assert.NilError(t, err)
	assert.Equal(t, len(reports), 1)
	report := reports[0]
	assert.Equal(t, report.Router, "edge-1")
	assert.Equal(t, report.Code, outcome.CodeOverloaded)
	assert.Equal(t, report.Explanation(), "Endpoint e-1 refused it, and it can't be retried on another.")
	var events []string
	for _, event := range report.Events {
		events = append(events, event.Router+" "+event.Message)
	}
	assert.DeepEqual(t, events, []string{
		"edge-1 control: Configuration in force.",
		"edge-2 balance: Trust in an endpoint changed.",
	})
	var printed strings.Builder
	report.Print(&printed)
	for _, part := range []string{"r1 on router edge-1", "overloaded, not-run", "to e-1, which had 4 requests", "retry after 500ms", "-1.000 s edge-2", "head after 41ms and no event", "prompt parts: aa, bb"} {
		assert.Assert(t, strings.Contains(printed.String(), part), "%q is missing in\n%s", part, printed.String())
	}
}

// Guards against requests around a stop whose cause the logs can't tell.
func TestReportRequestDuringStop(t *testing.T) {
	for id, want := range map[string]string{
		"r6": "Refused: the router was stopping and might have ended before the answer.",
		"r7": "The router stopped while endpoint e-3 was processing it.",
	} {
		reports, err := Find(read(t, log), id)
		assert.NilError(t, err)
		assert.Equal(t, reports[0].Explanation(), want)
	}
}

// Guards against a refusal under load that doesn't say what it rests on.
func TestReportShedRequest(t *testing.T) {
	reports, err := Find(read(t, log), "r8")
	assert.NilError(t, err)
	assert.Equal(t, reports[0].Explanation(), "Refused while capacity was short: the endpoints of the service have too little capacity for its rank. "+
		"40% of such requests of rank 2 were refused. The expected time to the answer was 240ms. "+
		"The endpoints of plain were expected to serve 455.5 requests a second. That rests on reports of other routers that were 300ms old.")
}

// Guards against a refusal whose cause, crashes seen by other routers, can't be found.
func TestReportQuarantinedRequest(t *testing.T) {
	reports, err := Find(read(t, log), "r4")
	assert.NilError(t, err)
	var printed strings.Builder
	reports[0].Print(&printed)
	for _, part := range []string{
		`Refused without being sent: 3 endpoints crashed while they answered requests with the part "bad"`, "prompt parts: shared, bad, own",
		"retry after 29s", "edge-2: ", "Quarantine of a prompt part changed.",
	} {
		assert.Assert(t, strings.Contains(printed.String(), part), "%q is missing in\n%s", part, printed.String())
	}
}

// Guards against a refusal for request rates that can't be found, as they were stated long
// before.
func TestReportRequestAtLimit(t *testing.T) {
	reports, err := Find(read(t, log), "r5")
	assert.NilError(t, err)
	var printed strings.Builder
	reports[0].Print(&printed)
	for _, part := range []string{"all endpoints of slow were at the request rates that they state", "The request rate of an endpoint changed.", `"perSecond":1.5`, "retry after 700ms"} {
		assert.Assert(t, strings.Contains(printed.String(), part), "%q is missing in\n%s", part, printed.String())
	}
}

func TestReportRetriedRequest(t *testing.T) {
	reports, err := Find(read(t, log), "r2")
	assert.NilError(t, err)
	assert.Assert(t, reports[0].IsAnswered)
	assert.Equal(t, reports[0].Took, 10*time.Millisecond)
	assert.Equal(t, reports[0].Explanation(), "Answered by endpoint e-2 after 1 failed attempt(s).")
}

func TestFindUnknownRequest(t *testing.T) {
	_, err := Find(read(t, log), "r3")
	assert.Assert(t, errors.Is(err, ErrNotFound))
}

func TestReadRouterName(t *testing.T) {
	lines := read(t, `{"time":"2026-06-22T05:52:40Z","msg":"control: Role of watcher changed."}
{"time":"2026-06-22T05:52:41Z","msg":"hosted: Started.","instance":"edge-7"}
{"time":"2026-06-22T05:52:42Z","msg":"relay: Request answered.","request":"r"}`)
	assert.Equal(t, lines[0].Router, "file")
	assert.Equal(t, lines[2].Router, "edge-7")
}

// Guards against a code of the relay without an explanation.
func TestExplanationRelayCodes(t *testing.T) {
	for _, code := range []outcome.Code{
		outcome.CodeNotReady, outcome.CodeIsolated, outcome.CodeBadRequest, outcome.CodeNotFound, outcome.CodeUnauthenticated,
		outcome.CodeBodyTooLarge, outcome.CodeOverloaded, outcome.CodeNoEndpoint, outcome.CodeLoadBound, outcome.CodeDeadline,
		outcome.CodeEndpointFailed, outcome.CodeAbandoned, outcome.CodeQuarantined, outcome.CodeEndpointLimit,
		outcome.CodeEvacuated,
	} {
		for _, attempts := range [][]outcome.Attempt{nil, {{Endpoint: "e-1", Ended: "it failed"}}} {
			report := Report{Code: code, Service: "s", Attempts: attempts}
			assert.Assert(t, !strings.HasPrefix(report.Explanation(), "The logs contain no known cause"), string(code))
		}
	}
}
