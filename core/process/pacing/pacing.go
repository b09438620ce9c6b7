// Package pacing spreads the reads that routers make of the platform, so that
// the fleet's reads per second stay the same whatever its size. Each router
// takes the slot of its rank in its own view of the fleet; routers that differ
// in their views or clocks read at uneven times, which costs nothing else.
package pacing

import "time"

const (
	// HeadReadsPerSecond is how often the whole fleet reads the head row.
	HeadReadsPerSecond = 50
	// MinHeadInterval is the least time between two reads of one router.
	MinHeadInterval = time.Second
	// ListBytesPerSecond bounds what one router spends on the instance list.
	ListBytesPerSecond = 1000
	// MinListInterval is the least time between two reads of the list.
	MinListInterval = time.Second
	// StartJitter spreads the first calls of routers that start together.
	StartJitter = time.Second
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
