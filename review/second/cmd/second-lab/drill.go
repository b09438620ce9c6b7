package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"gentianhead/platform"
	"gentianhead/platform/platformtest"
)

const (
	revokedKey  = "key-two-of-tenant-1"
	revokeBound = 5 * time.Second
	// storeAway is how long the store is away in the drill, and rewriteAfter how long after its
	// return the operator and the servers have written again.
	storeAway    = time.Second
	rewriteAfter = 2 * time.Second
)

// withoutKey returns the manifest without a key, as a later version.
func withoutKey(key string, version int) json.RawMessage {
	var manifest map[string]any
	if err := json.Unmarshal(manifestText, &manifest); err != nil {
		panic(err)
	}
	manifest["Version"] = version
	encoded, err := json.Marshal(manifest)
	if err != nil {
		panic(err)
	}
	return json.RawMessage(strings.Replace(string(encoded), `,"`+key+`"`, "", 1))
}

// caseDrill: the store comes back from a copy that is some seconds old, and a router starts
// before the operator has written again. With WITHOUT=drill or WITHOUT=kill, one of the two is
// left out.
func caseDrill(l *Lab) (int, error) {
	for i := range 4 {
		if _, err := l.StartServer(fmt.Sprintf("desk-%d", i+1), "desk", 6, 0, 5*time.Millisecond); err != nil {
			return couldnot, err
		}
	}
	if err := l.StartRouters(3, memoryMb, nil); err != nil {
		return couldnot, err
	}
	if err := l.AwaitReady(20 * time.Second); err != nil {
		return couldnot, err
	}
	time.Sleep(3 * time.Second)
	copied := l.Store.Copy()
	time.Sleep(500 * time.Millisecond)
	l.Store.Put(platform.TableOperator, platform.KeyConfiguration, withoutKey(revokedKey, 9))
	acked := time.Now()
	l.Logf("acknowledged: version 9, which takes %s away", revokedKey)
	time.Sleep(revokeBound)
	all := l.NewClients(0)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, r := range l.Routers {
		wg.Go(func() { l.useRevoked(all, r, stop) })
	}
	time.Sleep(500 * time.Millisecond)
	without := os.Getenv("WITHOUT")
	var lost platformtest.Lost
	isDrill := l.Trouble && without != "drill"
	if isDrill {
		l.Store.SetFault(platformtest.Unavailable)
		l.Logf("the store is away")
	}
	time.Sleep(storeAway)
	if isDrill {
		lost = l.Store.Restore(copied)
		l.Store.SetFault("")
		l.Logf("the store is back from a copy, %.1f s old", (500*time.Millisecond + time.Since(acked)).Seconds())
	}
	if l.Trouble && without != "kill" {
		l.Logf("%s is killed", l.Routers[2].Name)
		l.Routers[2].Signal(syscall.SIGKILL)
	}
	time.Sleep(rewriteAfter)
	if isDrill {
		l.Store.Rewrite(lost, platform.TableOperator, platform.TableEndpoints)
		l.Logf("the operator and the servers have written again")
	}
	time.Sleep(5 * time.Second)
	close(stop)
	wg.Wait()
	l.LogAttempts(all)
	return l.judgeRevoked(all, acked), nil
}

// useRevoked sends requests with the key that was taken away, one after the other.
func (l *Lab) useRevoked(all *Clients, r *Router, stop <-chan struct{}) {
	c := &client{all: all, idle: make(map[string][]*channel), key: revokedKey}
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		all.add(c.send(Kind{Name: "status", Method: http.MethodGet, Deadline: time.Second}, r.Frontend(), false))
	}
}

func (l *Lab) judgeRevoked(all *Clients, acked time.Time) int {
	ran := 0
	runs := l.runs()
	for _, a := range all.Attempts {
		if run, hasRun := runs[a.ID]; hasRun && a.SentAt.Sub(acked) > revokeBound {
			ran++
			l.Logf("CONFIG: %s, sent to %s %.3f s after the acknowledgement with the key that it took away, ran at %s as tenant %q and was answered %d",
				a.ID, a.Router, a.SentAt.Sub(acked).Seconds(), run.Server, run.Tenant, a.Status)
		}
	}
	l.Logf("requests that ran with the key, sent more than %v after the acknowledgement: %d (the rule is broken by one)", revokeBound, ran)
	if ran > 0 {
		return broken
	}
	return held
}
