// Command third-crowd sends a crowd of clients outside the limits to the addresses for lookups of
// two of three routers. As the platform does, it kills a process that exceeds the memory of its
// machine, and starts it again.
//
// Each client sends requests ahead on one connection without reading the answers. A request is
// within the limits in size. Its query is made of very many short fields.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"gentianhead/platform"
	"gentianhead/platform/platformtest"
	"gentianhead/review/third/lab"
)

const (
	memoryMb = 284
	// headBytes is MaxHeaderBytes in the configuration, queryBytes the size of a query.
	headBytes  = 16384
	queryBytes = 15000
	press      = 90 * time.Second
	// machines is how many machines' processes have to end, each ends times, until the rule is broken.
	machines = 2
	ends     = 3
	// ordinaryEvery is the time between two requests of ordinary callers.
	ordinaryEvery = 200 * time.Millisecond
)

func main() {
	crowd := 1200
	if len(os.Args) > 1 {
		crowd, _ = strconv.Atoi(os.Args[1])
	}
	dir, err := os.MkdirTemp("", "third")
	if err != nil {
		lab.Fail("%v", err)
	}
	record, store := lab.NewRecord(), platformtest.NewStore()
	for number := range 3 {
		e := platformtest.NewEndpoint(fmt.Sprintf("i-%d", number))
		e.Pause = 60 * time.Millisecond
		entry := e.Entry("orders", "ready")
		entry["Slots"], entry["Zone"] = 6, "zone-a"
		store.Put(platform.TableEndpoints, e.ID, entry)
	}
	store.Put(platform.TableOperator, platform.KeyConfiguration, []byte(lab.Text("orders.json")))
	port := lab.FreePort()
	var routers []*lab.Router
	for number := range 3 {
		routers = append(routers, lab.Start(lab.Options{Number: number + 1, Store: store.Address, MemoryMb: memoryMb, Dir: dir, Port: port}))
	}
	for _, r := range routers {
		r.AwaitReady()
	}
	pressed := routers[:machines]
	time.Sleep(time.Second)
	query := "Name=a.example&Region=region-a&Zone=zone-a"
	if lab.IsTroubled() {
		var fields strings.Builder
		for i := 0; fields.Len() < queryBytes-len(query)-8; i++ {
			fmt.Fprintf(&fields, "&%x=", i)
		}
		query += fields.String()
	}
	request := "GET " + platform.ResolvePath + "?" + query + " HTTP/1.1\r\nHost: lookups\r\n\r\n"
	record.Say("%d clients at each of %d routers send requests of %d bytes ahead, within MaxHeaderBytes %d", crowd, machines, len(request), headBytes)
	w := &world{record: record, end: time.Now().Add(press), results: make(map[string]int)}
	var wg sync.WaitGroup
	counts := make([]int, machines)
	for number, r := range pressed {
		wg.Go(func() { counts[number] = w.watch(r) })
		for i := range crowd {
			// The crowd isn't waited for: a write may block until the end.
			go func() {
				time.Sleep(time.Duration(i) * time.Millisecond / 2)
				for !w.isOver() {
					w.count(sendAhead(r.Directory, request, w.end))
				}
			}()
		}
	}
	for number := 0; !w.isOver(); number++ {
		wg.Go(func() { w.note(ask(pressed[number%machines], number)) })
		time.Sleep(ordinaryEvery)
	}
	wg.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	record.Say("the crowd closed %d connections, on which it had sent %d requests", w.opened, w.sent)
	record.Say("ordinary callers at these routers: %v", w.results)
	record.Say("ends of processes over the memory of their machines, %d kB: %v", memoryMb<<10, counts)
	os.RemoveAll(dir)
	if slices.Min(counts) >= ends {
		record.Say("Fault is broken: the processes of %d of %d machines ended %d times", machines, len(routers), ends)
		lab.Exit(lab.Broken)
	}
	lab.Exit(lab.Held)
}

// world is what the clients and the platform have seen.
type world struct {
	record *lab.Record
	end    time.Time

	mu           sync.Mutex
	opened, sent int
	results      map[string]int
	// done is the number of routers whose processes have ended often enough.
	done int
}

// isOver reports whether the time is over or the rule is broken.
func (w *world) isOver() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().After(w.end) || w.done == machines
}

func (w *world) count(sent int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.opened++
	w.sent += sent
}

func (w *world) note(result string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.results[result]++
}

// watch ends a process that has more memory of its own, without the pages of its program file,
// than its machine, and returns how often it did.
func (w *world) watch(r *lab.Router) (count int) {
	peak := 0
	for loop := 0; !w.isOver(); loop++ {
		used := r.MemoryKb("RssAnon")
		peak = max(peak, used)
		if loop%50 == 0 {
			w.record.Add("%s has %d kB, %d kB at its peak", r.Name, used, peak)
		}
		if hasEnded, how := r.HasEnded(); hasEnded || used > memoryMb<<10 {
			w.record.Add("%s has %d kB and is killed (ended before: %v %s)", r.Name, used, hasEnded, how)
			r.Restart()
			if count++; count == ends {
				w.mu.Lock()
				w.done++
				w.mu.Unlock()
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	w.record.Say("%s had %d kB at its peak", r.Name, peak)
	return count
}

// sendAhead sends requests on one connection until it fails, and returns how many.
func sendAhead(address, request string, end time.Time) (sent int) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return 0
	}
	// A reset leaves no port in use.
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.SetDeadline(end)
	for {
		if _, err := io.WriteString(conn, request); err != nil {
			return sent
		}
		sent++
	}
}

// ask sends the request of an ordinary caller.
func ask(r *lab.Router, number int) string {
	conn, err := net.DialTimeout("tcp", r.Callers, time.Second)
	if err != nil {
		return "no connection"
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	head := lab.Head("request.txt", "method", "GET", "target", fmt.Sprintf("/orders/%d", number), "id", fmt.Sprintf("5000%012x", number), "deadline", "3000", "more", "", "length", "0")
	if _, err := io.WriteString(conn, head); err != nil {
		return "not read"
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer"
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return "broken off"
	}
	return response.Status
}
