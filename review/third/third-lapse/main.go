// Command third-lapse starts three routers before twelve model servers. The platform's store is
// silent for some seconds, the entries of the servers expire meanwhile, and the servers write them
// again within two seconds of the store's return.
//
// Its argument says how: most (three servers later than the others) or all (all at once).
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"time"

	"gentianhead/platform"
	"gentianhead/platform/platformtest"
	"gentianhead/review/third/lab"
)

const (
	servers = 12
	slots   = 64
	// contact is ContactMs, recovery RecoveryS, capFactor and capSlack those of LIMIT.
	contact   = 3 * time.Second
	recovery  = 12 * time.Second
	capFactor = 2
	capSlack  = 3
	window    = 5 * time.Second
	// outage is how long the store is silent. The entry of a server expires three status report
	// intervals after its last report, which was sent up to one interval before the outage.
	outage     = 3500 * time.Millisecond
	firstLapse = 2400 * time.Millisecond
	lapseStep  = 90 * time.Millisecond
	// writeAgain bounds the time after the store's return within which entries are back.
	writeAgain = 2 * time.Second
	// calm is how long requests come before the outage, after how long from its end on.
	calm  = 8 * time.Second
	after = 30 * time.Second
	every = time.Second / 60
	// The answers of the servers.
	events    = 40
	pause     = 40 * time.Millisecond
	headPause = 100 * time.Millisecond
)

// gate is the platform's store, which can be silent: calls, also those that wait, then get no
// response, and nothing further comes on their channels.
type gate struct {
	store *platformtest.Store
	mu    sync.Mutex
	quiet bool
}

func (g *gate) set(isQuiet bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quiet = isQuiet
}

