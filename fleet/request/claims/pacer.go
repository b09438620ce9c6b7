package claims

import "time"

// pacer limits events to one per interval and allows bursts. The zero value does
// not limit. It is not safe for concurrent use.
type pacer struct {
	interval time.Duration
	// burst is how many intervals early an event may occur.
	burst int
	// next is when the next event is due.
	next time.Time
}

func newCommitPacer() *pacer {
	return &pacer{interval: time.Second / maxRouterCommitsPerSecond, burst: commitBurst}
}

// delay reserves the next event and returns how long the caller must wait.
func (p *pacer) delay(now time.Time) time.Duration {
	earliest := now.Add(-time.Duration(p.burst) * p.interval)
	if p.next.Before(earliest) {
		p.next = earliest
	}
	wait := p.next.Sub(now)
	p.next = p.next.Add(p.interval)
	return max(wait, 0)
}
