// Command allkeys is the case of a deployment whose operator takes away the keys of its only
// tenant while callers go on.
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

	"gentianhead/platform/platformtest"
	"gentianhead/review/lab"
)

const (
	tenant = "hule930"
	// firstKey and secondKey are the tenant's, foreignKey is in no manifest.
	firstKey, secondKey, foreignKey = "n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk", "never-in-a-manifest"
	// revokeBound is RevokeMs, and revokeGap the time between the two revocations.
	revokeBound = 5 * time.Second
	revokeGap   = 1500 * time.Millisecond
	quietTime   = 4 * time.Second
	afterTime   = 10 * time.Second
	pause       = 40 * time.Millisecond
)

type sent struct {
	id, key string
	at      time.Time
	status  int
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
	var servers []*platformtest.Endpoint
	for number := range 3 {
		server := platformtest.NewEndpoint(fmt.Sprintf("i-app-%d", number+1))
		defer server.Close()
		l.Register("app", server)
		servers = append(servers, server)
	}
	l.Apply(lab.Manifest{Version: 7, TimeoutMs: 1500, Tenants: []lab.Tenant{{Name: tenant, Keys: []string{firstKey, secondKey}}}})
	if err := l.StartRouters(3, func(int) string { return l.Store.Address }); err != nil {
		return lab.ExitNotRun, err
	}
	c := &callers{sent: make(map[string]sent)}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for number, key := range []string{firstKey, secondKey, foreignKey, ""} {
		wg.Go(func() { c.call(l, fmt.Sprintf("c%d", number), key, stop) })
	}
	time.Sleep(quietTime)
	revokedAt := make(map[string]time.Time)
	if lab.IsTroubled() {
		revokedAt[firstKey] = l.Apply(lab.Manifest{Version: 9, TimeoutMs: 1500, Tenants: []lab.Tenant{{Name: tenant, Keys: []string{secondKey}}}})
		time.Sleep(revokeGap)
		revokedAt[secondKey] = l.Apply(lab.Manifest{Version: 12, TimeoutMs: 1500, Tenants: []lab.Tenant{{Name: tenant}}})
	} else {
		time.Sleep(revokeGap)
	}
	time.Sleep(afterTime)
	close(stop)
	wg.Wait()
	return c.judge(record, servers, revokedAt), nil
}

// call sends requests with a key, or without one, to one router after the other.
func (c *callers) call(l *lab.Lab, name, key string, stop <-chan struct{}) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		s := sent{id: fmt.Sprintf("%s-%04d", name, number), key: key, at: time.Now()}
		method, path := http.MethodGet, "/lookup/1"
		if number%2 == 1 {
			method, path = http.MethodPost, "/order/1"
		}
		request, err := http.NewRequest(method, "http://"+l.Routers[number%len(l.Routers)].Callers()+path, strings.NewReader(""))
		if err != nil {
			panic(err)
		}
		request.Host = "a.example"
		request.Header.Set(lab.Names.Attempt, s.id)
		request.Header.Set(lab.Names.Deadline, "3000")
		if key != "" {
			request.Header.Set("Authorization", lab.Names.KeyScheme+key)
		}
		c.mu.Lock()
		c.sent[s.id] = s
		c.mu.Unlock()
		response, err := client.Do(request)
		if err == nil {
			s.status = response.StatusCode
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		c.mu.Lock()
		c.sent[s.id] = s
		c.mu.Unlock()
		l.Record.Add("%s %s sent at %s with key %q: %d %v", s.id, path, l.Record.At(s.at), key, s.status, err)
	}
}

// judge writes what the servers ran and counts the runs that break a rule.
func (c *callers) judge(record *lab.Record, servers []*platformtest.Endpoint, revokedAt map[string]time.Time) int {
	var runs, foreign, revoked, wrongTenant, refused int
	for _, server := range servers {
		for _, run := range server.Runs() {
			runs++
			s := c.sent[run.Header.Get(lab.Names.Attempt)]
			tenants := run.Header.Values(lab.Names.Tenant)
			record.Add("server %s ran %s at %s, tenant %q", server.ID, s.id, record.At(run.At), tenants)
			switch at, isRevoked := revokedAt[s.key]; {
			case s.key != firstKey && s.key != secondKey:
				foreign++
				record.Add("BROKEN ROUTE: %s ran, and no manifest ever held its key %q", s.id, s.key)
			case isRevoked && s.at.Sub(at) > revokeBound:
				revoked++
				record.Add("BROKEN CONFIG: %s ran, sent %.3f s after the ack of the manifest that took its key away", s.id, s.at.Sub(at).Seconds())
			}
			if !slices.Equal(tenants, []string{tenant}) {
				wrongTenant++
				record.Add("BROKEN UNASKED: %s ran with the tenant %q", s.id, tenants)
			}
		}
	}
	for _, s := range c.sent {
		if s.status == http.StatusUnauthorized {
			refused++
		}
	}
	summary := fmt.Sprintf("sent %d, run %d, answered 401 %d; run without a key that any manifest held %d; run with a key revoked over %v before %d; run without its tenant %d",
		len(c.sent), runs, refused, foreign, revokeBound, revoked, wrongTenant)
	record.Add("%s", summary)
	fmt.Println(summary)
	if runs == 0 {
		return lab.ExitNotRun
	}
	if foreign+revoked+wrongTenant > 0 {
		return lab.ExitBroken
	}
	return lab.ExitHeld
}
