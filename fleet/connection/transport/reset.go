package transport

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// connEnd is what is known of a connection whose reads have come to an end while a request may still
// be written. The kernel reports a reset once: if a write gets the report, reads see an end as after an
// orderly one.
type connEnd struct {
	// state is the state of the TCP connection, if isStateKnown is set.
	state        uint8
	isStateKnown bool
	// isWriting is set while a write is in progress, which may get the report of a reset.
	isWriting bool
	// isResetOnWrite is set if a write got it. Writes get another error where the peer's end arrived
	// before the reset.
	isResetOnWrite bool
}

// tcpClosed is the state of a TCP connection that was reset, or closed by both sides.
const tcpClosed = unix.BPF_TCP_CLOSE

// isOpen reports whether the peer's end arrived and this side isn't closed, so that nothing was reset.
func (e connEnd) isOpen() bool { return e.isStateKnown && e.state != tcpClosed }

// isReset reports whether a reset brought the end about. An end that may be one isn't believed.
func (e connEnd) isReset() bool { return !e.isOpen() && (e.isWriting || e.isResetOnWrite) }

// end returns what is known of the connection once its reads have come to an end.
func (c *sealableConn) end() (end connEnd) {
	end.state, end.isStateKnown = tcpState(c.Conn)
	switch {
	case end.isOpen():
		return end
	case end.isStateKnown:
		// No write blocks on a closed connection, so one in progress ends now.
		c.writing.Lock()
	case !c.writing.TryLock():
		end.isWriting = true
		return end
	}
	defer c.writing.Unlock()
	end.isResetOnWrite = c.isResetOnWrite
	return end
}

// tcpState returns the state of a TCP connection, or false if it can't be read.
func tcpState(conn net.Conn) (state uint8, isKnown bool) {
	source, isSource := conn.(syscall.Conn)
	if !isSource {
		return 0, false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	controlErr := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if controlErr != nil || err != nil {
		return 0, false
	}
	return info.State, true
}
