package claims

import (
	"sync"
	"time"
)

// rateSeconds is the time over which a rate is taken.
const rateSeconds = 10

// rowRate counts rows over the last rateSeconds. It is safe for concurrent use.
type rowRate struct {
	mu      sync.Mutex
	buckets [rateSeconds]int
	// second is the newest bucket's Unix time.
	second int64
}

func (r *rowRate) add(now time.Time, rows int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	r.buckets[r.second%rateSeconds] += rows
}

func (r *rowRate) perSecond(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	sum := 0
	for _, rows := range r.buckets {
		sum += rows
	}
	return float64(sum) / rateSeconds
}

// advance empties the buckets of the seconds that passed.
func (r *rowRate) advance(now time.Time) {
	second := now.Unix()
	if second-r.second > rateSeconds {
		r.second = second - rateSeconds
	}
	for r.second < second {
		r.second++
		r.buckets[r.second%rateSeconds] = 0
	}
}
