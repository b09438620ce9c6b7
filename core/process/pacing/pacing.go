// Package pacing spreads the reads that routers make of the platform, so that
// the fleet's reads per second stay the same whatever its size. Each router
// takes the slot of its rank in its own view of the fleet; routers that differ
// in their views or clocks read at uneven times, which costs nothing else.
package pacing

import (
	"math/rand/v2"
	"time"
)

const (
	// HeadReadsPerSecond is how often the whole fleet reads the head row.
	HeadReadsPerSecond = 50
	// MinHeadInterval is the least time between two reads of one router.
	MinHeadInterval = time.Second
	// ListBytesPerSecond bounds what one router spends on the instance list.
	ListBytesPerSecond = 1000
	// MinListInterval is the least time between two reads of the list.
	MinListInterval = time.Second
	// HeadJitter, ListJitter and RegistrationJitter spread the first calls of
	// routers that start together. The first read of the head row and the
	// registration each cost a write.
	HeadJitter         = 1500 * time.Millisecond
	ListJitter         = time.Second
	RegistrationJitter = 3 * time.Second
	// RegistrationInterval is the time between two registrations of an instance.
	RegistrationInterval = 2 * time.Minute
	// DoubtInterval is the time between two reads of a router that has lost
	// contact with its peers.
	DoubtInterval = 2 * time.Second
)

// HeadInterval returns the time between two reads of the head row by one of
// size routers.
func HeadInterval(size int) time.Duration {
	return max(MinHeadInterval, time.Duration(size)*time.Second/HeadReadsPerSecond)
}

// ListInterval returns the time until the list is read again after an answer of
// so many bytes.
func ListInterval(bytes int) time.Duration {
	return max(MinListInterval, time.Duration(bytes)*time.Second/ListBytesPerSecond)
}

// Next returns the first time after now in the slot of rank, one of size slots
// that divide each interval evenly.
func Next(now time.Time, interval time.Duration, rank, size int) time.Time {
	offset := interval * time.Duration(rank) / time.Duration(max(size, 1))
	elapsed := (time.Duration(now.UnixNano()) - offset) % interval
	if elapsed < 0 {
		elapsed += interval
	}
	return now.Add(interval - elapsed)
}

// Slot is the place of a router in its view of the fleet.
type Slot struct{ Rank, Size int }

// Reads says when the calls of one router to the platform are due. It belongs to
// one goroutine.
type Reads struct {
	random                   *rand.Rand
	headInterval             func(size int) time.Duration
	head, list, registration time.Time
}

// NewReads spreads the first calls of routers that start together at now.
func NewReads(now time.Time, seed uint64) *Reads {
	r := &Reads{random: rand.New(rand.NewPCG(seed, 2)), headInterval: HeadInterval}
	r.head = now.Add(r.jitter(HeadJitter))
	r.list = now.Add(r.jitter(ListJitter))
	r.registration = now.Add(r.jitter(RegistrationJitter))
	return r
}

// SetHeadInterval replaces HeadInterval.
func (r *Reads) SetHeadInterval(interval func(size int) time.Duration) {
	r.headInterval = interval
}

func (r *Reads) jitter(d time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(d)))
}

// HeadDue reports whether the head row is to be read now and plans the next
// read. A router in doubt reads about every DoubtInterval.
func (r *Reads) HeadDue(now time.Time, slot Slot, isInDoubt bool) bool {
	if isInDoubt && r.head.Sub(now) > 2*DoubtInterval {
		r.head = now.Add(r.jitter(DoubtInterval))
	}
	if now.Before(r.head) {
		return false
	}
	r.head = Next(now, r.headInterval(slot.Size), slot.Rank, slot.Size)
	if soon := now.Add(DoubtInterval/2 + r.jitter(DoubtInterval)); isInDoubt && soon.Before(r.head) {
		r.head = soon
	}
	return true
}

// ListDue reports whether the instance list is to be read now. It is due again
// after MinListInterval unless ListRead says otherwise.
func (r *Reads) ListDue(now time.Time) bool {
	if now.Before(r.list) {
		return false
	}
	r.list = now.Add(MinListInterval + r.jitter(MinListInterval))
	return true
}

// ListRead plans the next read of the list after an answer of so many bytes.
func (r *Reads) ListRead(now time.Time, slot Slot, bytes int) {
	r.list = Next(now, ListInterval(bytes), slot.Rank, slot.Size)
}

// RegistrationDue reports whether the instance is to be registered now.
func (r *Reads) RegistrationDue(now time.Time) bool {
	if now.Before(r.registration) {
		return false
	}
	r.registration = now.Add(RegistrationInterval + r.jitter(RegistrationJitter))
	return true
}

// RegisterAt has the instance registered at a time.
func (r *Reads) RegisterAt(at time.Time) {
	r.registration = at
}
