package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// hostileCallers hold a connection outside the limits each.
	hostileCallers = 8
	// hostileHold is how long they hold one at most.
	hostileHold = 3 * time.Second
)

// sendOutsideLimits lets a few callers send heads and bodies without an end, and requests ahead
// without reading answers, at all listeners. None of their requests reaches an endpoint.
func (h *harness) sendOutsideLimits(wg *sync.WaitGroup, stop <-chan struct{}) {
	inputs := []string{
		"", "GET / HTTP/1.1\r\nHost: a.example\r\n" + strings.Repeat("A:\r\n", 3000),
		"POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4000000\r\n\r\n" + strings.Repeat("a", 100<<10),
		"POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n5\r\naaaaa\r\n",
		strings.Repeat("GET /nothing HTTP/1.1\r\nHost: a.example\r\n\r\n", 300),
	}
	for number := range hostileCallers {
		random := rand.New(rand.NewPCG(uint64(number), 0))
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(random.Int64N(int64(hostileHold)))):
				}
				router := h.routers[random.IntN(len(h.routers))]
				address := []string{router.callers, router.directory, router.readiness}[random.IntN(3)]
				conn, err := net.DialTimeout("tcp", address, time.Second)
				if err != nil {
					// The router may be stopped.
					continue
				}
				_ = conn.SetDeadline(time.Now().Add(hostileHold))
				// The router may close at any time.
				_, _ = io.WriteString(conn, inputs[random.IntN(len(inputs))])
				<-time.After(time.Duration(random.Int64N(int64(hostileHold))))
				conn.Close()
			}
		})
	}
}
