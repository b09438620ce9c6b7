package serving

import (
	"bufio"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against closing a connection whose next request has arrived and not yet been read, as
// happens where the process gets little CPU time: an expired deadline hides the bytes that wait.
func TestArrivedRequestIsServedWhenIdleConnsClose(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	s, address := start(t, func(http.ResponseWriter, *http.Request) {})
	const conns = 20
	var lost int
	for range conns {
		caller := dial(t, address)
		send(t, caller, testRequest)
		_, err := http.ReadResponse(bufio.NewReader(caller), nil)
		assert.NilError(t, err)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if s.Conns().Idle == 1 {
				return poll.Success()
			}
			return poll.Continue("%+v", s.Conns())
		})
		<-time.After(2 * s.options.MinIdleTime)
		send(t, caller, testRequest)
		s.CloseIdle()
		if _, err := http.ReadResponse(bufio.NewReader(caller), nil); err != nil {
			lost++
		}
		s.mu.Lock()
		s.closesIdle = false
		s.mu.Unlock()
		_ = caller.Close()
	}
	assert.Equal(t, lost, 0)
}

// Guards against resetting connections that are established and not yet accepted when no other
// connection is left.
func TestArrivedConnIsServedWhenServerStops(t *testing.T) {
	var lost atomic.Int32
	var wg sync.WaitGroup
	for range 20 {
		s, address := start(t, func(http.ResponseWriter, *http.Request) {})
		wg.Go(func() {
			<-time.After(10 * time.Millisecond)
			caller := dial(t, address)
			send(t, caller, testRequest)
			s.StopAccepting()
			s.CloseIdle()
			assert.Check(t, s.AwaitIdle(t.Context()))
			_ = s.Close()
			if _, err := http.ReadResponse(bufio.NewReader(caller), nil); err != nil {
				lost.Add(1)
			}
		})
	}
	wg.Wait()
	assert.Equal(t, lost.Load(), int32(0))
}
