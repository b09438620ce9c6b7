// Package eviction decides which callers' connections to close when memory or file descriptors
// are short. It addresses crowds of connections that hold much and move little: unfinished heads
// and bodies, answers that aren't read, connections that send nothing.
package eviction

import (
	"cmp"
	"slices"
	"time"
)

// Phase is what a connection waits for.
type Phase uint8

const (
	// Closing: the response is written, and the caller has yet to close the connection.
	Closing Phase = iota
	// Idle: the next request.
	Idle
	// Head: the rest of a request's head, or its first byte.
	Head
	// Body: the rest of a request's body.
	Body
	// Unread: the caller has to read the response.
	Unread
	// Busy: the router or an endpoint. Such a connection is never closed, since its request may run.
	Busy
)

// Connection is the state of one connection.
type Connection struct {
	Phase Phase
	// Held are the bytes of memory held for it.
	Held int64
	// For is how long the phase has lasted, Moved how many bytes the caller sent or read in it.
	For   time.Duration
	Moved int64
	// IsKnown is set if the caller has presented the secret of a client account.
	IsKnown bool
}

// Need is what has to become available.
type Need struct {
	Bytes int64
	Conns int
	// MinAge is how long the phase of a connection must have lasted.
	MinAge time.Duration
}

// movedUnit is the number of bytes at which moved bytes start to count in favour of a
// connection: the size of a buffer of the kernel or of net/http, which fills without progress.
const movedUnit = 4 << 10

// Choose returns the indices of the connections to close, in this order, so that the need is met
// or no connection that may be closed is left. Connections of known callers come last. Otherwise
// the order is by the memory held, times the time of the phase, per byte moved in it.
func Choose(conns []Connection, need Need) []int {
	var order []int
	for i, c := range conns {
		// One that holds nothing doesn't help if only memory is short.
		if c.Phase != Busy && (c.Held > 0 || need.Conns > 0) && c.For >= need.MinAge {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return compare(conns[a], conns[b]) })
	var bytes int64
	for count, i := range order {
		if bytes >= need.Bytes && count >= need.Conns {
			return order[:count]
		}
		bytes += conns[i].Held
	}
	return order
}

// compare returns a negative number if a is closed before b.
func compare(a, b Connection) int {
	switch {
	case (a.Phase == Closing) != (b.Phase == Closing):
		if a.Phase == Closing {
			return -1
		}
		return 1
	case a.IsKnown != b.IsKnown:
		if b.IsKnown {
			return -1
		}
		return 1
	}
	return cmp.Compare(b.cost(), a.cost())
}

func (c Connection) cost() float64 {
	return float64(c.Held+movedUnit) * c.For.Seconds() / float64(c.Moved+movedUnit)
}
