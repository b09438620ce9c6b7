package transport

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// isReset reports whether the connection, whose reads have come to an end, was reset before the
// peer's end of it arrived. The kernel reports a reset once: if a write gets the report, reads see
// an end as after an orderly one.
func (c *sealableConn) isReset() bool {
	state, isKnown := tcpState(c.Conn)
	switch {
	case isKnown && state != tcpClosed:
		return false
	case isKnown:
		// No write blocks on a closed connection, so one in progress is about to get the report.
		c.writing.Lock()
	case !c.writing.TryLock():
		// The write in progress may get it.
		return true
	}
	defer c.writing.Unlock()
	return c.isResetOnWrite
}

// tcpClosed is the state of a TCP connection that was reset, or closed by both sides.
const tcpClosed = unix.BPF_TCP_CLOSE

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
