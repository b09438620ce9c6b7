// Command watchers is the case of a deployment in which the first three routers lose their way
// to the store at one moment, without a reset, while the other routers keep theirs. A manifest
// and the leaving of a server are acknowledged right after. With the argument "restarts", the three
// are killed instead, restarted, and killed once more; the acknowledgements come after the first
// restart.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"gentianhead/platform"
	"gentianhead/platform/platformtest"
	"gentianhead/review/lab"
)

const (
	routers, cutOff = 9, 3
	// configBound is ConfigMs and drainBound DrainMs.
	configBound, drainBound = 2 * time.Second, 2 * time.Second
	// calmTime is longer than ContactMs.
	calmTime = 5 * time.Second
	// storm changes of the manifest come each stormGap, the last one lastGap before the cut.
	storm    = 8
	stormGap = 200 * time.Millisecond
	lastGap  = 10 * time.Millisecond
	// afterCut is the time from the cut to the manifest and the leaving.
	afterCut = 20 * time.Millisecond
	// lingerTime is how long a leaving server serves on after DrainMs, and then ends.
	lingerTime = 300 * time.Millisecond
	cutTime    = 5500 * time.Millisecond
	// A killed router starts again after restartDelay. The second kill comes killGap after the
	// first, and the acknowledgements afterKill; the server then serves on for longLinger.
	restartDelay = 350 * time.Millisecond
	killGap      = 1850 * time.Millisecond
	afterKill    = 600 * time.Millisecond
	longLinger   = 1500 * time.Millisecond
	pause        = 15 * time.Millisecond
	work         = 60 * time.Millisecond
	key          = "n2ctnfzs989anu6wsjnb"
)

type sent struct {
	id, path, router string
	at               time.Time
	status           int
	err              error
}

type callers struct {
	mu   sync.Mutex
	sent map[string]sent
}

func main() {
	record, err := lab.NewRecord(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(lab.ExitNotRun)
	}
	isRestarting := len(os.Args) > 2 && os.Args[2] == "restarts"
	status, err := run(record, isRestarting)
	if err != nil {
		record.Add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		status = lab.ExitNotRun
	}
	os.Exit(status)
}

func run(record *lab.Record, isRestarting bool) (int, error) {
	l, err := lab.New(record)
	if err != nil {
		return lab.ExitNotRun, err
	}
	defer l.Close()
	var servers []*platformtest.Endpoint
	for number := range 3 {
		server := platformtest.NewEndpoint(fmt.Sprintf("i-app-%d", number+1))
		server.Pause = work
		defer server.Close()
		l.Register("app", server)
		servers = append(servers, server)
	}
	version := 7
	manifest := func(dropsLookup bool) time.Time {
		version++
		return l.Apply(lab.Manifest{Version: version, TimeoutMs: 1500, DropsLookup: dropsLookup, Tenants: []lab.Tenant{{Name: "hule930", Keys: []string{key}}}})
	}
	manifest(false)
	var ways []*lab.Proxy
	for range routers {
		way, err := lab.NewProxy(l.Store.Address)
		if err != nil {
			return lab.ExitNotRun, err
		}
		defer way.Close()
		ways = append(ways, way)
	}
	if err := l.StartRouters(routers, func(number int) string { return ways[number].Address }); err != nil {
		return lab.ExitNotRun, err
	}
	c := &callers{sent: make(map[string]sent)}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	// Only the routers that keep their way to the store are judged.
	for _, router := range l.Routers[cutOff:] {
		for _, path := range []string{"/lookup/1", "/order/1"} {
			wg.Go(func() { c.call(l, router, path, stop) })
		}
	}
	time.Sleep(calmTime)
	for range storm {
		time.Sleep(stormGap)
		manifest(false)
	}
	time.Sleep(lastGap)
	linger := lingerTime
	var restarts sync.WaitGroup
	defer restarts.Wait()
	if isRestarting {
		linger = longLinger
		if lab.IsTroubled() {
			restarts.Go(func() { killTwice(l) })
		}
		time.Sleep(afterKill)
	} else {
		if lab.IsTroubled() {
			for _, way := range ways[:cutOff] {
				way.Cut()
			}
			record.Add("%s to %s have lost their way to the store", l.Routers[0].Name, l.Routers[cutOff-1].Name)
		}
		time.Sleep(afterCut)
	}
	droppedAt := manifest(true)
	leaving := servers[0]
	l.Store.Put(platform.TableEndpoints, leaving.ID, leaving.Entry("app", "draining"))
	drainingAt := time.Now()
	record.Add("the store has acknowledged that %s is draining", leaving.ID)
	time.Sleep(time.Until(drainingAt.Add(drainBound + linger)))
	leaving.Close()
	l.Store.Delete(platform.TableEndpoints, leaving.ID)
	record.Add("%s has ended", leaving.ID)
	time.Sleep(time.Until(drainingAt.Add(cutTime)))
	for _, way := range ways {
		way.Heal()
	}
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	return c.judge(record, servers, droppedAt, drainingAt), nil
}

