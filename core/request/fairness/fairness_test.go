package fairness

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func note(s *Shares, flow Asker, count int) {
	for range count {
		s.Note(time.Hour, flow)
	}
}

// One of eleven accounts sends ten times as much as each other one, and about
// half of all requests must be refused: only its own may be.
func TestRefusalFallsOnAccountWithSurge(t *testing.T) {
	var s Shares
	hot := Asker{Account: "hot"}
	note(&s, hot, 100)
	for number := range 10 {
		note(&s, Asker{Account: fmt.Sprint(number)}, 10)
	}
	assert.Equal(t, s.Refusal(Asker{Account: "3"}, 0.45), 0.0)
	assert.Assert(t, math.Abs(s.Refusal(hot, 0.45)-0.9) < 1e-9)
}

func TestRefusalIsEqualForEqualDemand(t *testing.T) {
	var s Shares
	for number := range 10 {
		note(&s, Asker{Account: fmt.Sprint(number)}, 10)
	}
	for number := range 10 {
		assert.Assert(t, math.Abs(s.Refusal(Asker{Account: fmt.Sprint(number)}, 0.3)-0.3) < 1e-9)
	}
}

func TestRefusalIsLowerForUrgentRank(t *testing.T) {
	var s Shares
	urgent, other := Asker{Account: "a", Rank: 0}, Asker{Account: "a", Rank: 1}
	note(&s, urgent, 50)
	note(&s, other, 50)
	assert.Assert(t, s.Refusal(urgent, 0.4) < s.Refusal(other, 0.4))
	assert.Assert(t, s.Refusal(other, 0.4) < 1, "the less urgent rank is starved")
}

func TestOldDemandDecays(t *testing.T) {
	var s Shares
	note(&s, Asker{Account: "before"}, 1000)
	s.Note(time.Hour+20*time.Second, Asker{Account: "now"})
	s.Note(time.Hour+40*time.Second, Asker{Account: "now"})
	assert.Equal(t, len(s.demand), 1)
}

func TestRefusalsSumToOverallFraction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Shares
		total := 0.0
		for number := range rapid.IntRange(1, 20).Draw(t, "accounts") {
			count := rapid.IntRange(1, 100).Draw(t, "demand")
			note(&s, Asker{Account: fmt.Sprint(number), Rank: rapid.IntRange(0, 3).Draw(t, "rank")}, count)
			total += float64(count)
		}
		overall := rapid.Float64Range(0, 1).Draw(t, "overall")
		refused := 0.0
		for flow, demand := range s.demand {
			share := s.Refusal(flow, overall)
			assert.Assert(t, share >= 0 && share <= 1, "%v", share)
			refused += share * demand
		}
		assert.Assert(t, math.Abs(refused-overall*total) < 1e-6*total, "%v of %v, asked for %v", refused, total, overall)
	})
}
