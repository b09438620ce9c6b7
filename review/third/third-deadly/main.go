// Command third-deadly starts three routers before twelve model servers. Some requests end each
// server that begins to answer them; each server is back after some seconds.
//
// Its argument is the play: deep, dark or again, which are cases, or burst.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"gentianhead/platform"
	"gentianhead/platform/platformtest"
	"gentianhead/review/third/lab"
)

const (
	// contact is ContactMs. lapse is the time after which the entry of a silent server is
	// removed: three status report intervals.
	contact = 3 * time.Second
	lapse   = 3600 * time.Millisecond
	// The answers of the servers.
	events    = 40
	pause     = 40 * time.Millisecond
	headPause = 100 * time.Millisecond
	// calm is how long only sound requests come, trouble how long the others come too.
	calm    = 12 * time.Second
	trouble = 30 * time.Second
	// deadlyPart is the part of a prompt on which servers crash.
	deadlyPart = "dead0001"
	// deadlyTarget is the path of the request that comes again.
	deadlyTarget = "/r/again"
)

// Phases of a run, for the outcomes of sound requests.
const (
	phaseBefore  = "before the first crash"
	phaseBetween = "between"
	phaseAfter   = "from 2 x ContactMs after the last crash that counts"
)

// plan is what a case sends.
type plan struct {
	servers int
	slots   int
	// shared are the parts that begin all prompts.
	shared []string
	// soundEvery is the time between two sound requests.
	soundEvery time.Duration
	// group requests that crash servers come every deadlyEvery, within spread.
	group       int
	deadlyEvery time.Duration
	spread      time.Duration
	// crashesBefore is the crash from which ContactMs counts, and most how many more may come.
	crashesBefore, most int
	// down is how long a server is gone after a crash.
	down time.Duration
	// patience is the gap in a stream after which a client leaves.
	patience time.Duration
}

func planOf(name string) plan {
	model := plan{servers: 12, slots: 64, soundEvery: 50 * time.Millisecond, group: 1, deadlyEvery: time.Second, crashesBefore: 5, most: 3, down: 3 * time.Second, patience: 3200 * time.Millisecond}
	switch name {
	case "deep":
		for i := range 33 {
			model.shared = append(model.shared, fmt.Sprintf("a%07x", i))
		}
	case "burst":
		model.shared = []string{"a0000000"}
		model.group, model.deadlyEvery, model.spread = 8, 5*time.Second, 30*time.Millisecond
	case "dark":
		model.shared = []string{"a0000000"}
		model.down = 5 * time.Second
	case "again":
		model.shared = []string{"a0000000"}
		model.crashesBefore = 3
	default:
		lab.Fail("no case %q", name)
	}
	return model
}

// endpoint is a process of a server: a platformtest.Endpoint or a lab.Engine.
type endpoint interface {
	Arrivals() []platformtest.Arrival
	CrashedAt() time.Time
	Entry(service, state string) map[string]any
}

// server is a place of the service, where one process runs after the other.
type server struct {
	number, boots int
	id            string
	endpoint      endpoint
}

type world struct {
	plan   plan
	name   string
	store  *platformtest.Store
	record *lab.Record

	mu        sync.Mutex
	endpoints map[string]endpoint
	crashes   []time.Time
	// outcomes of sound requests, by phase.
	outcomes map[string]map[string]int
}

func (w *world) boot(s *server) {
	s.boots++
	s.id = fmt.Sprintf("i-%d-%d", s.number, s.boots)
	if w.name == "dark" {
		e := lab.NewEngine(s.id)
		e.Events, e.Pause, e.HeadPause = events, pause, headPause
		if lab.IsTroubled() {
			e.DeadlyPart = deadlyPart
		}
		s.endpoint = e
	} else {
		e := platformtest.NewEndpoint(s.id)
		e.Events, e.Pause, e.HeadPause, e.Load = events, pause, headPause, "1,0,64"
		switch {
		case !lab.IsTroubled():
		case w.name == "again":
			e.CrashTarget = deadlyTarget
		default:
			e.CrashParts = []string{deadlyPart}
		}
		s.endpoint = e
	}
	w.mu.Lock()
	w.endpoints[s.id] = s.endpoint
	w.mu.Unlock()
	entry := s.endpoint.Entry("pool", "ready")
	entry["Slots"], entry["born"], entry["Zone"] = w.plan.slots, time.Now().UnixMilli(), "zone-a"
	w.store.Put(platform.TableEndpoints, s.id, entry)
}

