package drain

import (
	"cmp"
	"slices"
	"time"
)

const (
	// windowLength is how long answers count, at least; they count for up to twice as long.
	windowLength = 30 * time.Second
	// minSamples is the number of answers from which one may be expected.
	minSamples = 3
	// The expected duration is 1 + sampleMargin/samples times the longest one seen, at least
	// minSafetyFactor times: the longest one of few says less.
	sampleMargin    = 10.0
	minSafetyFactor = 1.25
	// One in outlierInterval requests doesn't count if it took longer than the others, so that a
	// hung one doesn't make a stop refuse all. At most maxOutliers are left out.
	outlierInterval = 200
	maxOutliers     = 7
)

// Durations records how long requests take, by key. It is not safe for concurrent use.
type Durations struct {
	keys map[string]*samples
	// rotatedAt is when the current window of all keys began.
	rotatedAt time.Duration
}

// samples are the durations of one key.
type samples struct {
	// current and previous are the two latest windows.
	current, previous window
	// inFlight holds the start of each request in flight.
	inFlight map[*Request]struct{}
}

type window struct {
	count int
	// longest are the longest durations, the longest first.
	longest longest
}

// longest are the longest of a number of durations, the longest first.
type longest []time.Duration

func (l *longest) add(d time.Duration) {
	at, _ := slices.BinarySearchFunc(*l, d, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	if at > maxOutliers {
		return
	}
	*l = slices.Insert(*l, at, d)
	*l = (*l)[:min(len(*l), maxOutliers+1)]
}

// Request is a request in flight.
type Request struct {
	key       string
	startedAt time.Duration
}

// NewDurations returns Durations without samples.
func NewDurations() *Durations {
	return &Durations{keys: make(map[string]*samples)}
}

// Begin records the start of a request.
func (d *Durations) Begin(key string, startedAt time.Duration) *Request {
	s := d.keys[key]
	if s == nil {
		s = &samples{inFlight: make(map[*Request]struct{})}
		d.keys[key] = s
	}
	request := &Request{key: key, startedAt: startedAt}
	s.inFlight[request] = struct{}{}
	return request
}

// End records the end of a request. It counts as a sample if the request was sent to an
// endpoint; one that was refused took no time.
func (d *Durations) End(request *Request, now time.Duration, wasSent bool) {
	d.rotate(now)
	s := d.keys[request.key]
	delete(s.inFlight, request)
	if wasSent {
		s.current.count++
		s.current.longest.add(now - request.startedAt)
	}
}

// Expected returns the duration that a request is likely not to exceed, or false if too
// few ended recently. Requests in flight count with the time that they have taken so
// far: endpoints may just have become slow.
func (d *Durations) Expected(key string, now time.Duration) (time.Duration, bool) {
	d.rotate(now)
	s := d.keys[key]
	if s == nil {
		return 0, false
	}
	count := s.current.count + s.previous.count
	if count < minSamples {
		return 0, false
	}
	all := slices.Clone(s.current.longest)
	for _, d := range s.previous.longest {
		all.add(d)
	}
	for request := range s.inFlight {
		all.add(now - request.startedAt)
	}
	outliers := min(maxOutliers, (count+len(s.inFlight))/outlierInterval)
	factor := max(minSafetyFactor, 1+sampleMargin/float64(count))
	return time.Duration(factor * float64(all[outliers])), true
}

// rotate begins a new window once the current one is over, and forgets keys without
// requests.
func (d *Durations) rotate(now time.Duration) {
	if now-d.rotatedAt < windowLength {
		return
	}
	isOld := now-d.rotatedAt >= 2*windowLength
	d.rotatedAt = now
	for key, s := range d.keys {
		s.previous, s.current = s.current, window{}
		if isOld {
			s.previous = window{}
		}
		if s.previous.count == 0 && len(s.inFlight) == 0 {
			delete(d.keys, key)
		}
	}
}
