package serving

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// acceptWindow is how long no connection must have come in before a listener that stops is
	// closed: the kernel resets those that were established and not yet accepted.
	acceptWindow = 20 * time.Millisecond
	// maxAcceptTime bounds that time if connections keep coming in.
	maxAcceptTime = 200 * time.Millisecond
)

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	server *Server
	// closeAt is when a listener that stops is closed at the latest; nil before.
	closeAt atomic.Pointer[time.Time]
	// isClosed is set once Accept returns no further connections.
	isClosed atomic.Bool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.accept()
	if err != nil && !isTemporary(err) {
		l.isClosed.Store(true)
	}
	return accepted, err
}

// isStopping reports whether connections that wait are still to be accepted.
func (l *listener) isStopping() bool { return l.closeAt.Load() != nil && !l.isClosed.Load() }

func (l *listener) accept() (net.Conn, error) {
	isLast := false
	for {
		accepted, err := l.Listener.Accept()
		closeAt := l.closeAt.Load()
		switch {
		case err == nil:
			if closeAt != nil {
				_ = l.setDeadline(earlier(time.Now().Add(acceptWindow), *closeAt))
			}
			tracked := newTrackedConn(accepted, l.server)
			if tracked.pool != nil && !tracked.pool.add(tracked) {
				_ = accepted.Close()
				continue
			}
			return tracked, nil
		case closeAt == nil || !isTimeout(err):
			return nil, err
		case isLast || !time.Now().Before(*closeAt):
			_ = l.Close()
			return nil, net.ErrClosed
		}
		// An expired deadline hides the connections that wait.
		isLast = true
		_ = l.setDeadline(time.Now().Add(acceptWindow))
	}
}

// stop makes Accept take the connections that wait and then close the listener.
func (l *listener) stop() {
	closeAt := time.Now().Add(maxAcceptTime)
	l.closeAt.Store(&closeAt)
	if l.setDeadline(time.Now().Add(acceptWindow)) != nil {
		_ = l.Close()
	}
}

// isTemporary reports whether net/http goes on to accept after an error.
func isTemporary(err error) bool {
	temporary, ok := err.(interface{ Temporary() bool })
	return ok && temporary.Temporary()
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (l *listener) setDeadline(t time.Time) error {
	if limited, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		return limited.SetDeadline(t)
	}
	return net.ErrClosed
}
