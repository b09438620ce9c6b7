package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"gentianhead/platform/platformtest"
)

// maxTransitTime bounds the time from sending a request to its arrival at the router.
const maxTransitTime = 200 * time.Millisecond

// check compares the responses that callers received with the requests that endpoints ran.
func (h *harness) check() {
	runs, known, served := make(map[string]int), make(map[string]*attempt), 0
	for _, a := range h.recorder.attempts {
		known[a.id] = a
	}
	for _, endpoint := range slices.Concat(h.crashes.all, h.endpoints, h.slow, h.cold) {
		for _, run := range endpoint.Runs() {
			id := run.Header.Get("Gentianhead-Attempt-Id")
			runs[id]++
			a := known[id]
			if a == nil {
				h.t.Errorf("%s ran but no caller sent it", id)
				continue
			}
			if run.Body != bodyOf(a) || run.Header.Get("Gentianhead-Tenant") != accountOf(a) || run.Header.Get("Authorization") != "" {
				h.t.Errorf("%s reached the endpoint altered: %+v", id, run)
			}
		}
	}
	for _, a := range h.recorder.attempts {
		if a.status == http.StatusOK && a.err == nil {
			served++
		}
		h.checkAnswer(a)
		h.checkRuns(a, runs[a.id])
	}
	h.checkDrains()
	h.checkEvacuations()
	h.checkCrashes()
	h.checkLimits()
	h.checkCold()
	h.checkConnections(runs)
	h.checkStops()
	h.t.Logf("%d requests, %d served", len(h.recorder.attempts), served)
	if served == 0 {
		h.t.Error("no request was served")
	}
}

func accountOf(a *attempt) string {
	if a.repeats != nil {
		return a.repeats.account
	}
	return accountMill
}

// checkAnswer checks that a response is complete and belongs to the request.
func (h *harness) checkAnswer(a *attempt) {
	if a.status != http.StatusOK {
		return
	}
	signer := strings.TrimPrefix(a.header.Get("Gentianhead-Server-Signature"), "signed-by-")
	if signer == "" || a.header.Get("Gentianhead-Attempt-Id") != a.id {
		h.t.Errorf("%s (%s) got the response of another request: %v", a.id, a.kind, a.header)
	}
	want := platformtest.ResponseBody(signer, a.id) + padding(a.kind)
	if a.kind.isStream() {
		want = wantStreamBody()
	}
	isWhole := a.body == shorten(a.kind, want)
	if !isWhole && (a.err == nil || !strings.HasPrefix(want, a.body)) {
		h.t.Errorf("%s (%s) got %.200q, error %v", a.id, a.kind, a.body, a.err)
	}
}

func wantStreamBody() string {
	var b strings.Builder
	for number := 1; number <= events; number++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece-%d\n\n", number, number)
	}
	return b.String()
}

// checkRuns checks how often a request ran, and whether it was allowed to run.
func (h *harness) checkRuns(a *attempt, runs int) {
	if a.kind.isAtMostOnce() && runs > 1 {
		h.t.Errorf("%s (%s) ran %d times", a.id, a.kind, runs)
	}
	switch a.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if runs > 0 && a.kind.isAtMostOnce() {
			h.t.Errorf("%s (%s) got status %d but ran", a.id, a.kind, a.status)
		}
	}
	// Releases before this check didn't keep it.
	if a.version > 0 && a.status == http.StatusNotFound && a.router.program == currentProgram {
		configuredAt := h.configuredAt[a.version]
		isInTouch := a.router.faults.isFaultFree(configuredAt, a.sentAt) && h.storeFaults.isFaultFree(configuredAt, a.sentAt)
		if isInTouch && a.sentAt.After(configuredAt.Add(activationDelay+maxTransitTime)) {
			h.t.Errorf("%s got 404 from %s for a route added %v before it was sent", a.id, a.router.name, a.sentAt.Sub(configuredAt))
		}
	}
	if removedAt, isRemoved := h.removedAt[a.secret]; isRemoved && runs > 0 && a.sentAt.After(removedAt.Add(revocationDelay+maxTransitTime)) {
		h.t.Errorf("%s ran with a secret that was removed %v before it was sent", a.id, a.sentAt.Sub(removedAt))
	}
	if runs > 0 && h.isStranger(a) {
		h.t.Errorf("%s ran with the secret %q, which no configuration ever had", a.id, a.secret)
	}
	if h.hasOnlyPlannedFaults && a.err != nil && runs > 0 && a.router.isInPlannedStop(a.sentAt) && !h.wasCutByCrash(a) {
		h.t.Errorf("%s (%s) was cut off by a planned stop of %s: %v", a.id, a.kind, a.router.name, a.err)
	}
}
