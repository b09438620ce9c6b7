package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gentianhead/core/request/claim"
	"gentianhead/core/request/outcome"
	"gentianhead/fleet/connection/engine"
	"gentianhead/fleet/request/claims"
)

// maxPlainRate limits the ordinary requests per second sent alongside the claims.
const maxPlainRate = 100

var requestBody = []byte(`{"order":1}`)

// load sends requests to random routers at exponentially distributed intervals.
type load struct {
	fleet     *fleet
	rate      int
	rng       *rand.Rand
	number    int
	wg        sync.WaitGroup
	completed atomic.Int64
	failed    atomic.Int64
	plain     *samples
	claims    *samples
}

func newLoad(f *fleet, rate int, rng *rand.Rand) *load {
	return &load{fleet: f, rate: rate, rng: rng, plain: &samples{}, claims: &samples{}}
}

func (l *load) reset() {
	l.wait()
	l.completed.Store(0)
	l.plain, l.claims = &samples{}, &samples{}
}

func (l *load) wait() {
	l.wg.Wait()
}

func (l *load) run(d time.Duration) {
	next := time.Now()
	for end := next.Add(d); next.Before(end); {
		next = next.Add(time.Duration(l.rng.ExpFloat64() / float64(l.rate) * float64(time.Second)))
		time.Sleep(time.Until(next))
		l.number++
		router := l.fleet.managers[l.rng.IntN(routers)]
		number := l.number
		l.wg.Go(func() { l.sendClaimed(router, number) })
		if l.rng.IntN(l.rate) < maxPlainRate {
			l.wg.Go(l.sendPlain)
		}
	}
}

func (l *load) sendClaimed(router *claims.Manager, number int) {
	start := time.Now()
	result := router.Do(context.Background(), claims.ServiceRequest{
		ID: claim.ID{Account: "a", Key: fmt.Sprintf("key-%d-%d", l.rate, number)}, RequestID: "id", Service: "s",
		Method: http.MethodPost, Target: "/once", Body: requestBody,
		Endpoint: "endpoint", EndpointURL: l.fleet.endpoint.URL,
	})
	if result.Outcome != outcome.Completed {
		l.failed.Add(1)
		return
	}
	l.completed.Add(1)
	l.claims.add(time.Since(start))
}

func (l *load) sendPlain() {
	start := time.Now()
	response, err := l.fleet.plain.Do(context.Background(), engine.Request{
		Method: http.MethodPost, URL: l.fleet.endpoint.URL + "/price", Body: requestBody, ID: "id",
	})
	if err == nil {
		_, err = engine.ReadBody(response)
	}
	if err != nil {
		l.failed.Add(1)
		return
	}
	l.plain.add(time.Since(start))
}

// samples is safe for concurrent use.
type samples struct {
	mu        sync.Mutex
	durations []time.Duration
}

func (s *samples) add(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.durations = append(s.durations, d)
}

// quantiles are rounded for printing.
type quantiles struct{ p50, p99 time.Duration }

func (s *samples) quantiles() quantiles {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.durations) == 0 {
		return quantiles{}
	}
	slices.Sort(s.durations)
	at := func(q float64) time.Duration {
		return s.durations[int(q*float64(len(s.durations)-1))].Round(10 * time.Microsecond)
	}
	return quantiles{p50: at(0.5), p99: at(0.99)}
}
