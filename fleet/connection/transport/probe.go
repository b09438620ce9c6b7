package transport

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// ProbeResult is how an endpoint took a connection.
type ProbeResult uint8

const (
	// NoAnswer means that it is not known whether a process listens at the address.
	NoAnswer ProbeResult = iota
	// Accepted means that a process listens at the address.
	Accepted
	// Refused means that no process listens at the address.
	Refused
)

// Probe connects to an address, sends nothing and closes the connection.
func Probe(ctx context.Context, address string) ProbeResult {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	switch {
	case err == nil:
		_ = conn.Close()
		return Accepted
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	}
	return NoAnswer
}
