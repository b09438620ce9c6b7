package freshness

import "time"

// Echo forwards a router's confirmation to another router. It doesn't depend on
// synchronized clocks or on message latency, as it is relative to a timestamp that
// the receiver itself put on a message.
//
// Invariant: Stamp + After is not later, by the receiver's clock, than the start
// of the confirming call. The message arrived after it was stamped, and After
// counts from its arrival.
type Echo struct {
	// Stamp is the receiver's clock when it sent the echoed message.
	Stamp time.Duration `msgpack:"s"`
	// After is the time from the arrival of that message to the start of the
	// sender's latest confirming call; negative if the call started first.
	After time.Duration `msgpack:"a"`
}

// EchoTo returns the echo of a message that was stamped with stamp and arrived at
// arrivedAt. It returns false if there is no confirmation to forward.
func (l Lease) EchoTo(stamp, arrivedAt time.Duration) (Echo, bool) {
	return Echo{Stamp: stamp, After: l.confirmedAt - arrivedAt}, l.isConfirmed
}

// ConfirmedAt returns the latest confirmation time that the echo proves, by the
// receiver's clock.
func (e Echo) ConfirmedAt() time.Duration { return e.Stamp + e.After }
