package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"gentianhead/platform/platformtest"
)

// Engine is a model server whose machine can go dark: it then sends nothing more, on any
// connection, and takes no new ones.
type Engine struct {
	ID, Address string
	// DeadlyPart is the part of a prompt, not the last, on which the machine goes dark when it
	// begins to write the answer. Empty for none.
	DeadlyPart string
	// HeadPause is the time before the first event, Pause that between two events.
	HeadPause, Pause time.Duration
	Events           int
	// StatesLoad makes the engine state how many requests it holds; otherwise it states one.
	StatesLoad bool
	// Began and Ended are called when the engine has read a request and when it is done with it.
	Began, Ended func(engine, attempt string)

	listener *net.TCPListener
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	arrivals []platformtest.Arrival
	held     int
	darkAt   time.Time
	dark     chan struct{}
}

// NewEngine starts an engine on a loopback port.
func NewEngine(id string) *Engine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Fail("%v", err)
	}
	e := &Engine{ID: id, Address: listener.Addr().String(), listener: listener.(*net.TCPListener), conns: make(map[net.Conn]struct{}), dark: make(chan struct{})}
	go e.accept()
	return e
}

// Arrivals returns the requests that reached the engine.
func (e *Engine) Arrivals() []platformtest.Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]platformtest.Arrival(nil), e.arrivals...)
}

// CrashedAt returns when the machine went dark; zero if it didn't.
func (e *Engine) CrashedAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.darkAt
}

// Close resets all connections, as a machine does that is back and knows none of them.
func (e *Engine) Close() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func (e *Engine) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[conn] = struct{}{}
		e.mu.Unlock()
		go e.serve(conn)
	}
}

// goDark ends the accepting of connections and fills the queue, so that the kernel answers no
// further ones either.
func (e *Engine) goDark() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.darkAt.IsZero() {
		return
	}
	e.darkAt = time.Now()
	close(e.dark)
	_ = e.listener.SetDeadline(time.Unix(1, 0))
	raw, err := e.listener.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	}
	if err != nil {
		Fail("%v", err)
	}
	for range 2 {
		go func() {
			if conn, err := net.DialTimeout("tcp", e.Address, 200*time.Millisecond); err == nil {
				e.mu.Lock()
				e.conns[conn] = struct{}{}
				e.mu.Unlock()
			}
		}()
	}
}

// isDark waits and reports whether the machine went dark meanwhile.
func (e *Engine) isDark(wait time.Duration) bool {
	select {
	case <-e.dark:
		return true
	default:
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-e.dark:
		return true
	case <-timer.C:
		return false
	}
}

func (e *Engine) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			break
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			break
		}
		if e.isDark(0) {
			// The connection stays as it is until the machine is back.
			return
		}
		if isKept := e.answer(conn, r); !isKept {
			break
		}
	}
	if e.isDark(0) {
		return
	}
	e.mu.Lock()
	delete(e.conns, conn)
	e.mu.Unlock()
	_ = conn.Close()
}

func (e *Engine) answer(conn net.Conn, r *http.Request) (isKept bool) {
	id := r.Header.Get(headers["attempt"])
	if strings.HasPrefix(r.URL.Path, "/gentianhead/") {
		// Nothing is cached.
		_, err := io.WriteString(conn, Head("caches.txt")+`{"epoch":1,"Next":1,"held":[]}`)
		return err == nil
	}
	if r.Header.Get(headers["instance"]) != e.ID {
		_, err := io.WriteString(conn, Head("misdirected.txt", "id", id))
		return err == nil
	}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, platformtest.Arrival{At: time.Now(), Attempt: id})
	e.held++
	e.mu.Unlock()
	if e.Began != nil {
		e.Began(e.ID, id)
	}
	defer func() {
		e.mu.Lock()
		e.held--
		e.mu.Unlock()
		if e.Ended != nil {
			e.Ended(e.ID, id)
		}
	}()
	if e.isDark(e.HeadPause) {
		return false
	}
	parts := strings.Split(r.Header.Get(headers["prefix"]), ",")
	for _, part := range parts[:len(parts)-1] {
		if name, _, _ := strings.Cut(part, ":"); e.DeadlyPart != "" && name == e.DeadlyPart {
			e.goDark()
			return false
		}
	}
	load := 1
	if e.StatesLoad {
		e.mu.Lock()
		load = e.held
		e.mu.Unlock()
	}
	if _, err := io.WriteString(conn, Head("stream.txt", "id", id, "engine", e.ID, "load", strconv.Itoa(load))); err != nil {
		return false
	}
	for number := 1; number <= e.Events; number++ {
		if number > 1 && e.isDark(e.Pause) {
			return false
		}
		event := fmt.Sprintf("id: %d\ndata: piece-%d\n\n", number, number)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// Entry returns the engine's entry for the store.
func (e *Engine) Entry(service, state string) map[string]any {
	return (&platformtest.Endpoint{ID: e.ID, Advertised: e.Address}).Entry(service, state)
}