// killTwice kills the first routers, starts them again, and does both once more.
func killTwice(l *lab.Lab) {
	firstAt := time.Now()
	for round := range 2 {
		time.Sleep(time.Until(firstAt.Add(time.Duration(round) * killGap)))
		for _, router := range l.Routers[:cutOff] {
			router.Kill()
		}
		l.Record.Add("%s to %s were killed", l.Routers[0].Name, l.Routers[cutOff-1].Name)
		time.Sleep(restartDelay)
		for _, router := range l.Routers[:cutOff] {
			if err := l.Start(router); err != nil {
				l.Record.Add("%s did not start: %v", router.Name, err)
			}
		}
	}
}

// call sends requests to a router one after the other.
func (c *callers) call(l *lab.Lab, router *lab.Router, path string, stop <-chan struct{}) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	method := http.MethodGet
	if strings.HasPrefix(path, "/order/") {
		method = http.MethodPost
	}
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		s := sent{id: fmt.Sprintf("%s-%s-%04d", router.Name, strings.Split(path, "/")[1], number), path: path, router: router.Name, at: time.Now()}
		request, err := http.NewRequest(method, "http://"+router.Callers()+path, strings.NewReader(""))
		if err != nil {
			panic(err)
		}
		request.Host = "a.example"
		request.Header.Set(lab.Names.Attempt, s.id)
		request.Header.Set(lab.Names.Deadline, "3000")
		request.Header.Set("Authorization", lab.Names.KeyScheme+key)
		response, err := client.Do(request)
		s.err = err
		if err == nil {
			s.status = response.StatusCode
			_, s.err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		c.mu.Lock()
		c.sent[s.id] = s
		c.mu.Unlock()
		l.Record.Add("%s sent at %s: %d %v", s.id, l.Record.At(s.at), s.status, s.err)
	}
}

// judge writes what the servers got and counts what breaks a rule.
func (c *callers) judge(record *lab.Record, servers []*platformtest.Endpoint, droppedAt, drainingAt time.Time) int {
	var runs, stale, late, lost int
	latest := time.Duration(0)
	for index, server := range servers {
		for _, run := range server.Runs() {
			runs++
			id := run.Header.Get(lab.Names.Attempt)
			s := c.sent[id]
			record.Add("server %s ran %s at %s", server.ID, id, record.At(run.At))
			if after := s.at.Sub(droppedAt); strings.HasPrefix(s.path, "/lookup/") && after > configBound {
				stale++
				latest = max(latest, after)
				record.Add("BROKEN CONFIG: %s ran, sent %.3f s after the ack of the manifest that dropped its route", id, after.Seconds())
			}
			if after := run.At.Sub(drainingAt); index == 0 && after > drainBound {
				late++
				latest = max(latest, after)
				isLost := slices.Contains([]int{0, http.StatusBadGateway}, s.status)
				if isLost {
					lost++
				}
				record.Add("BROKEN DRAIN: %s reached %s %.3f s after the ack that it is draining; its caller got %d", id, server.ID, after.Seconds(), s.status)
			}
		}
	}
	summary := fmt.Sprintf("sent %d, run %d; by routers in touch: run over %v after the ack that dropped the route %d, reached a leaving server over %v after the ack %d, of which %d were lost; latest %.3f s",
		len(c.sent), runs, configBound, stale, drainBound, late, lost, latest.Seconds())
	record.Add("%s", summary)
	fmt.Println(summary)
	if runs == 0 {
		return lab.ExitNotRun
	}
	if stale+late > 0 {
		return lab.ExitBroken
	}
	return lab.ExitHeld
}
