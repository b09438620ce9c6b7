package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// troubledShare is the share of the model servers' answers that are spoilt in an episode, as
	// with srv_grey on all servers in the site file.
	troubledShare = 0.45
	episodes      = 12
	episodeLength = 4 * time.Second
	episodePause  = 3 * time.Second
	// junkHeadBytes and junkEventBytes are what a spoilt answer sends at once; then it goes on, a
	// byte at a time, until the caller closes.
	junkHeadBytes  = 62 << 10
	junkEventBytes = 900 << 10
	trickle        = 200 * time.Millisecond
	memoryMb       = 284
)

// junkHead returns lines of a head that mean nothing.
func junkHead() string {
	var b strings.Builder
	for n := int64(36 * 36); b.Len() < junkHeadBytes; n++ {
		b.WriteString(strconv.FormatInt(n, 36) + ":\r\n")
	}
	return b.String()
}

// siteKinds are the requests of the sheets, at their rates: 89.1 a second. The deadline of plain
// requests is a second on that of zhanibek-rebate and three on that of ferraris-quote.
func siteKinds(plainDeadline time.Duration) []Kind {
	const patience = 3200 * time.Millisecond
	return []Kind{
		{Name: "dossier", Method: http.MethodPost, PerSecond: 20.4, Deadline: 15 * time.Second, Patience: patience, Bytes: 12000, Tokens: "11812,380", Shared: "5c1e07a2:10512"},
		{Name: "question", Method: http.MethodPost, PerSecond: 18.5, Deadline: 15 * time.Second, Patience: patience, Bytes: 830, Tokens: "829,290", Shared: "91bd3f06:699"},
		{Name: "tag", Method: http.MethodPost, PerSecond: 26, Deadline: 3 * time.Second, Patience: patience, Bytes: 2400, Tokens: "2401,25", Shared: "e4402b7d:2041"},
		{Name: "filing", Method: http.MethodPost, PerSecond: 16.2, Deadline: plainDeadline, Bytes: 600},
		{Name: "status", Method: http.MethodGet, PerSecond: 8, Deadline: plainDeadline},
	}
}

// startSite starts the model servers of the sheets, and plain servers with the time that they
// work on a request.
func (l *Lab) startSite(plainServers int, work time.Duration, answer func(s *Server, conn net.Conn, r *http.Request, body string) (done, keep bool)) error {
	for i := range 12 {
		s, err := l.StartServer(fmt.Sprintf("pool-%d", i+1), "pool", 64, 76, 30*time.Millisecond)
		if err != nil {
			return err
		}
		s.Answer = answer
	}
	for i := range plainServers {
		if _, err := l.StartServer(fmt.Sprintf("desk-%d", i+1), "desk", 6, 0, work); err != nil {
			return err
		}
	}
	return nil
}

// caseEndless: answers of model servers go on without end, in the head and in the body.
func caseEndless(l *Lab) (int, error) {
	junk := junkHead()
	var isTroubled atomic.Bool
	var spoilt atomic.Int64
	err := l.startSite(3, 60*time.Millisecond, func(s *Server, conn net.Conn, r *http.Request, body string) (done, keep bool) {
		if !isTroubled.Load() || rand.Float64() >= troubledShare {
			return false, false
		}
		spoilt.Add(1)
		const event = "id: 1\ndata: piece 1\n\n"
		if !s.write(conn, s.headOf("200 OK", r.Header.Get(wire["attempt"]), s.signature()+"Content-Type: text/event-stream\r\n"+junk+"\r\n"+event+strings.Repeat("x", junkEventBytes))) {
			return true, false
		}
		for {
			time.Sleep(trickle)
			if _, err := io.WriteString(conn, "x"); err != nil {
				return true, false
			}
		}
	})
	if err != nil {
		return couldnot, err
	}
	if err := l.StartRouters(1, memoryMb, nil); err != nil {
		return couldnot, err
	}
	if err := l.AwaitReady(20 * time.Second); err != nil {
		return couldnot, err
	}
	l.Logf("one of the seven machines is left; 12 model servers, 3 plain servers")
	clients := l.NewClients(52)
	stop := make(chan struct{})
	clients.Send(siteKinds(3*time.Second), stop)
	time.Sleep(8 * time.Second)
	for i := range episodes {
		isTroubled.Store(l.Trouble)
		l.Logf("episode %d begins", i+1)
		time.Sleep(episodeLength)
		isTroubled.Store(false)
		l.Logf("episode %d ends; %d answers were spoilt so far", i+1, spoilt.Load())
		time.Sleep(episodePause)
	}
	close(stop)
	clients.Wait()
	return l.judgeEnds(clients), nil
}

func (l *Lab) judgeEnds(clients *Clients) int {
	l.LogAttempts(clients)
	l.LogOutcomes(clients)
	soundArrivals := map[string]string{}
	for _, s := range l.servers {
		if s.Service != "desk" {
			continue
		}
		s.mu.Lock()
		for id := range s.Arrived {
			soundArrivals[id] = s.ID
		}
		s.mu.Unlock()
	}
	lost := 0
	for _, a := range clients.Attempts {
		if server := soundArrivals[a.ID]; a.IsKept && a.ClosedUnanswered && server != "" {
			lost++
			l.Logf("LOST: %s %s on a kept channel of %s, passed on to %s, which is sound: %s", a.Kind, a.ID, a.Router, server, a.Err)
		}
	}
	endedThrice := 0
	for _, r := range l.Routers {
		r.mu.Lock()
		l.Logf("%s: most memory %d MB of %d, ended by itself %d times, %d of them over its memory", r.Name, r.TopMb, r.MemoryMb, r.OwnEnds, r.OverMemory)
		if r.OwnEnds >= 3 {
			endedThrice++
		}
		r.mu.Unlock()
	}
	l.Logf("machines whose process ended by itself three times or more: %d (the rule is broken by two)", endedThrice)
	l.Logf("kept channels closed without an answer, their request passed on to a sound server: %d (the rule is broken by more than three)", lost)
	if endedThrice >= 2 || lost > 3 {
		return broken
	}
	return held
}

// LogOutcomes writes how the requests ended.
func (l *Lab) LogOutcomes(clients *Clients) {
	clients.mu.Lock()
	defer clients.mu.Unlock()
	count := map[string]int{}
	for _, a := range clients.Attempts {
		count[a.Kind+": "+a.Outcome()]++
	}
	var lines []string
	for text, n := range count {
		lines = append(lines, fmt.Sprintf("%6d  %s", n, text))
	}
	slices.SortFunc(lines, func(a, b string) int { return strings.Compare(a[8:], b[8:]) })
	for _, line := range lines {
		l.Logf("%s", line)
	}
}
