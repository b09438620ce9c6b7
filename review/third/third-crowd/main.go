// Command third-crowd sends a crowd of clients outside the limits to a router's address for
// lookups, and checks that the process stays within the memory of its machine.
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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
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
	press      = 45 * time.Second
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
	// The crowd comes to one of them.
	r := routers[0]
	time.Sleep(time.Second)
	record.Say("%s is ready: memory %d kB, of its machine %d kB", r.Name, r.MemoryKb("RssAnon"), memoryMb<<10)

	query := "Name=a.example&Region=region-a&Zone=zone-a"
	if lab.IsTroubled() {
		var fields strings.Builder
		for i := 0; fields.Len() < queryBytes-len(query)-8; i++ {
			fmt.Fprintf(&fields, "&%x=", i)
		}
		query += fields.String()
	}
	request := "GET " + platform.ResolvePath + "?" + query + " HTTP/1.1\r\nHost: " + r.Directory + "\r\n\r\n"
	record.Say("%d clients send requests of %d bytes ahead, within MaxHeaderBytes %d", crowd, len(request), headBytes)
	end := time.Now().Add(press)
	var mu sync.Mutex
	var wg sync.WaitGroup
	sent, opened, results := 0, 0, make(map[string]int)
	for i := range crowd {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * time.Millisecond / 2)
			for time.Now().Before(end) {
				n := sendAhead(r.Directory, request, end)
				mu.Lock()
				opened++
				sent += n
				mu.Unlock()
			}
		})
	}
	// What the process has of its own, without the pages of its program file.
	var peak atomic.Int64
	go func() {
		for ; ; time.Sleep(20 * time.Millisecond) {
			peak.Store(max(peak.Load(), int64(r.MemoryKb("RssAnon"))))
		}
	}()
	var ordinary sync.WaitGroup
	for number := 0; time.Now().Before(end); number++ {
		ordinary.Go(func() {
			result := ask(r, number)
			mu.Lock()
			results[result]++
			mu.Unlock()
		})
		time.Sleep(ordinaryEvery)
		if number%5 == 0 {
			record.Add("memory %d kB, at its peak %d kB", r.MemoryKb("RssAnon"), peak.Load())
		}
	}
	resident := r.MemoryKb("VmHWM")
	wg.Wait()
	ordinary.Wait()
	hasEnded, how := r.HasEnded()
	record.Say("the crowd opened %d connections and sent %d requests", opened, sent)
	record.Say("ordinary callers: %v", results)
	record.Say("memory at its peak: %d kB, %d kB with the pages of the program file; of the machine: %d kB", peak.Load(), resident, memoryMb<<10)
	os.RemoveAll(dir)
	switch {
	case hasEnded:
		record.Say("Fault: the process ended: %s", how)
		lab.Exit(lab.Broken)
	case peak.Load() > memoryMb<<10:
		record.Say("Fault: the process exceeded the memory of its machine, for which the platform kills it")
		lab.Exit(lab.Broken)
	}
	lab.Exit(lab.Held)
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
