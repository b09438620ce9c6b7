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
}

type plainServer struct {
	fleet   *Fleet
	options Plain
	running int
	waiting []func()
}

func (s *plainServer) load() exchange.Load {
	return exchange.Load{Running: s.running, Waiting: len(s.waiting), Slots: s.options.Slots}
}

func (s *plainServer) offer(request Request, _ server, begun func(), done func(breaker.Outcome)) bool {
	run := func() {
		s.running++
		s.fleet.after(request.Work, func() {
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
