package claims

import (
	"sync"
	"time"
)

// rateWindowSeconds is the length of the sliding window of a rowRate.
const rateWindowSeconds = 10

// rowRate counts rows over the last rateWindowSeconds, in buckets of one second.
// It is safe for concurrent use.
type rowRate struct {
	mu      sync.Mutex
	buckets [rateWindowSeconds]int
	// second is the Unix time of the latest bucket.
	second int64
}

func (r *rowRate) add(now time.Time, rows int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	r.buckets[r.second%rateWindowSeconds] += rows
}

func (r *rowRate) perSecond(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	sum := 0
	for _, rows := range r.buckets {
		sum += rows
	}
	return float64(sum) / rateWindowSeconds
}

// advance resets the buckets of the seconds since the last call.
func (r *rowRate) advance(now time.Time) {
	second := now.Unix()
	if second-r.second > rateWindowSeconds {
		r.second = second - rateWindowSeconds
	}
	for r.second < second {
		r.second++
		r.buckets[r.second%rateWindowSeconds] = 0
	}
}