// watch notes crashes and starts the servers again.
func (w *world) watch(servers []*server) {
	for ; ; time.Sleep(time.Millisecond) {
		for _, s := range servers {
			crashed := s.endpoint
			if crashed == nil || crashed.CrashedAt().IsZero() {
				continue
			}
			at := crashed.CrashedAt()
			w.mu.Lock()
			w.crashes = append(w.crashes, at)
			number := len(w.crashes)
			w.mu.Unlock()
			id := s.id
			w.record.Add("crash %d: server %s", number, id)
			s.endpoint = nil
			time.AfterFunc(lapse, func() { w.store.Delete(platform.TableEndpoints, id) })
			time.AfterFunc(w.plan.down, func() {
				if dark, isDark := crashed.(*lab.Engine); isDark {
					dark.Close()
				}
				w.boot(s)
			})
		}
	}
}

func main() {
	name := os.Args[1]
	dir, err := os.MkdirTemp("", "third")
	if err != nil {
		lab.Fail("%v", err)
	}
	w := &world{plan: planOf(name), name: name, store: platformtest.NewStore(), record: lab.NewRecord(), outcomes: make(map[string]map[string]int), endpoints: make(map[string]endpoint)}
	w.store.Put(platform.TableOperator, platform.KeyConfiguration, []byte(lab.Text("pool.json")))
	var servers []*server
	for i := range w.plan.servers {
		s := &server{number: i}
		servers = append(servers, s)
		w.boot(s)
	}
	var routers []*lab.Router
	port := lab.FreePort()
	for i := range 3 {
		routers = append(routers, lab.Start(lab.Options{Number: i + 1, Store: w.store.Address, Dir: dir, Port: port}))
	}
	for _, r := range routers {
		r.AwaitReady()
	}
	time.Sleep(2 * time.Second)
	go w.watch(servers)
	startedAt := time.Now()
	var wg sync.WaitGroup
	number := 0
	nextDeadly := startedAt.Add(calm)
	for at := startedAt; at.Before(startedAt.Add(calm + trouble)); at = at.Add(w.plan.soundEvery) {
		time.Sleep(time.Until(at))
		number++
		n := number
		wg.Go(func() { w.send(routers[rand.IntN(len(routers))], n, false) })
		if at.Before(nextDeadly) {
			continue
		}
		nextDeadly = nextDeadly.Add(w.plan.deadlyEvery)
		for range w.plan.group {
			number++
			n := number
			wg.Go(func() {
				time.Sleep(rand.N(w.plan.spread + 1))
				w.send(routers[rand.IntN(len(routers))], n, true)
			})
		}
	}
	wg.Wait()
	code := w.judge()
	for _, r := range routers {
		if hasEnded, how := r.HasEnded(); hasEnded {
			w.record.Say("%s ended: %s", r.Name, how)
		}
	}
	os.RemoveAll(dir)
	lab.Exit(code)
}

// idOf returns the attempt id of a request, which tells the deadly ones apart.
func idOf(number int, isDeadly bool) string {
	if isDeadly {
		return fmt.Sprintf("dead%012x", number)
	}
	return fmt.Sprintf("5000%012x", number)
}

