// Package beacon sends and receives beacons, the periodic state messages between
// routers, as msgpack in UDP datagrams. UDP suffices: each beacon holds its
// sender's complete state, and no sender waits for a reply or a stalled connection.
package beacon

import (
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sys/unix"

	"gentianhead/core/process/presence"
	"gentianhead/fleet/process/boottime"
)

// maxBytes is the largest datagram that is sent or accepted.
const maxBytes = 32 << 10

const (
	// batchPause is the pause between two batches of received beacons, a fifth of their
	// shortest interval.
	batchPause = 50 * time.Millisecond
	// idleTimeout is how long the receiver waits for a datagram, so that a longer time without a
	// look at the socket means a pause of the process.
	idleTimeout = 500 * time.Millisecond
	// pauseThreshold is the time since the last look at the socket from which datagrams count as
	// held.
	pauseThreshold = time.Second
	// maxBatch is the maximum number of datagrams handled without a pause.
	maxBatch = 1024
)

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

// Address returns the address of the socket.
func (c *Conn) Address() string { return c.conn.LocalAddr().String() }

// Send sends a beacon to a router. One that is too large is sent without its hints.
// Failures are only counted.
func (c *Conn) Send(beacon presence.Beacon, to string) {
	encoded, err := msgpack.Marshal(beacon)
	if err == nil && len(encoded) > maxBytes {
		reduced.Add(1)
		encoded, err = msgpack.Marshal(beacon.WithoutHints())
	}
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

// Receive calls handle for each beacon until the socket is closed. It reads all waiting
// datagrams at once and then pauses: in a large fleet, waking up for each of a hundred
// datagrams a second costs more than handling them. After a pause of the process, it states
// for how long the beacons may have waited.
func (c *Conn) Receive(handle func(presence.Beacon)) {
	raw, err := c.conn.SyscallConn()
	if err != nil {
		// Only a closed socket has none.
		return
	}
	buffer := make([]byte, maxBytes)
	lookedAt := boottime.Now()
	read := func(fd uintptr) bool {
		heldFor := boottime.Now() - lookedAt
		if heldFor < pauseThreshold {
			heldFor = 0
		}
		isRead := readWaiting(fd, buffer, func(b presence.Beacon) {
			b.HeldFor = heldFor
			handle(b)
		})
		lookedAt = boottime.Now()
		return isRead
	}
	for {
		// Without a deadline, which only a closed socket refuses, it would wait for longer.
		_ = c.conn.SetReadDeadline(time.Now().Add(idleTimeout))
		switch err := raw.Read(read); {
		case errors.Is(err, os.ErrDeadlineExceeded):
			continue
		case err != nil:
			return
		}
		time.Sleep(batchPause)
	}
}

// readWaiting handles the datagrams that wait at a socket, at most maxBatch. It returns
// false if there was none.
func readWaiting(fd uintptr, buffer []byte, handle func(presence.Beacon)) bool {
	for count := range maxBatch {
		n, _, err := unix.Recvfrom(int(fd), buffer, unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN):
			return count > 0
		case err != nil:
			// An ICMP error of an earlier send, for instance.
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
	return true
}

// Close closes the socket.
func (c *Conn) Close() { _ = c.conn.Close() }