func (g *gate) dropIfQuiet(r *http.Request) {
	g.mu.Lock()
	isQuiet := g.quiet
	g.mu.Unlock()
	if isQuiet {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.dropIfQuiet(r)
	response := httptest.NewRecorder()
	g.store.Handler().ServeHTTP(response, r)
	g.dropIfQuiet(r)
	for name, values := range response.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(response.Code)
	_, _ = w.Write(response.Body.Bytes())
}

// arrival is a request at a server, and whether that held too many already.
type arrival struct {
	at     time.Time
	isOver bool
}

// sent is a request of a client.
type sent struct {
	at     time.Time
	result string
}

type world struct {
	gate   *gate
	record *lab.Record

	mu       sync.Mutex
	held     map[string]int
	total    int
	arrivals []arrival
	sent     []sent
}

func (w *world) began(engine, attempt string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	isOver := float64(w.held[engine]) > capFactor*float64(w.total)/servers+capSlack
	w.arrivals = append(w.arrivals, arrival{time.Now(), isOver})
	w.record.Add("run %s at %s, which held %d; all hold %d", attempt, engine, w.held[engine], w.total)
	w.held[engine]++
	w.total++
}

func (w *world) ended(engine, _ string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.held[engine]--
	w.total--
}

func main() {
	// backAt returns how long after the store's return a server writes its entry again.
	backAt := func(number int) time.Duration {
		if os.Args[1] == "most" && number >= servers-3 {
			return 1300*time.Millisecond + time.Duration(number-servers+3)*200*time.Millisecond
		}
		return 50*time.Millisecond + time.Duration(number)*50*time.Millisecond
	}
	dir, err := os.MkdirTemp("", "third")
	if err != nil {
		lab.Fail("%v", err)
	}
	w := &world{gate: &gate{store: platformtest.New()}, record: lab.NewRecord(), held: make(map[string]int)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		lab.Fail("%v", err)
	}
	go func() { _ = http.Serve(listener, w.gate) }()
	store := w.gate.store
	store.Put(platform.TableOperator, platform.KeyConfiguration, []byte(lab.Text("pool.json")))
	var engines []*lab.Engine
	var entries []map[string]any
	for number := range servers {
		e := lab.NewEngine(fmt.Sprintf("i-%d", number))
		e.Events, e.Pause, e.HeadPause, e.StatesLoad, e.Began, e.Ended = events, pause, headPause, true, w.began, w.ended
		entry := e.Entry("pool", "ready")
		entry["Slots"], entry["born"], entry["Zone"] = slots, time.Now().UnixMilli(), "zone-a"
		engines, entries = append(engines, e), append(entries, entry)
		store.Put(platform.TableEndpoints, e.ID, entry)
	}
	var routers []*lab.Router
	port := lab.FreePort()
	for i := range 3 {
		routers = append(routers, lab.Start(lab.Options{Number: i + 1, Store: listener.Addr().String(), Dir: dir, Port: port}))
	}
	for _, r := range routers {
		r.AwaitReady()
	}
	time.Sleep(2 * time.Second)
	startedAt := time.Now()
	returnAt := startedAt.Add(calm + outage)
	if lab.IsTroubled() {
		go func() {
			time.Sleep(calm)
			w.record.Add("the store is silent")
			w.gate.set(true)
			for number, e := range engines {
				time.Sleep(time.Until(startedAt.Add(calm + firstLapse + time.Duration(number)*lapseStep)))
				store.Delete(platform.TableEndpoints, e.ID)
				w.record.Add("the entry of %s has expired", e.ID)
			}
			time.Sleep(time.Until(returnAt))
			w.gate.set(false)
			w.record.Add("the store is back")
			for number, e := range engines {
				time.Sleep(time.Until(returnAt.Add(backAt(number))))
				store.Put(platform.TableEndpoints, e.ID, entries[number])
				w.record.Add("%s has written its entry again", e.ID)
			}
		}()
	}
	var wg sync.WaitGroup
	number := 0
	for at := startedAt; at.Before(returnAt.Add(after)); at = at.Add(every) {
		time.Sleep(time.Until(at))
		number++
		n := number
		wg.Go(func() { w.send(routers[rand.IntN(len(routers))], n) })
	}
	wg.Wait()
	code := w.judge(startedAt, returnAt)
	for _, r := range routers {
		if hasEnded, how := r.HasEnded(); hasEnded {
			w.record.Say("%s ended: %s", r.Name, how)
		}
	}
	os.RemoveAll(dir)
	lab.Exit(code)
}

func (w *world) send(r *lab.Router, number int) {
	id := fmt.Sprintf("5000%012x", number)
	body := fmt.Sprintf("body %d", number)
	prompt := lab.Fill("prompt.txt", "tokens", "730", "parts", fmt.Sprintf("d%07x:600,e%07x:130", number%60, number))
	head := lab.Head("request.txt", "method", "POST", "target", fmt.Sprintf("/r/%d", number), "id", id, "deadline", "15000", "more", prompt, "length", fmt.Sprint(len(body)))
	at := time.Now()
	w.record.Add("sent %s to %s", id, r.Name)
	result := exchange(r, head+body)
	w.record.Add("answered %s: %s", id, result)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent = append(w.sent, sent{at, result})
}

func exchange(r *lab.Router, text string) string {
	conn, err := net.DialTimeout("tcp", r.Callers, time.Second)
	if err != nil {
		return "no connection"
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
	if _, err := io.WriteString(conn, text); err != nil {
		return "not read"
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer"
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return fmt.Sprintf("%d, broken off", response.StatusCode)
	}
	return fmt.Sprint(response.StatusCode)
}

// judge applies LIMIT to the calm time, from ContactMs and the servers' two seconds after the
// store's return on, and RECOVER to what is sent later than RecoveryS after it.
func (w *world) judge(startedAt, returnAt time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	code := lab.Held
	for from := returnAt.Add(writeAgain + contact); !from.Add(window).After(returnAt.Add(after)); from = from.Add(window) {
		all, over := 0, 0
		for _, a := range w.arrivals {
			if !a.at.Before(from) && a.at.Before(from.Add(window)) {
				all++
				if a.isOver {
					over++
				}
			}
		}
		w.record.Say("from %.0f s after the store's return, 5 s: %d requests reached servers, %d of them one that held over %d times the mean, + %d", from.Sub(returnAt).Seconds(), all, over, capFactor, capSlack)
		if over >= 20 && 100*over > 3*all {
			w.record.Say("LIMIT is broken")
			code = lab.Broken
		}
	}
	share := func(from, to time.Time) (served, all int) {
		results := make(map[string]int)
		for _, s := range w.sent {
			if !s.at.Before(from) && s.at.Before(to) {
				results[s.result]++
				all++
			}
		}
		w.record.Say("sent from %.0f to %.0f s after the store's return: %v", from.Sub(returnAt).Seconds(), to.Sub(returnAt).Seconds(), results)
		return results["200"], all
	}
	servedBefore, allBefore := share(startedAt, startedAt.Add(calm))
	servedAfter, allAfter := share(returnAt.Add(recovery), returnAt.Add(after))
	if 10*servedBefore < 9*allBefore {
		w.record.Say("the case can't run: requests aren't served before the outage")
		return lab.CannotRun
	}
	if 4*servedAfter < allAfter {
		w.record.Say("RECOVER is broken")
		code = lab.Broken
	}
	return code
}
