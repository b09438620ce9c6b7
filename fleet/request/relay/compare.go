package relay

import (
	"expvar"
	"strconv"
	"sync"

	"gentianhead/core/version/routetable"
	"gentianhead/fleet/process/boottime"
	"gentianhead/fleet/process/telemetry"
)

// maxCompared bounds the names of one comparison; further ones count as otherName.
const (
	maxCompared = 256
	otherName   = "(other)"
)

// comparison counts requests by a property and by how they were served, as NAME.RESULT.
// Without it, totals hide that one account or rank is served worse than the others.
type comparison struct {
	counts *expvar.Map
	mu     sync.Mutex
	names  map[string]bool
}

func newComparison(name string) *comparison {
	return &comparison{counts: expvar.NewMap(name), names: make(map[string]bool)}
}

func (c *comparison) add(name, result string) {
	c.mu.Lock()
	if !c.names[name] && len(c.names) >= maxCompared {
		name = otherName
	}
	c.names[name] = true
	c.mu.Unlock()
	c.counts.Add(name+"."+result, 1)
}

// Requests by the caller's rank, account and route, and answered ones by the zone of the
// endpoint.
var (
	byRank    = newComparison("relay_by_rank")
	byAccount = newComparison("relay_by_account")
	byRoute   = newComparison("relay_by_route")
	byZone    = newComparison("relay_by_endpoint_zone")
)

var (
	// refusedByReason counts requests refused while capacity was short, by what put them
	// behind others.
	refusedByReason = expvar.NewMap("relay_shed")
	// refusedExpected and refusedAge are the expected time to the answer, and the age of the
	// reports that it rests on.
	refusedExpected = telemetry.NewHistogram("relay_shed_expected_seconds")
	refusedAge      = telemetry.NewHistogram("relay_shed_report_age_seconds")
	// refusedCapacity is the capacity of the service of the latest of them, in requests per
	// second.
	refusedCapacity = expvar.NewFloat("relay_shed_capacity")
)

// recordComparisons records how a request with a route ended.
func recordComparisons(c *call, f *failure) {
	if f != nil && f.shed != nil {
		refusedByReason.Add(string(f.shed.Reason), 1)
		refusedExpected.Record(f.shed.Expected)
		refusedAge.Record(f.shed.Age)
		refusedCapacity.Set(f.shed.Capacity)
	}
	if c.route == nil || f != nil && f.kind == kindCallerGone {
		return
	}
	result := c.resultName(f)
	byRank.add(strconv.Itoa(c.priority()), result)
	byAccount.add(c.accountName(), result)
	byRoute.add(c.route.Name, result)
	if f == nil {
		byZone.add(c.zone, result)
	}
}

// resultName returns whether the request was answered in time or late, refused, or failed.
func (c *call) resultName(f *failure) string {
	if f != nil {
		switch f.kind {
		case kindOverloaded, kindRefused, kindAtLimit, kindNoEndpoint:
			if !c.mayHaveRun {
				return "refused"
			}
		}
		return "failed"
	}
	took := boottime.Now() - c.startedAt
	if c.route.Kind == routetable.Stream {
		took = c.firstByte
	}
	if c.route.TargetLatency > 0 && took > c.route.TargetLatency {
		return "late"
	}
	return "served"
}