func (w *world) send(r *lab.Router, number int, isDeadly bool) {
	id := idOf(number, isDeadly)
	target, body := fmt.Sprintf("/r/%d", number), fmt.Sprintf("body %d", number)
	isAgain := isDeadly && w.name == "again"
	if isAgain {
		// The same path, caller and body. The last part belongs to the request itself.
		target, body = deadlyTarget, "body"
	}
	// All requests but the one that comes again are about one of twelve documents.
	var parts []string
	for _, part := range w.plan.shared {
		parts = append(parts, part+":100")
	}
	if isDeadly && !isAgain {
		parts = append(parts, deadlyPart+":100")
	}
	if !isAgain {
		parts = append(parts, fmt.Sprintf("d%07x:600", number%12))
	}
	parts = append(parts, fmt.Sprintf("e%07x:130", number))
	prompt := lab.Fill("prompt.txt", "tokens", fmt.Sprint(100*len(w.plan.shared)+830), "parts", strings.Join(parts, ","))
	head := lab.Head("request.txt", "method", "POST", "target", target, "id", id, "deadline", "15000", "more", prompt, "length", fmt.Sprint(len(body)))
	startedAt := time.Now()
	w.record.Add("sent %s to %s: POST %s", id, r.Name, target)
	result := w.exchange(r, head+body)
	w.record.Add("answered %s: %s", id, result)
	if isDeadly {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	phase := phaseBefore
	if count := len(w.crashes); count >= w.plan.crashesBefore && startedAt.After(w.crashes[w.plan.crashesBefore-1].Add(2*contact)) {
		phase = phaseAfter
	} else if count > 0 {
		phase = phaseBetween
	}
	if w.outcomes[phase] == nil {
		w.outcomes[phase] = make(map[string]int)
	}
	w.outcomes[phase][result]++
}

func (w *world) exchange(r *lab.Router, text string) string {
	conn, err := net.DialTimeout("tcp", r.Callers, time.Second)
	if err != nil {
		return "no connection"
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, text); err != nil {
		return "not read"
	}
	_ = conn.SetReadDeadline(time.Now().Add(w.plan.patience))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer"
	}
	for buffer := make([]byte, 4096); ; {
		_ = conn.SetReadDeadline(time.Now().Add(w.plan.patience))
		_, err := response.Body.Read(buffer)
		switch {
		case errors.Is(err, io.EOF):
			return fmt.Sprintf("%d", response.StatusCode)
		case errors.Is(err, os.ErrDeadlineExceeded):
			return fmt.Sprintf("%d, silent", response.StatusCode)
		case err != nil:
			return fmt.Sprintf("%d, broken off", response.StatusCode)
		}
	}
}

// judge applies the rules to what servers and clients have seen.
func (w *world) judge() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	arrived, late := 0, 0
	for id, e := range w.endpoints {
		for _, a := range e.Arrivals() {
			if !strings.HasPrefix(a.Attempt, "dead") {
				continue
			}
			arrived++
			w.record.Add("run %s at %s, %.3f s after the start of the record", a.Attempt, id, w.record.Since(a.At).Seconds())
			if len(w.crashes) >= w.plan.crashesBefore && a.At.After(w.crashes[w.plan.crashesBefore-1].Add(contact)) {
				late++
			}
		}
	}
	for phase, results := range w.outcomes {
		w.record.Say("sound requests %s: %v", phase, results)
	}
	begunBefore, sentBefore := begun(w.outcomes[phaseBefore])
	begunAfter, sentAfter := begun(w.outcomes[phaseAfter])
	w.record.Say("crashes: %d; requests that crash servers: %d reached one, %d of these later than ContactMs after crash %d (allowed: %d)",
		len(w.crashes), arrived, late, w.plan.crashesBefore, w.plan.most)
	w.record.Say("sound requests that began at their first attempt: %d of %d before the first crash, %d of %d from 2 x ContactMs after crash %d", begunBefore, sentBefore, begunAfter, sentAfter, w.plan.crashesBefore)
	if served := w.outcomes[phaseBefore]["200"]; 10*served < 9*sentBefore {
		w.record.Say("the case can't run: sound requests aren't served before the first crash")
		return lab.CannotRun
	}
	code := lab.Held
	if late > w.plan.most {
		w.record.Say("BUDGET is broken")
		code = lab.Broken
	}
	if w.name != "again" && sentBefore >= 20 && sentAfter >= 20 && 2*begunAfter*sentBefore < begunBefore*sentAfter {
		w.record.Say("LOST is broken")
		code = lab.Broken
	}
	return code
}

// begun returns how many requests began, and how many were sent.
func begun(results map[string]int) (count, sent int) {
	for result, n := range results {
		sent += n
		if strings.HasPrefix(result, "200") {
			count += n
		}
	}
	return count, sent
}
