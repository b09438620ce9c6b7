package lab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"gentianhead/platform"
)

// Engine is a stand-in of a model engine. It streams events and ends, as a process that crashes,
// when it begins to write the answer to a request for which IsDeadly returns true.
type Engine struct {
	ID       string
	Events   int
	Pace     time.Duration
	IsDeadly func(parts []string) bool

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	arrivals []Arrival
	crashed  chan struct{}
	once     sync.Once
}

// Arrival is a request that an engine received.
type Arrival struct {
	Attempt string
	At      time.Time
}

// NewEngine starts an engine on a loopback port.
func NewEngine(id string, events int, pace time.Duration, isDeadly func(parts []string) bool) (*Engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Engine{ID: id, Events: events, Pace: pace, IsDeadly: isDeadly, listener: listener, conns: make(map[net.Conn]struct{}), crashed: make(chan struct{})}
	go e.accept()
	return e, nil
}

// RegisterEngine writes the entry of an engine.
func (l *Lab) RegisterEngine(service string, e *Engine) error {
	entry, err := json.Marshal(map[string]any{
		"Service": service, "Address": e.listener.Addr().String(), "Zone": "zone-1", "Version": "v1", "Slots": 64,
		"State": "ready", "ColdRemainingMs": 0, "Sequence": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	l.Store.Put(platform.TableEndpoints, e.ID, entry)
	return nil
}

// Crashed is closed when the engine has ended.
func (e *Engine) Crashed() <-chan struct{} { return e.crashed }

// Arrivals returns the received requests.
func (e *Engine) Arrivals() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Arrival(nil), e.arrivals...)
}

// Close closes the listener and then all connections, as the end of a process does.
func (e *Engine) Close() {
	e.once.Do(func() {
		_ = e.listener.Close()
		e.mu.Lock()
		defer e.mu.Unlock()
		for conn := range e.conns {
			_ = conn.Close()
		}
		e.conns = nil
		close(e.crashed)
	})
}

func (e *Engine) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		if e.conns == nil {
			_ = conn.Close()
		} else {
			e.conns[conn] = struct{}{}
		}
		e.mu.Unlock()
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for e.serve(conn, reader) {
			}
		}()
	}
}

// serve serves one request and reports whether the connection may be used again.
func (e *Engine) serve(conn net.Conn, reader *bufio.Reader) bool {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return false
	}
	attempt := request.Header.Get(Names.Attempt)
	if request.Header.Get(Names.Instance) != e.ID {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
		return err == nil && !request.Close
	}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, Arrival{attempt, time.Now()})
	e.mu.Unlock()
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n%s: %s\r\n%s: signed-by-%s\r\n\r\n",
		Names.Attempt, attempt, Names.Signature, e.ID)
	if err != nil {
		return false
	}
	if e.IsDeadly(sharedParts(request)) {
		e.Close()
		return false
	}
	for number := 1; number <= e.Events; number++ {
		time.Sleep(e.Pace)
		event := fmt.Sprintf("id: %d\ndata: piece-%d\n\n", number, number)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err = io.WriteString(conn, "0\r\n\r\n")
	return err == nil && !request.Close
}

// sharedParts returns the ids of a prompt's parts but for the last.
func sharedParts(request *http.Request) []string {
	var ids []string
	parts := strings.Split(request.Header.Get(Names.Prefix), ",")
	for _, part := range parts[:len(parts)-1] {
		id, _, _ := strings.Cut(strings.TrimSpace(part), ":")
		ids = append(ids, id)
	}
	return ids
}
