package serving

import (
	"net"
	"sync/atomic"
	"time"
)

// acceptWindow is how long no connection must have come in before a listener that stops is
// closed: the kernel resets those that were established and not yet accepted.
const acceptWindow = 20 * time.Millisecond

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	server     *Server
	isStopping atomic.Bool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	isLast := false
	for {
		accepted, err := l.Listener.Accept()
		switch {
		case err == nil:
			if l.isStopping.Load() {
				_ = l.setDeadline(time.Now().Add(acceptWindow))
			}
			return &trackedConn{Conn: accepted, server: l.server}, nil
		case !l.isStopping.Load() || !isTimeout(err):
			return nil, err
		case isLast:
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
	l.isStopping.Store(true)
	if l.setDeadline(time.Now().Add(acceptWindow)) != nil {
		_ = l.Close()
	}
}

func (l *listener) setDeadline(t time.Time) error {
	if limited, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		return limited.SetDeadline(t)
	}
	return net.ErrClosed
}
