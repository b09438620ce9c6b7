package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/platform"
	"gentianhead/platform/platformtest"
)

const (
	// lossSlack is how long before the end of its connection a request may have been sent
	// that the router didn't read: the users' LossSlackMs.
	lossSlack = 200 * time.Millisecond
	// maxRefusalDelay is the time from a whole request to its refusal as not run. No endpoint
	// has to be asked for it; the rest is for a busy machine.
	maxRefusalDelay = lossSlack + 100*time.Millisecond
	// maxReadyDelay is how long after SIGTERM a router may still say that it is ready. The
	// platform asks once a second.
	maxReadyDelay = 500 * time.Millisecond
	// slowTimeout is the timeout of the routes to endpoints that answer slowly.
	slowTimeout = 6 * time.Second
	// slowEndpoints is the number of endpoints for each kind and answer time.
	slowEndpoints = 3
)

// slowKind is the route to endpoints whose answers take the given time.
func slowKind(isStream bool, answerTime time.Duration) kind {
	if isStream {
		return kind(fmt.Sprint(slowStreamPrefix, answerTime))
	}
	return kind(fmt.Sprint(slowPlainPrefix, answerTime))
}

const (
	slowStreamPrefix = "slow-stream-"
	slowPlainPrefix  = "slow-plain-"
)

func (k kind) isSlow() bool { return strings.HasPrefix(string(k), "slow-") }

// startSlow starts endpoints whose answers take the given times, plain ones and streams, and
// configures routes to them.
func (h *harness) startSlow(answerTimes ...time.Duration) {
	for _, answerTime := range answerTimes {
		for _, isStream := range []bool{false, true} {
			k := slowKind(isStream, answerTime)
			h.slowKinds = append(h.slowKinds, k)
			for number := range slowEndpoints {
				endpoint := platformtest.NewEndpoint(fmt.Sprintf("%s-%d", k, number))
				h.t.Cleanup(endpoint.Close)
				endpoint.Events, endpoint.Pause = events, answerTime
				if isStream {
					endpoint.Pause = answerTime / events
				}
				h.slow = append(h.slow, endpoint)
				h.store.Put(platform.TableEndpoints, endpoint.ID, endpoint.Entry(serviceOf(k), "ready"))
			}
		}
	}
	h.configure()
}

// awaitServing waits until a router serves requests of the kind.
func (h *harness) awaitServing(router *process, k kind) {
	for number := 0; ; number++ {
		c, err := h.connect(router)
		if err == nil {
			id := fmt.Sprintf("first-%s-%s-%d", router.name, k, number)
			c.exchange(id, k, styleUsual)
			c.close()
			if h.recorder.find(id).status == http.StatusOK {
				return
			}
		}
		<-time.After(50 * time.Millisecond)
	}
}

const (
	// connectionLead is how long before a stop the connections are opened that are used once.
	connectionLead = 1500 * time.Millisecond
	// useInterval is the time from the use of one of them to that of the next.
	useInterval = 350 * time.Millisecond
)

// stopWithOpenConnections sends SIGTERM to a router connectionLead from now. For each slow kind,
// it uses connections that were opened before, one after the other until the grace time is over.
func (h *harness) stopWithOpenConnections(router *process, seed uint64, wg *sync.WaitGroup) {
	time.AfterFunc(connectionLead, func() { router.signal(syscall.SIGTERM) })
	for number, k := range h.slowKinds {
		random := rand.New(rand.NewPCG(seed, uint64(number)))
		wait := time.Duration(random.Int64N(int64(useInterval)))
		for use := 0; wait < connectionLead+gracePeriod; use++ {
			s := style(random.IntN(int(styleCount)))
			// A connection that was used before is idle, another waits for its first request.
			isUsedBefore := random.IntN(2) == 0
			id := fmt.Sprintf("open-%d-%s-%d", seed, k, use)
			at := time.After(wait)
			wg.Go(func() { h.useOnce(router, id, k, s, isUsedBefore, at) })
			wait += useInterval
		}
	}
}

func (h *harness) useOnce(router *process, id string, k kind, s style, isUsedBefore bool, at <-chan time.Time) {
	c, err := h.connect(router)
	if err != nil {
		return
	}
	defer c.close()
	if isUsedBefore && !c.exchange(id+"-before", kindUnsafe, styleUsual) {
		return
	}
	<-at
	if !c.isEnded() {
		c.exchange(id, k, s)
	}
}

// reuse sends requests over one connection until the router closes it, then over one to
// another router, until stop is closed.
func (h *harness) reuse(number int, seed uint64, stop <-chan struct{}) {
	directory := &caller{harness: h, random: rand.New(rand.NewPCG(seed, 0))}
	for sent := 0; ; {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		router := h.byAddress[directory.pick()]
		if router == nil {
			continue
		}
		c, err := h.connect(router)
		if err != nil {
			directory.expiresAt = time.Time{}
			continue
		}
		for isOpen := true; isOpen; sent++ {
			select {
			case <-stop:
				isOpen = false
				continue
			case <-time.After(time.Duration(directory.random.IntN(100)) * time.Millisecond):
			}
			k := h.slowKinds[directory.random.IntN(len(h.slowKinds))]
			isOpen = !c.isEnded() && c.exchange(fmt.Sprintf("reuse-%d-%d", number, sent), k, styleUsual)
		}
		c.close()
	}
}

