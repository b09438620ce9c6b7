package peer

import (
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"gentianhead/fleet/connection/frame"
)

// IdleTimeout closes a connection on which no frame arrives for so long.
const IdleTimeout = 30 * time.Second

// MaxConnections bounds the connections that a server holds at once.
const MaxConnections = 8192

// Server answers the frames of other routers.
type Server struct {
	key     []byte
	handler Handler
	log     *slog.Logger

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	wg    sync.WaitGroup
}

// NewServer returns a server that admits holders of key.
func NewServer(key []byte, handler Handler, log *slog.Logger) *Server {
	return &Server{key: key, handler: handler, log: log, conns: make(map[net.Conn]struct{})}
}

// Serve accepts connections until listener is closed.
func (s *Server) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn("Accept failed.", "error", err)
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
	if len(s.conns) >= MaxConnections {
		return false
	}
	s.conns[conn] = struct{}{}
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

// Close closes every connection and waits for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) serveConn(netConn net.Conn) {
	defer s.remove(netConn)
	conn := frame.NewConn(netConn)
	if err := shakeHands(conn, s.key, sideServer, sideClient); err != nil {
		s.log.Warn("Peer refused.", "address", netConn.RemoteAddr().String(), "error", err)
		return
	}
	for {
		f, err := conn.Read(IdleTimeout)
		if err != nil {
			return
		}
		if err := s.answer(conn, f); err != nil {
			s.log.Warn("Frame refused.", "address", netConn.RemoteAddr().String(), "error", err)
			return
		}
	}
}

func (s *Server) answer(conn *frame.Conn, f frame.Frame) error {
	switch f.Type {
	case typeHeartbeat:
		var heartbeat Heartbeat
		if err := f.Decode(&heartbeat); err != nil {
			return err
		}
		_, err := conn.Write(typeHeartbeatAnswer, s.handler.HandleHeartbeat(heartbeat))
		return err
	case typeChangesRequest:
		var request ChangesRequest
		if err := f.Decode(&request); err != nil {
			return err
		}
		_, err := conn.Write(typeChangesAnswer, s.handler.HandleChanges(request))
		return err
	}
	return errors.Newf("peer: unknown frame type %d", f.Type)
}
