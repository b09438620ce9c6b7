package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gentianhead/platform"
)

// Kind is a kind of request.
type Kind struct {
	Name, Method string
	PerSecond    float64
	Deadline     time.Duration
	// Patience is after what gap a client abandons a stream; zero for others.
	Patience time.Duration
	Bytes    int
	Tokens   string
	Shared   string
}

// Attempt is one request of a client.
type Attempt struct {
	ID, Kind, Router string
	SentAt, EndedAt  time.Time
	IsKept           bool
	Status           int
	Events           int
	IsComplete       bool
	GaveUp           bool
	// ClosedUnanswered is set if the channel ended before the first byte of an answer.
	ClosedUnanswered bool
	Err              string
	Header           http.Header
	Body             string
}

// Clients send requests at given rates.
type Clients struct {
	lab      *Lab
	mu       sync.Mutex
	Attempts []*Attempt
	number   atomic.Int64
	wg       sync.WaitGroup
	clients  []*client
}

// client is one client with its kept channels.
type client struct {
	all       *Clients
	mu        sync.Mutex
	addresses []string
	expiresAt time.Time
	idle      map[string][]*channel
	key       string
}

type channel struct {
	net.Conn
	reader *bufio.Reader
	uses   int
	// idleSince is when the channel was last used.
	idleSince time.Time
}

// maxIdle is four fifths of the manifest's IdleTimeoutMs.
const maxIdle = 12 * time.Second

// NewClients returns n clients.
func (l *Lab) NewClients(n int) *Clients {
	c := &Clients{lab: l}
	keys := []string{"key-one-of-tenant-1", "key-two-of-tenant-1", "key-one-of-tenant-2"}
	for i := range n {
		c.clients = append(c.clients, &client{all: c, idle: make(map[string][]*channel), key: keys[i%len(keys)]})
	}
	return c
}

// Send sends requests of the kinds until stop is closed.
func (c *Clients) Send(kinds []Kind, stop <-chan struct{}) {
	for _, kind := range kinds {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			for {
				wait := time.Duration(rand.ExpFloat64() / kind.PerSecond * float64(time.Second))
				select {
				case <-stop:
					return
				case <-time.After(wait):
				}
				c.wg.Add(1)
				go func() {
					defer c.wg.Done()
					c.clients[rand.IntN(len(c.clients))].request(kind)
				}()
			}
		}()
	}
}

// Wait waits for the requests in flight.
func (c *Clients) Wait() { c.wg.Wait() }

// resolve asks the routers which addresses to use.
func (c *client) resolve() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expiresAt) {
		return c.addresses
	}
	for range 3 {
		r := c.all.lab.Routers[rand.IntN(len(c.all.lab.Routers))]
		asker := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := asker.Get("http://" + net.JoinHostPort(r.IP, strconv.Itoa(r.DirectoryPort)) + platform.ResolvePath + "?" + url.Values{"Name": {"a.example"}, "Region": {"region-1"}, "Zone": {"zone-a"}}.Encode())
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string
			TtlS      float64
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		if err == nil && len(answer.Addresses) > 0 {
			c.addresses, c.expiresAt = answer.Addresses, time.Now().Add(time.Duration(min(answer.TtlS, 5)*float64(time.Second)))
			break
		}
	}
	return c.addresses
}

// open returns a kept channel to a router, or a new one.
func (c *client) open(address string) (*channel, error) {
	c.mu.Lock()
	for len(c.idle[address]) > 0 {
		kept := c.idle[address]
		ch := kept[len(kept)-1]
		c.idle[address] = kept[:len(kept)-1]
		if time.Since(ch.idleSince) < maxIdle {
			c.mu.Unlock()
			return ch, nil
		}
		_ = ch.Close()
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *client) keep(address string, ch *channel) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch.idleSince = time.Now()
	c.idle[address] = append(c.idle[address], ch)
}

func (c *client) request(kind Kind) {
	addresses := c.resolve()
	if len(addresses) == 0 {
		return
	}
	tried := map[string]bool{}
	for try := 0; try < 2; try++ {
		address := addresses[rand.IntN(len(addresses))]
		for n := 0; tried[address] && n < 10; n++ {
			address = addresses[rand.IntN(len(addresses))]
		}
		tried[address] = true
		a := c.send(kind, address, try > 0)
		c.all.add(a)
		if a.IsComplete || a.GaveUp {
			return
		}
		isPromise := a.Status == 429 || a.Status == 503 || a.Status == 408 || a.Status == 421
		isSafe := kind.Name == "status" || kind.Name == "question"
		if !isPromise && !isSafe && a.Err != "dial" {
			return
		}
		wait := 50 * time.Millisecond
		if seconds, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64); err == nil {
			wait = min(time.Duration(seconds*float64(time.Second)), kind.Deadline/3)
		}
		time.Sleep(wait)
	}
}

