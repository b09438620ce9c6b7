package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"gentianhead/platform"
)

// Run is a request that a server began to work on.
type Run struct {
	ID, Server, Path, Body, Tenant string
	At                             time.Time
}

// Server is a stand-in for a server of a service.
type Server struct {
	lab                  *Lab
	ID, Service, Address string
	Slots, Events        int
	Pause                time.Duration
	// Answer, if not nil, answers a request instead of the server; it reports false if the
	// server shall answer as usual.
	Answer   func(s *Server, conn net.Conn, r *http.Request, body string) (done, keep bool)
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	isClosed bool
	Runs     []Run
	Arrived  map[string]time.Time
	active   int
	born     int64
	sequence int
}

// StartServer starts a server and registers it in the store.
func (l *Lab) StartServer(id, service string, slots, events int, pause time.Duration) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{
		lab: l, ID: id, Service: service, Address: listener.Addr().String(), Slots: slots, Events: events, Pause: pause,
		listener: listener, conns: make(map[net.Conn]struct{}), Arrived: make(map[string]time.Time), born: time.Now().UnixMilli(),
	}
	l.servers = append(l.servers, s)
	go s.serve()
	s.Register("ready")
	return s, nil
}

// Register writes the server's entry.
func (s *Server) Register(state string) {
	s.sequence++
	s.lab.Store.Put(platform.TableEndpoints, s.ID, map[string]any{
		"Service": s.Service, "Address": s.Address, "Zone": "zone-a", "Version": "v1", "Slots": s.Slots,
		"State": state, "ColdRemainingMs": 0, "Sequence": s.sequence, "born": s.born,
	})
}

// Close ends the server.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *Server) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.isClosed {
			_ = conn.Close()
		}
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		go func() {
			defer func() {
				_ = conn.Close()
				s.mu.Lock()
				delete(s.conns, conn)
				s.mu.Unlock()
			}()
			reader := bufio.NewReader(conn)
			for s.serveOne(conn, reader) {
			}
		}()
	}
}

func (s *Server) headOf(status, id, extra string) string {
	return "HTTP/1.1 " + status + "\r\n" + wire["attempt"] + ": " + id + "\r\n" + extra
}

func (s *Server) signature() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wire["signature"] + ": signed-by-" + s.ID + "\r\n" + wire["load"] + ": " + fmt.Sprintf("%d,0,%d", s.active, s.Slots) + "\r\n"
}

func (s *Server) serveOne(conn net.Conn, reader *bufio.Reader) bool {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	id := r.Header.Get(wire["attempt"])
	if id == "" {
		return s.write(conn, "HTTP/1.1 200 OK\r\n"+wire["instance"]+": "+s.ID+"\r\nContent-Length: 2\r\n\r\n{}") && !r.Close
	}
	if expected := r.Header.Get(wire["expected"]); expected != "" && expected != s.ID {
		return s.write(conn, s.headOf("421 Misdirected Request", id, wire["notRun"]+": 1\r\nContent-Length: 0\r\n\r\n")) && !r.Close
	}
	s.mu.Lock()
	s.Arrived[id] = time.Now()
	isFull := s.active >= s.Slots
	if !isFull {
		s.active++
		s.Runs = append(s.Runs, Run{ID: id, Server: s.ID, Path: r.RequestURI, Body: string(body), Tenant: r.Header.Get(wire["tenant"]), At: time.Now()})
	}
	s.mu.Unlock()
	if isFull {
		return s.write(conn, s.headOf("503 Service Unavailable", id, wire["notRun"]+": 1\r\nContent-Length: 0\r\n\r\n")) && !r.Close
	}
	defer func() {
		s.mu.Lock()
		s.active--
		s.mu.Unlock()
	}()
	if s.Answer != nil {
		if done, keep := s.Answer(s, conn, r, string(body)); done {
			return keep && !r.Close
		}
	}
	if r.Header.Get(wire["model"]) != "" {
		return s.stream(conn, r, id) && !r.Close
	}
	time.Sleep(s.Pause)
	text := "answer of " + s.ID + " to " + id + strings.Repeat(".", 700)
	return s.write(conn, s.headOf("200 OK", id, s.signature()+"Content-Type: text/plain\r\nContent-Length: "+strconv.Itoa(len(text))+"\r\n\r\n"+text)) && !r.Close
}

func (s *Server) write(conn net.Conn, text string) bool {
	_ = conn.SetWriteDeadline(time.Now().Add(20 * time.Second))
	_, err := io.WriteString(conn, text)
	return err == nil
}

// eventsFor returns the number of events of the stream for a path.
func (s *Server) eventsFor(path string) int {
	if strings.HasPrefix(path, "/tag/") {
		return 5
	}
	return s.Events
}

func (s *Server) stream(conn net.Conn, r *http.Request, id string) bool {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if !s.write(conn, s.headOf("200 OK", id, s.signature()+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
		return false
	}
	for number := last + 1; number <= s.eventsFor(r.RequestURI); number++ {
		time.Sleep(s.Pause)
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s by %s\n\n", number, number, id, s.ID)
		if !s.write(conn, fmt.Sprintf("%x\r\n%s\r\n", len(event), event)) {
			return false
		}
	}
	return s.write(conn, "0\r\n\r\n")
}

// runs returns the requests that servers began to work on, by id.
func (l *Lab) runs() map[string]Run {
	runs := make(map[string]Run)
	for _, s := range l.servers {
		s.mu.Lock()
		for _, run := range s.Runs {
			runs[run.ID] = run
		}
		s.mu.Unlock()
	}
	return runs
}
