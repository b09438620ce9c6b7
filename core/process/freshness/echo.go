package freshness

import "time"

// Echo passes a router's confirmation on to another, without either trusting the
// other's clock and however long messages are under way: it refers to a time that
// the receiver itself stamped on a message.
//
// Invariant: Stamp + After is not later, by the receiver's clock, than the start
// of the confirming call. The stamped message arrived after it was stamped, and
// After counts from its arrival.
type Echo struct {
	// Stamp is the receiver's clock as it sent the message that is echoed.
	Stamp time.Duration `msgpack:"s"`
	// After is the time from that message's arrival to the start of the sender's
	// newest confirming call; negative if the call came first.
	After time.Duration `msgpack:"a"`
}

// EchoTo makes the echo of a message that was stamped with stamp and arrived at
// arrivedAt. It returns false when there is no confirmation to pass on.
func (l Lease) EchoTo(stamp, arrivedAt time.Duration) (Echo, bool) {
	return Echo{Stamp: stamp, After: l.confirmedAt - arrivedAt}, l.isConfirmed
}

// ConfirmedAt is the latest time, by the receiver's clock, that the echo proves.
func (e Echo) ConfirmedAt() time.Duration { return e.Stamp + e.After }