// send sends one request and reads its answer.
func (c *client) send(kind Kind, address string, isNew bool) *Attempt {
	id := fmt.Sprintf("%016x", uint64(c.all.number.Add(1))<<24|uint64(rand.Uint32()>>8))
	a := &Attempt{ID: id, Kind: kind.Name, Router: address, SentAt: time.Now(), Header: http.Header{}}
	defer func() { a.EndedAt = time.Now() }()
	var ch *channel
	var err error
	if isNew {
		var conn net.Conn
		if conn, err = net.DialTimeout("tcp", address, time.Second); err == nil {
			ch = &channel{Conn: conn, reader: bufio.NewReader(conn)}
		}
	} else {
		ch, err = c.open(address)
	}
	if err != nil {
		a.Err = "dial"
		return a
	}
	a.IsKept = ch.uses > 0
	ch.uses++
	body := strings.Repeat("b", kind.Bytes)
	var head strings.Builder
	fmt.Fprintf(&head, "%s /%s/%s HTTP/1.1\r\nHost: a.example\r\n%s: %s\r\n%s: %d\r\n%s: %s%s\r\n", kind.Method, kind.Name, id, wire["attempt"], id,
		wire["deadline"], kind.Deadline.Milliseconds(), wire["authorization"], wire["scheme"], c.key)
	if kind.Patience > 0 {
		fmt.Fprintf(&head, "%s: m\r\n%s: %s\r\n%s: %s,%s:200\r\n", wire["model"], wire["tokens"], kind.Tokens, wire["prefix"], kind.Shared, id[:8])
	}
	if kind.Method == http.MethodPost {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	head.WriteString("\r\n")
	end := time.Now().Add(kind.Deadline)
	_ = ch.SetDeadline(end)
	if _, err := io.WriteString(ch, head.String()+body); err != nil {
		a.ClosedUnanswered, a.Err = true, "write: "+err.Error()
		_ = ch.Close()
		return a
	}
	limit := func() time.Time {
		if kind.Patience == 0 {
			return end
		}
		if patient := time.Now().Add(kind.Patience); patient.Before(end) {
			return patient
		}
		return end
	}
	_ = ch.SetReadDeadline(limit())
	if _, err := ch.reader.Peek(1); err != nil {
		a.fail(err, true)
		_ = ch.Close()
		return a
	}
	response, err := http.ReadResponse(ch.reader, &http.Request{Method: kind.Method})
	if err != nil {
		a.fail(err, false)
		_ = ch.Close()
		return a
	}
	a.Status, a.Header = response.StatusCode, response.Header
	isStream := kind.Patience > 0 && response.StatusCode == 200
	if !isStream {
		text, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
		a.Body = string(text)
		if err != nil {
			a.fail(err, false)
			_ = ch.Close()
			return a
		}
		a.IsComplete = response.StatusCode == 200
	} else {
		lines := bufio.NewReader(response.Body)
		for {
			_ = ch.SetReadDeadline(limit())
			line, err := lines.ReadString('\n')
			if line == "\n" {
				a.Events++
			}
			if errors.Is(err, io.EOF) {
				a.IsComplete = true
				break
			}
			if err != nil {
				a.fail(err, false)
				_ = ch.Close()
				return a
			}
		}
	}
	if response.Close {
		_ = ch.Close()
		return a
	}
	_ = ch.SetDeadline(time.Time{})
	c.keep(address, ch)
	return a
}

func (a *Attempt) fail(err error, isUnanswered bool) {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		a.GaveUp, a.Err = true, "gave up"
		return
	}
	a.ClosedUnanswered, a.Err = isUnanswered, err.Error()
}

func (c *Clients) add(a *Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Attempts = append(c.Attempts, a)
}

// Outcome says how a request ended.
func (a *Attempt) Outcome() string {
	switch {
	case a.IsComplete:
		return "complete"
	case a.GaveUp:
		return "given up by the client"
	case a.ClosedUnanswered:
		return "channel closed without an answer"
	case a.Err == "dial":
		return "no channel"
	case a.Err != "" && a.Status == http.StatusOK:
		return "answer broken off"
	case a.Err != "":
		return "answer that can't be read"
	}
	return fmt.Sprintf("answered %d", a.Status)
}

// LogAttempts writes what was sent, answered and run.
func (l *Lab) LogAttempts(clients *Clients) {
	clients.mu.Lock()
	defer clients.mu.Unlock()
	runs := l.runs()
	l.Logf("requests: time sent, id, kind, router, kept or new channel, end, where it ran")
	for _, a := range clients.Attempts {
		kept, ran := "new ", "did not run"
		if a.IsKept {
			kept = "kept"
		}
		if run, hasRun := runs[a.ID]; hasRun {
			ran = "ran at " + run.Server
		}
		l.Logf("%8.3f %s %-8s %s %s %s after %.3f s, %s", a.SentAt.Sub(l.began).Seconds(), a.ID, a.Kind, a.Router, kept, a.Outcome(), a.EndedAt.Sub(a.SentAt).Seconds(), ran)
	}
}
