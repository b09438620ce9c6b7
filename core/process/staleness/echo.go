package staleness

import "time"

// Echo passes confirmations on to another router, by that router's own clock, as
// freshness.Echo does: it counts from a message that the receiver stamped.
type Echo struct {
	//lint:ignore U1000 tells the codec to leave out names
	_msgpack struct{} `msgpack:",as_array"`

	// Start identifies the receiver's process.
	Start int64
	// Stamp is the receiver's clock when it sent the message.
	Stamp time.Duration
	// Configuration and Endpoints are the times from the arrival of that message until which
	// the sender's views are complete, never for a view that was not confirmed.
	Configuration, Endpoints time.Duration
}

// EchoTo returns the echo of a message of a process that was stamped with stamp and arrived
// at arrivedAt, or nil if there is nothing to pass on.
func (c *Core) EchoTo(start int64, stamp, arrivedAt time.Duration) *Echo {
	after := func(table Table) time.Duration {
		if c.views[table].confirmedAt == never {
			return never
		}
		return c.views[table].confirmedAt - arrivedAt
	}
	echo := &Echo{Start: start, Stamp: stamp, Configuration: after(Configuration), Endpoints: after(Endpoints)}
	if echo.Configuration == never && echo.Endpoints == never {
		return nil
	}
	return echo
}

// ConfirmedAt returns the time, by the receiver's clock, until which the sender's view of a
// table is complete, or false if the echo has none.
func (e *Echo) ConfirmedAt(table Table) (time.Duration, bool) {
	after := e.Configuration
	if table == Endpoints {
		after = e.Endpoints
	}
	return e.Stamp + after, after != never
}
