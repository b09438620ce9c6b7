package balancetest

import (
	"cmp"
	"slices"

	"gentianhead/core/process/endpoints"
	"gentianhead/core/process/entry"
	"gentianhead/core/request/balance"
	"gentianhead/core/request/exchange"
)

// Baseline is a plain way to place requests, without refusals, to compare with.
type Baseline string

const (
	// Random chooses any engine.
	Random Baseline = "random"
	// LeastReported chooses the engine that reported the least load to this router.
	LeastReported Baseline = "least reported load"
	// SessionHash chooses by a hash of the prompt's last shared part.
	SessionHash Baseline = "session hash"
	// FirstCome chooses the engine that has the fewest requests at that moment, which no
	// router can know. Engines are to queue without a limit and to ignore ranks.
	FirstCome Baseline = "first come first served"
)

// place chooses an endpoint by the placement core, or by the baseline.
func (f *Fleet) place(number int, request balance.PlacementRequest) (balance.Placement, balance.Refusal) {
	if f.options.Baseline == "" {
		return f.routers[number].Place(f.clock(), request)
	}
	best, bestCost := "", 0.0
	for _, s := range f.list {
		id := s.(*engine).id
		if slices.Contains(request.Excluded, id) {
			continue
		}
		cost := f.random.Float64()
		switch f.options.Baseline {
		case LeastReported:
			cost += float64(f.baselineLoads[number][id])
		case SessionHash:
			cost = -float64(entry.Score(request.Prompt.Parts[max(0, len(request.Prompt.Parts)-2)].ID, id))
		case FirstCome:
			cost += float64(s.load().Running + s.load().Waiting)
		}
		if best == "" || cmp.Less(cost, bestCost) {
			best, bestCost = id, cost
		}
	}
	return balance.Placement{Endpoint: endpoints.Entry{ID: best, Service: Service, Address: best}}, balance.Accepted
}

func (f *Fleet) recordBaselineLoad(number int, id string, load exchange.Load) {
	if f.options.Baseline != LeastReported {
		return
	}
	f.baselineLoads[number][id] = load.Running + load.Waiting
}
