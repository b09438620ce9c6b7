// Command servedpart is the case of a prompt part that engines have served often and that then
// begins to crash each engine that begins to write an answer on it.
package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gentianhead/platform"
	"gentianhead/review/lab"
)

const (
	key     = "n2ctnfzs989anu6wsjnb"
	routers = 3
	engines = 8
	// deadlyPart is the part of the prompt. Requests with it come each deadlyPause, sound ones
	// at each of soundCallers each soundPause.
	deadlyPart   = "d0c5eed5"
	deadlyPause  = 700 * time.Millisecond
	soundPause   = 300 * time.Millisecond
	soundCallers = 4
	// servedTime is how long the part is served before it crashes engines, and crashTime how long
	// it does.
	servedTime, crashTime = 25 * time.Second, 40 * time.Second
	// backAfter is when a crashed engine is back, under another id; its old entry is removed
	// after three status report intervals.
	backAfter, lapseAfter = 3 * time.Second, 3600 * time.Millisecond
	contact               = 3 * time.Second
	// allowed is how many requests with the part may reach engines later than contact after the
	// fifth crash.
	allowed, fifth = 3, 5
	events, pace   = 10, 80 * time.Millisecond
)

// pool is the set of engines. Each that crashes is replaced.
type pool struct {
	lab      *lab.Lab
	isDeadly atomic.Bool

	mu       sync.Mutex
	all      []*lab.Engine
	isClosed bool
	crashes  []time.Time
}

// crashesOn reports whether the parts of a request crash the engine that begins to answer it.
func (p *pool) crashesOn(parts []string) bool {
	return p.isDeadly.Load() && slices.Contains(parts, deadlyPart)
}

func (p *pool) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed {
		return nil
	}
	engine, err := lab.NewEngine(fmt.Sprintf("i-pool-%d", len(p.all)+1), events, pace, p.crashesOn)
	if err != nil {
		return err
	}
	p.all = append(p.all, engine)
	p.lab.Record.Add("engine %s is there", engine.ID)
	go p.watch(engine)
	return p.lab.RegisterEngine("pool", engine)
}

// watch replaces an engine once it has crashed.
func (p *pool) watch(engine *lab.Engine) {
	<-engine.Crashed()
	at := time.Now()
	p.mu.Lock()
	isClosed := p.isClosed
	p.crashes = append(p.crashes, at)
	number := len(p.crashes)
	p.mu.Unlock()
	if isClosed {
		return
	}
	p.lab.Record.Add("engine %s crashed, crash %d", engine.ID, number)
	time.Sleep(time.Until(at.Add(backAfter)))
	if err := p.start(); err != nil {
		p.lab.Record.Add("no engine came back: %v", err)
	}
	time.Sleep(time.Until(at.Add(lapseAfter)))
	p.lab.Store.Delete(platform.TableEndpoints, engine.ID)
}

// close ends all engines.
func (p *pool) close() {
	p.mu.Lock()
	p.isClosed = true
	all := p.all
	p.mu.Unlock()
	for _, engine := range all {
		engine.Close()
	}
}

type sent struct {
	id, part string
	at       time.Time
	status   int
	isWhole  bool
}

func main() {
	record, err := lab.NewRecord(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(lab.ExitNotRun)
	}
	status, err := run(record)
	if err != nil {
		record.Add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		status = lab.ExitNotRun
	}
	os.Exit(status)
}

