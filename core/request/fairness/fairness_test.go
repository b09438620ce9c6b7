package fairness

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func record(s *DemandTracker, flow Flow, count int) {
	for range count {
		s.Record(time.Hour, flow)
	}
}

// One of eleven accounts sends ten times as much as each of the others, and about
// half of all requests must be refused: only requests of this account may be.
func TestRefusalFallsOnAccountWithSurge(t *testing.T) {
	var s DemandTracker
	hot := Flow{Account: "hot"}
	record(&s, hot, 100)
	for number := range 10 {
		record(&s, Flow{Account: fmt.Sprint(number)}, 10)
	}
	assert.Equal(t, s.RefusalFraction(Flow{Account: "3"}, 0.45), 0.0)
	assert.Assert(t, math.Abs(s.RefusalFraction(hot, 0.45)-0.9) < 1e-9)
}

func TestRefusalIsEqualForEqualDemand(t *testing.T) {
	var s DemandTracker
	for number := range 10 {
		record(&s, Flow{Account: fmt.Sprint(number)}, 10)
	}
	for number := range 10 {
		assert.Assert(t, math.Abs(s.RefusalFraction(Flow{Account: fmt.Sprint(number)}, 0.3)-0.3) < 1e-9)
	}
}

func TestRefusalIsLowerForUrgentRank(t *testing.T) {
	var s DemandTracker
	urgent, other := Flow{Account: "a", Rank: 0}, Flow{Account: "a", Rank: 1}
	record(&s, urgent, 50)
	record(&s, other, 50)
	assert.Assert(t, s.RefusalFraction(urgent, 0.4) < s.RefusalFraction(other, 0.4))
	assert.Assert(t, s.RefusalFraction(other, 0.4) < 1, "the less urgent rank is starved")
}

func TestOldDemandDecays(t *testing.T) {
	var s DemandTracker
	record(&s, Flow{Account: "before"}, 1000)
	s.Record(time.Hour+20*time.Second, Flow{Account: "now"})
	s.Record(time.Hour+40*time.Second, Flow{Account: "now"})
	assert.Equal(t, len(s.demand), 1)
}

func TestRefusalsSumToOverallFraction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s DemandTracker
		total := 0.0
		for number := range rapid.IntRange(1, 20).Draw(t, "accounts") {
			count := rapid.IntRange(1, 100).Draw(t, "demand")
			record(&s, Flow{Account: fmt.Sprint(number), Rank: rapid.IntRange(0, 3).Draw(t, "rank")}, count)
			total += float64(count)
		}
		overall := rapid.Float64Range(0, 1).Draw(t, "overall")
		refused := 0.0
		for flow, demand := range s.demand {
			share := s.RefusalFraction(flow, overall)
			assert.Assert(t, share >= 0 && share <= 1, "%v", share)
			refused += share * demand
		}
		assert.Assert(t, math.Abs(refused-overall*total) < 1e-6*total, "%v of %v, asked for %v", refused, total, overall)
	})
}
