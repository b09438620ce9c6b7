package balancetest

import (
	"time"

	"gentianhead/core/request/breaker"
	"gentianhead/core/request/exchange"
)

// Plain describes a plain server: it runs up to Slots requests concurrently, queues
// up to Queue in order of arrival and rejects others.
type Plain struct {
	Slots, Queue int
	// StatesLoad is set if responses, rejections among them, state the server's load, and
	// StatesSlowness if that has its slowness.
	StatesLoad, StatesSlowness bool
}

type plainServer struct {
	id      string
	fleet   *Fleet
	options Plain
	running int
	waiting []func()
}

func (s *plainServer) load() exchange.Load {
	load := exchange.Load{Running: s.running, Waiting: len(s.waiting), Slots: s.options.Slots}
	if s.options.StatesSlowness {
		load.Slowness = int(100 * s.fleet.slowFactor(s.id))
	}
	return load
}

func (s *plainServer) offer(request Request, _ server, begun func(), done func(breaker.Outcome)) bool {
	run := func() {
		s.running++
		work := time.Duration(float64(request.Work) * s.fleet.slowFactor(s.id))
		s.fleet.after(work, func() {
			s.running--
			begun()
			done(breaker.Succeeded)
			s.next()
		})
	}
	switch {
	case s.running < s.options.Slots:
		run()
	case len(s.waiting) < s.options.Queue:
		s.waiting = append(s.waiting, run)
	default:
		return false
	}
	return true
}

func (s *plainServer) next() {
	if len(s.waiting) > 0 && s.running < s.options.Slots {
		run := s.waiting[0]
		s.waiting = s.waiting[1:]
		run()
	}
}

// PoissonRequests returns requests between two times with Poisson arrivals at rate
// per second and random work; f returns values in [0, 1).
func PoissonRequests(f func() float64, from, to time.Duration, rate float64, request Request) []Request {
	var requests []Request
	work := request.Work
	for at := from; ; {
		at += time.Duration(exponential(f()) / rate * float64(time.Second))
		if at >= to {
			return requests
		}
		request.At = at
		request.Work = time.Duration(float64(work) * (0.5 + f()))
		requests = append(requests, request)
	}
}