func run(record *lab.Record) (int, error) {
	l, err := lab.New(record)
	if err != nil {
		return lab.ExitNotRun, err
	}
	defer l.Close()
	p := &pool{lab: l}
	defer p.close()
	for range engines {
		if err := p.start(); err != nil {
			return lab.ExitNotRun, err
		}
	}
	l.Apply(lab.Manifest{Version: 7, TimeoutMs: 1500, Tenants: []lab.Tenant{{Name: "hule930", Keys: []string{key}}}})
	if err := l.StartRouters(routers, func(int) string { return l.Store.Address }); err != nil {
		return lab.ExitNotRun, err
	}
	var mu sync.Mutex
	all := make(map[string]sent)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	caller := func(name, part string, pause time.Duration) {
		for number := 0; ; number++ {
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
			id := fmt.Sprintf("%s-%04d", name, number)
			wg.Go(func() {
				s := ask(l, l.Routers[number%routers], id, part)
				mu.Lock()
				all[s.id] = s
				mu.Unlock()
			})
		}
	}
	wg.Go(func() { caller("deadly", deadlyPart, deadlyPause) })
	for number := range soundCallers {
		wg.Go(func() { caller(fmt.Sprintf("sound%d", number), fmt.Sprintf("50a4d%03x", number), soundPause) })
	}
	time.Sleep(servedTime)
	if lab.IsTroubled() {
		p.isDeadly.Store(true)
		record.Add("the part %s crashes engines from now on", deadlyPart)
	}
	time.Sleep(crashTime)
	close(stop)
	wg.Wait()
	return judge(record, p, all), nil
}

// ask sends a request for a stream whose prompt has the part between one that all share and one
// of its own.
func ask(l *lab.Lab, router *lab.Router, id, part string) sent {
	s := sent{id: id, part: part, at: time.Now()}
	request, err := http.NewRequest(http.MethodPost, "http://"+router.Callers()+"/offer/1", strings.NewReader("body of "+id))
	if err != nil {
		panic(err)
	}
	request.GetBody = nil
	request.Host = "a.example"
	request.Header.Set(lab.Names.Attempt, id)
	request.Header.Set(lab.Names.Deadline, "15000")
	request.Header.Set(lab.Names.Model, "m")
	request.Header.Set(lab.Names.Tokens, "200,50")
	request.Header.Set(lab.Names.Prefix, "5c1e07a2:100,"+part+":80,"+id+":20")
	request.Header.Set("Authorization", lab.Names.KeyScheme+key)
	client := &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err == nil {
		s.status = response.StatusCode
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		s.isWhole = err == nil && s.status == http.StatusOK
	}
	if err != nil && errors.Is(err, io.ErrUnexpectedEOF) {
		err = errors.New("broken off")
	}
	l.Record.Add("%s sent to %s at %s: %d %v", id, router.Name, l.Record.At(s.at), s.status, err)
	return s
}

// judge counts the requests with the part that reached engines late, and the sound ones lost.
func judge(record *lab.Record, p *pool, all map[string]sent) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	served, lost := 0, 0
	for _, s := range all {
		if s.part == deadlyPart && s.isWhole {
			served++
		}
	}
	if len(p.crashes) < fifth {
		summary := fmt.Sprintf("sent %d, %d with the part served, %d crashes", len(all), served, len(p.crashes))
		record.Add("%s", summary)
		fmt.Println(summary)
		if served == 0 {
			return lab.ExitNotRun
		}
		return lab.ExitHeld
	}
	limit := p.crashes[fifth-1].Add(contact)
	late := 0
	for _, engine := range p.all {
		for _, arrival := range engine.Arrivals() {
			if all[arrival.Attempt].part == deadlyPart && all[arrival.Attempt].at.After(limit) {
				late++
				record.Add("BROKEN BUDGET if over %d: %s reached %s at %s, %.1f s after the fifth crash", allowed, arrival.Attempt, engine.ID, record.At(arrival.At), arrival.At.Sub(p.crashes[fifth-1]).Seconds())
			}
		}
	}
	for _, s := range all {
		if s.part != deadlyPart && !s.isWhole && (s.status == http.StatusOK || s.status == http.StatusBadGateway) && s.at.After(limit) {
			lost++
		}
	}
	summary := fmt.Sprintf("sent %d, %d with the part served before; %d crashes; with the part, sent later than %v after the fifth crash, reached engines %d (allowed %d); sound streams sent as late and broken off %d",
		len(all), served, len(p.crashes), contact, late, allowed, lost)
	record.Add("%s", summary)
	fmt.Println(summary)
	if late > allowed {
		return lab.ExitBroken
	}
	return lab.ExitHeld
}
