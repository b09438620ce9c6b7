// Package pacing schedules the platform reads of a router so that the total
// read rate of the fleet stays constant regardless of its size. Each router
// reads in the time slot of its rank in its own view of the fleet. Differing
// views or clocks only make the reads less evenly spaced. The store's head row
// holds the latest accepted revision.
package pacing

import (
	"math/rand/v2"
	"time"
)

const (
	// HeadReadsPerSecond is the head row read rate of the whole fleet.
	HeadReadsPerSecond = 50
	// MinHeadInterval is the minimum of HeadInterval, the time between two reads of
	// one router.
	MinHeadInterval = time.Second
	// ListBytesPerSecond limits how fast one router reads the instance list.
	ListBytesPerSecond = 1000
	// MinListInterval is the minimum of ListInterval. A list read without a response
	// is repeated after MinListInterval plus jitter.
	MinListInterval = time.Second
	// HeadJitter, ListJitter and RegistrationJitter spread the first calls of
	// routers that start at the same time. The first head row read and the
	// registration each cause a write.
	HeadJitter = 1500 * time.Millisecond
	// ListJitter bounds the random delay of the first list read.
	ListJitter = time.Second
	// RegistrationJitter bounds the random delay of each registration.
	RegistrationJitter = 3 * time.Second
	// RegistrationInterval is the time between two registrations of an instance,
	// without jitter.
	RegistrationInterval = 2 * time.Minute
	// UrgentHeadInterval is the mean time between two head row reads of a router that
	// is isolated or has lost contact with its peers.
	UrgentHeadInterval = 2 * time.Second
)

// HeadInterval returns the time between two head row reads of one router in a
// fleet of size routers.
func HeadInterval(size int) time.Duration {
	return max(MinHeadInterval, time.Duration(size)*time.Second/HeadReadsPerSecond)
}

// ListInterval returns the time until the next list read after a response of
// the given size.
func ListInterval(bytes int) time.Duration {
	return max(MinListInterval, time.Duration(bytes)*time.Second/ListBytesPerSecond)
}

// NextSlotTime returns the first time after now that falls in the slot of rank. Each
// interval is divided evenly into size slots.
func NextSlotTime(now time.Time, interval time.Duration, rank, size int) time.Time {
	offset := interval * time.Duration(rank) / time.Duration(max(size, 1))
	elapsed := (time.Duration(now.UnixNano()) - offset) % interval
	if elapsed < 0 {
		elapsed += interval
	}
	return now.Add(interval - elapsed)
}

// Slot is the rank of a router in its view of the fleet, and the fleet's size.
type Slot struct{ Rank, Size int }

// Schedule decides when one router calls the platform. It is not safe for
// concurrent use.
type Schedule struct {
	random                   *rand.Rand
	headInterval             func(size int) time.Duration
	head, list, registration time.Time
}

// NewSchedule returns a schedule whose first calls are delayed by random jitter
// after now.
func NewSchedule(now time.Time, seed uint64) *Schedule {
	s := &Schedule{random: rand.New(rand.NewPCG(seed, 2)), headInterval: HeadInterval}
	s.head = now.Add(s.jitter(HeadJitter))
	s.list = now.Add(s.jitter(ListJitter))
	s.registration = now.Add(s.jitter(RegistrationJitter))
	return s
}

// SetHeadInterval sets the function used instead of HeadInterval.
func (s *Schedule) SetHeadInterval(interval func(size int) time.Duration) {
	s.headInterval = interval
}

func (s *Schedule) jitter(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d)))
}

// HeadDue reports whether the head row should be read now and schedules the
// next read. isUrgent is set if the router can't rely on its peers for the revision.
func (s *Schedule) HeadDue(now time.Time, slot Slot, isUrgent bool) bool {
	if isUrgent && s.head.Sub(now) > 2*UrgentHeadInterval {
		s.head = now.Add(s.jitter(UrgentHeadInterval))
	}
	if now.Before(s.head) {
		return false
	}
	s.head = NextSlotTime(now, s.headInterval(slot.Size), slot.Rank, slot.Size)
	if soon := now.Add(UrgentHeadInterval/2 + s.jitter(UrgentHeadInterval)); isUrgent && soon.Before(s.head) {
		s.head = soon
	}
	return true
}

// ListDue reports whether the instance list should be read now. The next read
// is due after MinListInterval plus jitter unless ListRead reschedules it.
func (s *Schedule) ListDue(now time.Time) bool {
	if now.Before(s.list) {
		return false
	}
	s.list = now.Add(MinListInterval + s.jitter(MinListInterval))
	return true
}

// ListRead schedules the next list read after a response of the given size.
func (s *Schedule) ListRead(now time.Time, slot Slot, bytes int) {
	s.list = NextSlotTime(now, ListInterval(bytes), slot.Rank, slot.Size)
}

// RegistrationDue reports whether the instance should be registered now.
func (s *Schedule) RegistrationDue(now time.Time) bool {
	if now.Before(s.registration) {
		return false
	}
	s.registration = now.Add(RegistrationInterval + s.jitter(RegistrationJitter))
	return true
}

// RegisterAt schedules the next registration.
func (s *Schedule) RegisterAt(at time.Time) {
	s.registration = at
}
