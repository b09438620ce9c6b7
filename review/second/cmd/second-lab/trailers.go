package main

import (
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdPerRouter is the number of connections that the crowd keeps at each router: below
	// the 1,640 from which on a router with 4,100 descriptors closes some.
	crowdPerRouter = 1500
	crowdFor       = 40 * time.Second
	crowdPause     = 100 * time.Millisecond
	// crowdHeadBytes is below MaxHeaderBytes, which is 16,384.
	crowdHeadBytes = 16200
)

// shortNames returns distinct short names, separated by commas, of at most size bytes together.
func shortNames(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	add := func(name string) {
		if b.Len()+len(name)+1 <= size {
			b.WriteString(name + ",")
		}
	}
	for _, x := range letters {
		for _, y := range letters {
			add(string(x) + string(y))
		}
	}
	for _, x := range letters {
		for _, y := range letters {
			for _, z := range letters {
				add(string(x) + string(y) + string(z))
			}
		}
	}
	return strings.TrimSuffix(b.String(), ",")
}

// crowdRequest is a request with a customer's key: a head of legal size whose list of trailers has
// very many short names, and a body in chunks that stops short of its end. With CROWD=nokey it has
// no key and goes to a path without a route; with CROWD=plain the same bytes are one long value of
// another field.
func crowdRequest() string {
	crowd := os.Getenv("CROWD")
	head := "POST /filing/x HTTP/1.1\r\nHost: a.example\r\n" + wire["authorization"] + ": " + wire["scheme"] + "key-one-of-tenant-2\r\n"
	if crowd == "nokey" {
		head = "POST /none/x HTTP/1.1\r\nHost: a.example\r\n"
	}
	head += wire["attempt"] + ": c\r\nTransfer-Encoding: chunked\r\n"
	const field = "Trailer: "
	list := shortNames(crowdHeadBytes - len(head) - len(field) - len("\r\n\r\n"))
	if crowd == "plain" {
		return head + "X-Other: " + list + "\r\n\r\n5\r\n01234\r\n"
	}
	return head + field + list + "\r\n\r\n5\r\n01234\r\n"
}

// caseTrailers: a crowd of clients outside the limits.
func caseTrailers(l *Lab) (int, error) {
	if err := l.startSite(4, 30*time.Millisecond, nil); err != nil {
		return couldnot, err
	}
	if err := l.StartRouters(3, memoryMb, nil); err != nil {
		return couldnot, err
	}
	if err := l.AwaitReady(20 * time.Second); err != nil {
		return couldnot, err
	}
	clients := l.NewClients(52)
	stop := make(chan struct{})
	clients.Send(siteKinds(time.Second), stop)
	time.Sleep(8 * time.Second)
	request := crowdRequest()
	var opened atomic.Int64
	if l.Trouble {
		l.Logf("the crowd comes: %d connections to each router, each with a head of %d bytes", crowdPerRouter, strings.Index(request, "\r\n\r\n")+4)
		var crowd sync.WaitGroup
		end := time.Now().Add(crowdFor)
		for _, r := range l.Routers {
			for range crowdPerRouter {
				crowd.Go(func() { visit(r.Frontend(), request, end, &opened) })
			}
		}
		for time.Now().Before(end) {
			time.Sleep(2 * time.Second)
			l.Logf("%d connections so far", opened.Load())
		}
		crowd.Wait()
		l.Logf("the crowd has gone")
	} else {
		time.Sleep(crowdFor)
	}
	time.Sleep(5 * time.Second)
	close(stop)
	clients.Wait()
	return l.judgeEnds(clients), nil
}

// visit opens one connection after the other until end.
func visit(address, request string, end time.Time, opened *atomic.Int64) {
	for time.Now().Before(end) {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			opened.Add(1)
			_ = conn.SetDeadline(end)
			_, _ = io.WriteString(conn, request)
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}
		time.Sleep(crowdPause)
	}
}