// watchReadiness asks a router for its readiness until stop is closed.
func (h *harness) watchReadiness(router *process, stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		askedAt := time.Now()
		response, err := client.Get("http://" + router.readiness + platform.ReadyPath)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			router.addReady(askedAt)
		}
	}
}

// checkStops checks that stopped processes ended by themselves and weren't ready meanwhile.
func (h *harness) checkStops() {
	for _, router := range h.routers {
		for _, s := range router.finishedStops() {
			h.t.Logf("%s stopped within %v, exit code %d", router.name, s.endedAt.Sub(s.requestedAt).Round(10*time.Millisecond), s.code)
			if s.code != 0 {
				h.t.Errorf("%s ended with code %d (-1: by a signal) %v after SIGTERM", router.name, s.code, s.endedAt.Sub(s.requestedAt))
			}
			if late := s.lastReadyAt.Sub(s.requestedAt); late > maxReadyDelay {
				h.t.Errorf("%s was ready %v after SIGTERM", router.name, late)
			}
		}
	}
}

// checkConnections checks how the connections of raw callers ended.
func (h *harness) checkConnections(runs map[string]int) {
	found := make(map[string]int)
	for _, a := range h.recorder.attempts {
		if !a.isRaw {
			continue
		}
		what, isAllowed := a.result(runs[a.id])
		found[what]++
		if !isAllowed {
			since, _ := a.router.sinceStop(a.sentAt)
			h.t.Errorf("%s (%s) of %s, sent %v after SIGTERM: %s: status %d, error %v, %d runs, ended %v after it was whole",
				a.id, a.kind, a.router.name, since.Round(time.Millisecond), what, a.status, a.err, runs[a.id], a.endedAt.Sub(a.wholeAt).Round(time.Millisecond))
		}
	}
	h.t.Logf("requests on kept connections: %v", found)
}

// result describes how a request ended and whether that is allowed.
func (a *attempt) result(runs int) (what string, isAllowed bool) {
	delay := a.endedAt.Sub(a.wholeAt)
	isProblem := a.header.Get("Content-Type") == "application/problem+json"
	switch {
	case a.hasAnswerBegun && a.err != nil:
		return "its answer was cut off", false
	case a.hasAnswerBegun && a.header.Get("Gentianhead-Attempt-Id") != a.id:
		return "it got an answer without its id", false
	case a.status == http.StatusOK:
		return "whole answer", true
	case a.status == http.StatusServiceUnavailable && runs > 0:
		return "refused but run", false
	case a.status == http.StatusServiceUnavailable && delay > maxRefusalDelay && !a.isReadLate:
		return "refused late", false
	case a.status == http.StatusServiceUnavailable:
		return "refused", true
	case a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout:
		return fmt.Sprint("failed with ", a.status), isProblem
	case a.hasAnswerBegun:
		return "another status", false
	case runs > 0:
		return "run and closed without an answer", false
	case a.isBehindClose || a.wholeAt.IsZero():
		return "not read", true
	case delay > lossSlack && !a.isReadLate:
		return "read and closed without an answer", false
	}
	return "crossed the close", true
}

// runsOf returns how often each request ran.
func (h *harness) runsOf() map[string]int {
	runs := make(map[string]int)
	for _, endpoint := range slices.Concat(h.endpoints, h.crashes.all, h.slow) {
		for _, run := range endpoint.Runs() {
			runs[run.Header.Get("Gentianhead-Attempt-Id")]++
		}
	}
	return runs
}

// Guards against requests on connections opened before a stop that are passed on and closed
// without an answer, because the process ends before the endpoint answers.
func TestStopAnswersWholeOnOpenConnections(t *testing.T) {
	t.Parallel()
	const (
		seed    = 1488
		callers = 8
		// secondStop and thirdStop are counted from the first; by the third, the first router
		// has started again.
		secondStop = 2500 * time.Millisecond
		thirdStop  = 10 * time.Second
	)
	t.Logf("seed %d", seed)
	h := newHarness(t, seed)
	h.startSlow(300*time.Millisecond, 1200*time.Millisecond, 2500*time.Millisecond)
	var warmUp, wg sync.WaitGroup
	for _, router := range h.routers {
		for _, k := range h.slowKinds {
			warmUp.Go(func() { h.awaitServing(router, k) })
		}
	}
	warmUp.Wait()
	stop := make(chan struct{})
	for _, router := range h.routers {
		wg.Go(func() { h.watchReadiness(router, stop) })
	}
	for number := range callers {
		wg.Go(func() { h.reuse(number, uint64(number), stop) })
	}
	begun := time.Now()
	for number, delay := range []time.Duration{0, secondStop, thirdStop} {
		<-time.After(time.Until(begun.Add(delay)))
		h.stopWithOpenConnections(h.routers[number], uint64(number), &wg)
	}
	<-time.After(connectionLead + gracePeriod)
	close(stop)
	wg.Wait()
	h.checkConnections(h.runsOf())
	h.check()
	h.checkStops()
	for _, router := range h.routers {
		assert.Equal(t, len(router.finishedStops()), 1, router.name)
	}
}
