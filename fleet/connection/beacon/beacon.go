// Package beacon sends and receives beacons, the periodic state messages between
// routers, as msgpack in UDP datagrams. UDP suffices: each beacon holds its
// sender's complete state, and no sender waits for a reply or a stalled connection.
package beacon

import (
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gentianhead/core/process/presence"
)

// maxBytes is the largest datagram that is sent or accepted.
const maxBytes = 32 << 10

// Conn sends and receives beacons.
type Conn struct {
	conn *net.UDPConn
}

// Listen opens the socket at address.
func Listen(address netip.AddrPort) (*Conn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrap(err, "beacon")
	}
	return &Conn{conn: conn}, nil
}

// Send sends a beacon to a router. Failures are only counted.
func (c *Conn) Send(beacon presence.Beacon, to string) {
	encoded, err := msgpack.Marshal(beacon)
	if err != nil || len(encoded) > maxBytes {
		unsent.Add(1)
		return
	}
	peer, err := netip.ParseAddrPort(to)
	if err == nil {
		_, err = c.conn.WriteToUDPAddrPort(encoded, peer)
	}
	if err != nil {
		unsent.Add(1)
	}
}

// Receive calls handle for each beacon until the socket is closed.
func (c *Conn) Receive(handle func(presence.Beacon)) {
	buffer := make([]byte, maxBytes)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			unreadable.Add(1)
			continue
		}
		var beacon presence.Beacon
		if err := msgpack.Unmarshal(buffer[:n], &beacon); err != nil {
			unreadable.Add(1)
			continue
		}
		handle(beacon)
	}
}

// Close closes the socket.
func (c *Conn) Close() { _ = c.conn.Close() }
