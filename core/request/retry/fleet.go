package retry

import "time"

// FleetLimits bound the retries that the whole fleet sends to a service within any
// Window: Ratio times the first attempts, plus Slack.
type FleetLimits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// retries returns the number of retries that one of the routers may send within a window with
// this number of its first attempts.
func (l FleetLimits) retries(first, routers int) float64 {
	return l.Ratio*ratioFraction*float64(first) + l.Slack*slackFraction/float64(max(routers, 1))
}

// MaxRetries returns the largest number of retries that a request can get if there is only one
// router, so that none can get more, and whether there is such a number.
func (l FleetLimits) MaxRetries() (most int, isLimited bool) {
	if l.Ratio > 0 {
		return 0, false
	}
	return int(l.retries(1, 1)), true
}

const (
	// slackFraction is the fraction of the slack that routers divide among themselves.
	// The rest covers routers that don't know of each other yet.
	slackFraction = 0.6
	// ratioFraction is the fraction of Ratio that is used, because a router's window
	// is not aligned with the window in which its requests arrive at endpoints.
	ratioFraction = 0.8
	// bucketCount is the number of buckets in a window.
	bucketCount = 20
)

type bucket struct {
	index   int64
	first   int
	retries int
}

// FleetBudget is one router's share of the fleet's retry budget for one service. It
// counts in time buckets, so that the limit holds for every sliding window. Times
// are readings of a monotonic clock.
type FleetBudget struct {
	limits FleetLimits
	ring   [bucketCount + 1]bucket
}

// NewFleetBudget returns an unused budget.
func NewFleetBudget(limits FleetLimits) *FleetBudget {
	return &FleetBudget{limits: limits}
}

// SetLimits replaces Ratio and Slack. Window is kept, because the counts are in
// buckets that divide it.
func (f *FleetBudget) SetLimits(limits FleetLimits) {
	f.limits.Ratio, f.limits.Slack = limits.Ratio, limits.Slack
}

// RecordFirst records the first attempt of a request at now. Each first attempt raises
// the limit on retries for a window, rounded up to whole buckets.
func (f *FleetBudget) RecordFirst(now time.Duration) { f.bucketAt(now).first++ }

// AllowRetry reports whether the budget allows a retry, and records it if so.
// routers is the number of routers that share the slack.
func (f *FleetBudget) AllowRetry(now time.Duration, routers int) bool {
	return f.AllowRetryIf(now, routers, func() bool { return true })
}

// AllowRetryIf is like AllowRetry for a retry that also needs a place: it calls hasPlace if the
// budget allows the retry, and records the retry only if there is one.
func (f *FleetBudget) AllowRetryIf(now time.Duration, routers int, hasPlace func() bool) bool {
	current := f.bucketAt(now)
	first, retries := 0, 0
	for i := range f.ring {
		if b := &f.ring[i]; b.index > current.index-int64(len(f.ring)) {
			first += b.first
			retries += b.retries
		}
	}
	if float64(retries+1) > f.limits.retries(first, routers) || !hasPlace() {
		return false
	}
	current.retries++
	return true
}

// ReturnRetry takes back a retry that was recorded at recordedAt and not sent.
func (f *FleetBudget) ReturnRetry(recordedAt time.Duration) {
	index := f.indexAt(recordedAt)
	if b := &f.ring[index%int64(len(f.ring))]; b.index == index && b.retries > 0 {
		b.retries--
	}
}

func (f *FleetBudget) indexAt(now time.Duration) int64 {
	return int64(now / (f.limits.Window / bucketCount))
}

func (f *FleetBudget) bucketAt(now time.Duration) *bucket {
	index := f.indexAt(now)
	b := &f.ring[index%int64(len(f.ring))]
	if b.index != index {
		*b = bucket{index: index}
	}
	return b
}
