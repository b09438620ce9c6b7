package serving

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"gentianhead/fleet/process/memory"
)

// testIdleTime is how long a connection must be idle in most tests before it may be closed.
const testIdleTime = 50 * time.Millisecond

// startPooled serves handler on loopback with a pool of 20 connections.
func startPooled(t *testing.T, bytes int64, minIdleTime time.Duration, limits func() Limits) (*Pool, string) {
	t.Helper()
	accepting, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	pool := NewPool(PoolOptions{MaxConns: 16, HardMaxConns: 20, Memory: memory.NewBudget(bytes), Log: slog.New(slog.DiscardHandler)})
	s := New(WithoutBodies(http.NotFoundHandler()), Options{
		MaxConns: 100, HeaderBytes: 64 << 10, HeaderTimeout: 5 * time.Second, MinIdleTime: minIdleTime, Pool: pool, Limits: limits,
	})
	go func() { _ = s.Serve(accepting) }()
	t.Cleanup(func() { _ = s.Close() })
	return pool, accepting.Addr().String()
}

func awaitReleased(t *testing.T, pool *Pool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if pool.Conns() == 0 && pool.Memory() == 0 {
			return poll.Success()
		}
		return poll.Continue("%d connections, %d bytes", pool.Conns(), pool.Memory())
	})
}

func statusOf(t *testing.T, address, request string) int {
	t.Helper()
	caller := dial(t, address)
	defer caller.Close()
	send(t, caller, request)
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	assert.NilError(t, err)
	return response.StatusCode
}

// Guards against more connections than descriptors, requests that find no room beside a crowd,
// and charges that are never released.
func TestPoolKeepsToConnsAndReleasesAll(t *testing.T) {
	for name, text := range map[string]string{
		"silent": "", "unfinished heads": "GET / HTTP/1.1\r\nA: b\r\n", "unfinished bodies": "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n",
		"answered": testRequest,
	} {
		t.Run(name, func(t *testing.T) {
			pool, address := startPooled(t, 10<<20, testIdleTime, nil)
			for range 60 {
				// A connection that was refused fails.
				_, _ = io.WriteString(dial(t, address), text)
				assert.Assert(t, pool.Conns() <= 20)
			}
			// Connections that were just used aren't closed for others.
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				caller := dial(t, address)
				defer caller.Close()
				_, _ = io.WriteString(caller, testRequest)
				response, err := http.ReadResponse(bufio.NewReader(caller), nil)
				if err != nil {
					return poll.Continue("a request is not answered: %v", err)
				}
				assert.Equal(t, response.StatusCode, http.StatusNotFound)
				return poll.Success()
			})
		})
	}
	t.Run("released", func(t *testing.T) {
		pool, address := startPooled(t, 10<<20, testIdleTime, func() Limits {
			return Limits{HeaderTimeout: 50 * time.Millisecond, IdleTimeout: 50 * time.Millisecond}
		})
		for _, text := range []string{"", "GET / HTTP/1.1\r\nA: b\r\n", testRequest, testRequest + testRequest, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n"} {
			for range 5 {
				send(t, dial(t, address), text)
			}
		}
		awaitReleased(t, pool)
	})
}

// Guards against heads that together take more memory than the budget.
func TestPoolHeadsWithinMemory(t *testing.T) {
	const budget = 600 << 10
	pool, address := startPooled(t, budget, testIdleTime, nil)
	for range 40 {
		// A connection that was closed meanwhile fails.
		_, _ = io.WriteString(dial(t, address), "GET / HTTP/1.1\r\nA: "+strings.Repeat("b", 15<<10))
		assert.Assert(t, pool.Memory() <= budget)
	}
	assert.Equal(t, statusOf(t, address, testRequest), http.StatusNotFound)
}

