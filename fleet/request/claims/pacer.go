package claims

import "time"

// pacer spaces events by an interval, of which a burst may come early. The zero
// value does not pace. It is used from one goroutine.
type pacer struct {
	interval time.Duration
	burst    int
	// next is when the next event is due.
	next time.Time
}

// newCommitPacer paces transactions to commitRate.
func newCommitPacer() *pacer {
	return &pacer{interval: time.Second / commitRate, burst: commitBurst}
}

// delay takes the next event and returns how long it has to wait.
func (p *pacer) delay(now time.Time) time.Duration {
	earliest := now.Add(-time.Duration(p.burst) * p.interval)
	if p.next.Before(earliest) {
		p.next = earliest
	}
	wait := p.next.Sub(now)
	p.next = p.next.Add(p.interval)
	return max(wait, 0)
}
