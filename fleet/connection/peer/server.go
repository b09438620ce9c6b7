package peer

import (
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"gentianhead/fleet/connection/frame"
)

// IdleTimeout is the time without a frame after which a connection is closed.
const IdleTimeout = 30 * time.Second

// MaxConnections limits a server's open connections; further ones are closed.
const MaxConnections = 8192

// HandlerFunc answers one call. It runs on the connection's goroutine, must not
// block, and returns the answer's message. An error closes the connection.
type HandlerFunc func(call frame.Frame) (any, error)

// Handle adapts a function with typed messages to a HandlerFunc.
func Handle[Request, Response any](f func(Request) Response) HandlerFunc {
	return func(call frame.Frame) (any, error) {
		var request Request
		if err := call.Decode(&request); err != nil {
			return nil, err
		}
		return f(request), nil
	}
}

// acceptRetryDelay is the delay after a failed accept. While no descriptor is free, each
// accept fails at once.
const acceptRetryDelay = 50 * time.Millisecond

// Server answers the calls of other routers.
type Server struct {
	key      []byte
	handlers map[frame.Type]HandlerFunc
	log      *slog.Logger

	mu sync.Mutex
	// conns holds whether a call is being answered on each connection.
	conns    map[net.Conn]bool
	isClosed bool
	wg       sync.WaitGroup
}

// NewServer returns a server that accepts peers that have key.
func NewServer(key []byte, log *slog.Logger) *Server {
	return &Server{
		key:      key,
		handlers: make(map[frame.Type]HandlerFunc),
		log:      log,
		conns:    make(map[net.Conn]bool),
	}
}

// Register sets the handler of a call type. It must not be called after Serve.
func (s *Server) Register(callType frame.Type, handler HandlerFunc) {
	s.handlers[callType] = handler
}

// Serve accepts connections until listener is closed.
func (s *Server) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn("Accepting a connection failed.", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.add(conn) {
			_ = conn.Close()
			continue
		}
		go s.serveConn(conn)
	}
}

func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed || len(s.conns) >= MaxConnections {
		return false
	}
	s.conns[conn] = false
	s.wg.Add(1)
	return true
}

func (s *Server) remove(conn net.Conn) {
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	_ = conn.Close()
	s.wg.Done()
}

// Close closes every connection, after the answer to the call in progress if there is one,
// and waits for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.isClosed = true
	for conn, isAnswering := range s.conns {
		if !isAnswering {
			_ = conn.Close()
		}
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// setAnswering records whether a call is being answered and reports whether the server is
// closed.
func (s *Server) setAnswering(conn net.Conn, isAnswering bool) (isClosed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = isAnswering
	return s.isClosed
}

func (s *Server) serveConn(netConn net.Conn) {
	defer s.remove(netConn)
	conn := frame.NewConn(&countingConn{Conn: netConn})
	address := netConn.RemoteAddr().String()
	if err := handshake(conn, s.key, roleServer, roleClient); err != nil {
		s.log.Warn("Peer handshake failed.", "address", address, "error", err)
		return
	}
	for {
		call, err := conn.Read(IdleTimeout)
		if err != nil {
			return
		}
		s.setAnswering(netConn, true)
		if err := s.answer(conn, call); err != nil {
			s.log.Warn("Peer call failed.", "address", address, "type", call.Type, "error", err)
			return
		}
		if s.setAnswering(netConn, false) {
			return
		}
	}
}

func (s *Server) answer(conn *frame.Conn, call frame.Frame) error {
	handler, ok := s.handlers[call.Type]
	if !ok {
		_, err := conn.Write(call.Type|answerBit|failureBit, call.CallNumber, struct{}{})
		return err
	}
	span := startServerSpan(call)
	defer span.End()
	message, err := handler(call)
	if err != nil {
		return err
	}
	_, err = conn.Write(call.Type|answerBit, call.CallNumber, message)
	return err
}
