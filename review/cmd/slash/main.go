// Command slash is the case of a manifest that adds a route below another one, while callers send
// paths with an encoded slash that belong to the other one.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"gentianhead/platform/platformtest"
	"gentianhead/review/lab"
)

const (
	key        = "n2ctnfzs989anu6wsjnb"
	quietTime  = 4 * time.Second
	afterTime  = 6 * time.Second
	configTime = 2 * time.Second
	pause      = 40 * time.Millisecond
)

// prefixes are the prefixes of the routes that may be in force, by service.
var prefixes = map[string]string{"app": "/lookup/", "mill": "/lookup/steel/"}

// targets are what the callers ask for. Only the last one begins with /lookup/steel/.
var targets = []string{"/lookup/copper-7", "/lookup/steel%2F42", "/lookup/steel%2Fgrade%2F9", "/lookup/steel/42"}

type sent struct {
	id, target string
	at         time.Time
	status     int
	body       string
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
	servers := make(map[string][]*platformtest.Endpoint)
	for _, service := range []string{"app", "mill"} {
		for number := range 2 {
			server := platformtest.NewEndpoint(fmt.Sprintf("i-%s-%d", service, number+1))
			defer server.Close()
			l.Register(service, server)
			servers[service] = append(servers[service], server)
		}
	}
	tenants := []lab.Tenant{{Name: "hule930", Keys: []string{key}}}
	l.Apply(lab.Manifest{Version: 7, TimeoutMs: 1500, Tenants: tenants})
	if err := l.StartRouters(3, func(int) string { return l.Store.Address }); err != nil {
		return lab.ExitNotRun, err
	}
	var mu sync.Mutex
	all := make(map[string]sent)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for number, target := range targets {
		wg.Go(func() {
			call(l, fmt.Sprintf("c%d", number), target, stop, func(s sent) {
				mu.Lock()
				defer mu.Unlock()
				all[s.id] = s
			})
		})
	}
	time.Sleep(quietTime)
	if lab.IsTroubled() {
		l.Apply(lab.Manifest{Version: 9, TimeoutMs: 1500, AddsSteel: true, Tenants: tenants})
	}
	time.Sleep(configTime + afterTime)
	close(stop)
	wg.Wait()
	return judge(record, servers, all), nil
}

// call asks one router after the other for a target.
func call(l *lab.Lab, name, target string, stop <-chan struct{}, done func(sent)) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		s := sent{id: fmt.Sprintf("%s-%04d", name, number), target: target, at: time.Now()}
		request, err := http.NewRequest(http.MethodGet, "http://"+l.Routers[number%len(l.Routers)].Callers()+target, nil)
		if err != nil {
			panic(err)
		}
		request.Host = "a.example"
		request.Header.Set(lab.Names.Attempt, s.id)
		request.Header.Set(lab.Names.Deadline, "3000")
		request.Header.Set("Authorization", lab.Names.KeyScheme+key)
		response, err := client.Do(request)
		if err == nil {
			body, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			s.status, s.body = response.StatusCode, string(body)
		}
		done(s)
		l.Record.Add("%s GET %s sent at %s: %d %q %v", s.id, target, l.Record.At(s.at), s.status, s.body, err)
	}
}

// judge counts the runs at a service to which no manifest allows the request to go.
func judge(record *lab.Record, servers map[string][]*platformtest.Endpoint, all map[string]sent) int {
	var runs, foreign, answered int
	for service, list := range servers {
		for _, server := range list {
			for _, run := range server.Runs() {
				runs++
				s := all[run.Header.Get(lab.Names.Attempt)]
				record.Add("server %s of %s ran %s %s as %s at %s", server.ID, service, s.id, s.target, run.Target, record.At(run.At))
				if strings.HasPrefix(s.target, prefixes[service]) {
					continue
				}
				foreign++
				if s.status == http.StatusOK {
					answered++
				}
				record.Add("BROKEN ROUTE: %s %s was run by %s, whose only route has the prefix %s; the caller got %d", s.id, s.target, service, prefixes[service], s.status)
			}
		}
	}
	summary := fmt.Sprintf("sent %d, run %d; run by a service to which no manifest allows them to go %d, of which %d callers got its answer as a success", len(all), runs, foreign, answered)
	record.Add("%s", summary)
	fmt.Println(summary)
	switch {
	case runs == 0:
		return lab.ExitNotRun
	case foreign > 0:
		return lab.ExitBroken
	}
	return lab.ExitHeld
}