// Guards against limits that apply only from the next start on.
func TestLimitsInForceAreFollowed(t *testing.T) {
	var limits atomic.Pointer[Limits]
	limits.Store(&Limits{})
	_, address := startPooled(t, 10<<20, testIdleTime, func() Limits { return *limits.Load() })
	head := func(fields, size int) string {
		return "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("A: "+strings.Repeat("b", size)+"\r\n", fields) + "\r\n"
	}
	assert.Equal(t, statusOf(t, address, head(200, 10)), http.StatusNotFound)
	assert.Equal(t, statusOf(t, address, head(2000, 1)), http.StatusNotFound, "within the limit in bytes")
	limits.Store(&Limits{HeaderFields: 100})
	assert.Equal(t, statusOf(t, address, head(101, 1)), http.StatusRequestHeaderFieldsTooLarge)
	limits.Store(&Limits{})
	assert.Equal(t, statusOf(t, address, head(30, 1000)), http.StatusNotFound)
	kept := dial(t, address)
	reader := bufio.NewReader(kept)
	for i, status := range []int{http.StatusNotFound, http.StatusRequestHeaderFieldsTooLarge} {
		send(t, kept, head(30, 1000))
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err, fmt.Sprint(i))
		assert.Equal(t, response.StatusCode, status)
		_, _ = io.Copy(io.Discard, response.Body)
		limits.Store(&Limits{HeaderBytes: 16384})
	}
	limits.Store(&Limits{HeaderTimeout: 50 * time.Millisecond, IdleTimeout: 50 * time.Millisecond})
	for _, text := range []string{"GET", testRequest} {
		caller := dial(t, address)
		send(t, caller, text)
		_, err := io.ReadAll(caller)
		assert.NilError(t, err, "the connection was not closed")
	}
}

// Guards against readiness checks that find no room beside requests that run, and against a
// listener that waits for memory.
func TestPoolReserveBesideBusyConns(t *testing.T) {
	for name, budget := range map[string]int64{"connections": 10 << 20, "memory": 10 * connBytes} {
		t.Run(name, func(t *testing.T) {
			pool := NewPool(PoolOptions{MaxConns: 16, HardMaxConns: 20, Memory: memory.NewBudget(budget), Log: slog.New(slog.DiscardHandler)})
			options := Options{MaxConns: 100, HeaderBytes: 64 << 10, HeaderTimeout: 5 * time.Second, MinIdleTime: 50 * time.Millisecond, Pool: pool}
			serve := func(options Options, handler http.HandlerFunc) string {
				accepting, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				s := New(handler, options)
				go func() { _ = s.Serve(accepting) }()
				t.Cleanup(func() { _ = s.Close() })
				return accepting.Addr().String()
			}
			release := make(chan struct{})
			readiness := serve(options, func(http.ResponseWriter, *http.Request) {})
			options.MemoryReserve, options.ConnReserve = 2*connBytes, 2
			callers := serve(options, func(http.ResponseWriter, *http.Request) { <-release })
			for range 40 {
				_, _ = io.WriteString(dial(t, callers), testRequest)
			}
			// While the crowd arrives, its next connection may take the place of this one.
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				conn := dial(t, readiness)
				defer conn.Close()
				_, _ = io.WriteString(conn, testRequest)
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err == nil && response.StatusCode == http.StatusOK && pool.Conns() >= 8 {
					return poll.Success()
				}
				return poll.Continue("readiness is not answered: %v", err)
			})
			close(release)
		})
	}
}

// Guards against closing a connection, to make room, whose next request may have been sent.
func TestPoolKeepsConnJustUsed(t *testing.T) {
	pool, address := startPooled(t, 10<<20, time.Minute, nil)
	kept := dial(t, address)
	reader := bufio.NewReader(kept)
	for range 30 {
		send(t, kept, testRequest)
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, response.Body)
		for range 5 {
			dial(t, address)
		}
		assert.Assert(t, pool.Conns() <= 20)
	}
}

// Guards against a response that is cut off because its request became complete after its
// connection was chosen to be closed, as happens where the process gets little CPU time.
func TestEvictionSparesCompletedRequest(t *testing.T) {
	pool := NewPool(PoolOptions{MaxConns: 20, HardMaxConns: 25, Memory: memory.NewBudget(10 << 20), Log: slog.New(slog.DiscardHandler)})
	options := testOptions
	options.Pool = pool
	isEvicted := false
	s := New(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		for c := range pool.conns {
			isEvicted = c.evict() || isEvicted
		}
	}), options)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = s.Serve(listener) }()
	defer s.Close()
	assert.Equal(t, statusOf(t, listener.Addr().String(), testRequest), http.StatusOK)
	assert.Assert(t, !isEvicted)
}
