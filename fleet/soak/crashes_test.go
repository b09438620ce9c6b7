package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"gentianhead/platform"
	"gentianhead/platform/platformtest"
)

const (
	// engineCount is the number of engines that crash on some prompt parts, and
	// engineDownTime the time from a crash to the start of another engine.
	engineCount    = 6
	engineDownTime = 1200 * time.Millisecond
	// entryDelay is how much earlier the entry of a crashed engine is removed.
	entryDelay = 300 * time.Millisecond
	// crashPause is the mean time between two requests with one crashing part.
	crashPause = 250 * time.Millisecond
	// allowedCrashes is how many engines a part may crash until routers have learnTime to
	// find it. Then allowedRequests with it may reach engines.
	allowedCrashes  = 5
	learnTime       = quietPeriod
	allowedRequests = 3
)

// kindChat is the route to engines that crash on some prompt parts.
const kindChat kind = "chat"

// crashes holds the engines that crash on some prompt parts.
type crashes struct {
	mu      sync.Mutex
	parts   []string
	serving []*platformtest.Endpoint
	// all holds the crashed engines as well.
	all []*platformtest.Endpoint
}

// startEngines starts the engines. In every second seed, requests with one part crash them,
// in every fourth those with either of two.
func (h *harness) startEngines(seed uint64) {
	for number := range []int{0, 1, 0, 2}[seed%4] {
		h.crashes.parts = append(h.crashes.parts, fmt.Sprintf("c4a5%d", number))
	}
	for range engineCount {
		h.startEngine()
	}
}

func (h *harness) startEngine() {
	h.crashes.mu.Lock()
	defer h.crashes.mu.Unlock()
	engine := platformtest.NewEndpoint(fmt.Sprintf("engine-%d", len(h.crashes.all)))
	engine.Events, engine.Pause, engine.CrashParts = events, 20*time.Millisecond, h.crashes.parts
	h.t.Cleanup(engine.Close)
	h.crashes.all, h.crashes.serving = append(h.crashes.all, engine), append(h.crashes.serving, engine)
	h.store.Put(platform.TableEndpoints, engine.ID, engine.Entry("engines", "ready"))
}

// replaceCrashed replaces crashed engines until stop is closed.
func (h *harness) replaceCrashed(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		h.crashes.mu.Lock()
		var crashed []*platformtest.Endpoint
		rest := h.crashes.serving[:0]
		for _, engine := range h.crashes.serving {
			if engine.CrashedAt().IsZero() {
				rest = append(rest, engine)
			} else {
				crashed = append(crashed, engine)
			}
		}
		h.crashes.serving = rest
		h.crashes.mu.Unlock()
		for _, engine := range crashed {
			time.AfterFunc(engineDownTime-entryDelay, func() { h.store.Delete(platform.TableEndpoints, engine.ID) })
			time.AfterFunc(engineDownTime, h.startEngine)
		}
	}
}

// sendCrashing sends requests with a crashing part until stop is closed.
func (h *harness) sendCrashing(part string, seed uint64, stop <-chan struct{}) {
	c := &caller{harness: h, number: 1000, random: rand.New(rand.NewPCG(seed, 1)), client: &http.Client{Timeout: deadline}, crashingPart: part}
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.random.ExpFloat64() * float64(crashPause))):
		}
		if address := c.pick(); address != "" {
			h.recorder.add(c.send(address, fmt.Sprintf("%s-%d", part, number)))
		}
	}
}

// checkCrashes checks that routers in touch kept requests with a crashing part from engines
// after they had the time to find it, and refused no others for it.
func (h *harness) checkCrashes() {
	attempts := make(map[string]*attempt)
	for _, a := range h.recorder.attempts {
		attempts[a.id] = a
		if a.crashingPart == "" && strings.Contains(a.body, `"quarantined"`) {
			h.t.Errorf("%s (%s) was refused by %s without a crashing part: %s", a.id, a.kind, a.router.name, a.body)
		}
	}
	for _, part := range h.crashes.parts {
		var crashedAt []time.Time
		var runs []platformtest.Run
		for _, engine := range h.crashes.all {
			for _, run := range engine.Runs() {
				if strings.Contains(run.Header.Get("Gentianhead-Prompt-Prefix"), part) {
					runs = append(runs, run)
				}
			}
			if at := engine.CrashedAt(); !at.IsZero() && engine.CrashedOn() == part {
				crashedAt = append(crashedAt, at)
			}
		}
		h.t.Logf("part %s crashed %d engines in %d requests", part, len(crashedAt), len(runs))
		if len(crashedAt) < allowedCrashes {
			continue
		}
		after := nth(crashedAt, allowedCrashes).Add(learnTime)
		late := 0
		for _, run := range runs {
			a := attempts[run.Header.Get("Gentianhead-Attempt-Id")]
			if a == nil || a.router.program != currentProgram {
				continue
			}
			if run.At.After(after) && a.router.faults.isFaultFree(run.At, run.At) && h.storeFaults.isFaultFree(run.At, run.At) {
				late++
			}
		}
		if late > allowedRequests {
			h.t.Errorf("%d requests with part %s reached engines later than %v after the fifth of %d crashes", late, part, learnTime, len(crashedAt))
		}
	}
}

// wasCutByCrash reports whether the engine that ran a request crashed.
func (h *harness) wasCutByCrash(a *attempt) bool {
	return slices.ContainsFunc(h.crashes.all, func(engine *platformtest.Endpoint) bool {
		return !engine.CrashedAt().IsZero() && slices.ContainsFunc(engine.Runs(), func(run platformtest.Run) bool {
			return run.IsInterrupted && run.Header.Get("Gentianhead-Attempt-Id") == a.id
		})
	})
}

// nth returns the n-th earliest time, counted from one.
func nth(times []time.Time, n int) time.Time {
	return slices.SortedFunc(slices.Values(times), time.Time.Compare)[n-1]
}
