package hosted

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianhead/fleet/process/boottime"
	"gentianhead/platform"
	"gentianhead/platform/platformtest"
)

// heldConn is a connection that a caller opened before a stop and uses once, later.
type heldConn struct {
	net.Conn
	id   string
	path string
	// header holds further header lines.
	header string
	// requests is the number of requests sent at once.
	requests int
	// readDelay is how long the caller waits before it reads.
	readDelay time.Duration
}

// lossSlack is how long a connection may stay open after a request that the router didn't read.
const lossSlack = 200 * time.Millisecond

// heldAnswer is what a caller got for one request.
type heldAnswer struct {
	id     string
	status int
	body   string
	// isBegun is set if at least one byte of the answer arrived.
	isBegun bool
	// took is the time from sending to the end of the answer or, without one, of the connection,
	// as far as the caller read at once.
	took time.Duration
	err  error
}

// use sends the connection's requests and reads the answers until one fails or closes the connection.
func (c *heldConn) use() []heldAnswer {
	var answers []heldAnswer
	sentAt := time.Now()
	for number := range c.requests {
		id := fmt.Sprintf("%s-%d", c.id, number)
		_, err := fmt.Fprintf(c, "POST %s1 HTTP/1.1\r\nHost: %s\r\nAuthorization: Token first\r\nGentianhead-Attempt-Id: %s\r\nGentianhead-Deadline-Ms: 6000\r\n%sContent-Length: 5\r\n\r\norder", c.path, hostName, id, c.header)
		if err != nil {
			break
		}
	}
	<-time.After(c.readDelay)
	reader := bufio.NewReader(c)
	for number := range c.requests {
		a := heldAnswer{id: fmt.Sprintf("%s-%d", c.id, number)}
		_, err := reader.Peek(1)
		a.isBegun, a.err = err == nil, err
		var response *http.Response
		if err == nil {
			response, a.err = http.ReadResponse(reader, nil)
		}
		if a.err == nil {
			var body []byte
			body, a.err = io.ReadAll(response.Body)
			a.status, a.body = response.StatusCode, string(body)
		}
		a.took = time.Since(sentAt) - c.readDelay
		answers = append(answers, a)
		if a.err != nil || response.Close {
			break
		}
	}
	return answers
}

// stopConfiguration has an unsafe route and one for streams, with time limits below the grace period.
func stopConfiguration() map[string]any {
	c := configuration(3, "first")
	c["RouteTable"] = append(c["RouteTable"].([]map[string]any), map[string]any{
		"Name": "events", "Hostname": hostName, "Prefix": "/events/", "RouteType": "streaming",
		"TimeoutMs": 6000, "TargetLatencyMs": 300, "Service": "plain", "MaxAttempts": 1,
	})
	return c
}

// Guards against a request that a stopping router passes on although its process ends first: its
// caller, who uses a connection from before the stop, gets no answer.
func TestStopAnswersRequestsOnOpenConnections(t *testing.T) {
	for number, answerTime := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(answerTime.String(), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 1)
			endpoints := []*platformtest.Endpoint{f.endpoint}
			for len(endpoints) < 6 {
				endpoint := platformtest.NewEndpoint(fmt.Sprint("e-", len(endpoints)+1))
				t.Cleanup(endpoint.Close)
				endpoints = append(endpoints, endpoint)
			}
			for _, endpoint := range endpoints {
				endpoint.Pause, endpoint.Events = answerTime, 1
				f.store.Put(platform.TableEndpoints, endpoint.ID, endpoint.Entry("plain", "ready"))
			}
			f.store.Put(platform.TableOperator, platform.KeyConfiguration, stopConfiguration())
			f.eventually("all endpoints known", func() bool {
				return f.routers[0].control.current.Load().endpointCount == len(endpoints) && f.status(0, "first", "first") == http.StatusOK
			})
			answers := f.stopWithHeldConns(number)
			ran := make(map[string]bool)
			for _, endpoint := range endpoints {
				for _, run := range endpoint.Runs() {
					ran[run.Header.Get("Gentianhead-Attempt-Id")] = true
				}
			}
			whole, refused, closed := 0, 0, 0
			for _, a := range answers {
				switch {
				case a.err == nil && a.status == http.StatusOK:
					whole++
				case a.err == nil && a.status == http.StatusServiceUnavailable && !ran[a.id]:
					refused++
					assert.Check(t, a.took < time.Second, "%s was refused after %v", a.id, a.took)
				case a.err != nil && !a.isBegun && !ran[a.id] && a.took < lossSlack:
					closed++
				default:
					t.Errorf("%s: status %d, begun %v, ran %v, after %v, error %v", a.id, a.status, a.isBegun, ran[a.id], a.took, a.err)
				}
			}
			t.Logf("%d whole, %d refused, %d closed before they were read", whole, refused, closed)
			assert.Check(t, whole >= 20)
			assert.NilError(t, <-f.ended[0])
		})
	}
}

// stopWithHeldConns opens connections, stops the first router, and uses the connections one after the other
// until after the grace period.
func (f *fleet) stopWithHeldConns(seed int) []heldAnswer {
	const (
		uses     = 25
		interval = 350 * time.Millisecond
		before   = 3 // uses before the stop
	)
	var (
		mu      sync.Mutex
		answers []heldAnswer
		wg      sync.WaitGroup
	)
	begin := time.Now()
	for use := range uses {
		for kind := range 3 {
			conn, err := net.Dial("tcp", f.routers[0].settings.Callers)
			assert.NilError(f.t, err)
			f.t.Cleanup(func() { _ = conn.Close() })
			held := &heldConn{Conn: conn, id: fmt.Sprintf("held-%d-%d", use, kind), path: "/orders/", requests: 1}
			if (use+seed)%2 == 1 {
				held.path, held.header = "/events/", "Gentianhead-Model: m\r\nGentianhead-Token-Usage: 30,5\r\nGentianhead-Prompt-Prefix: "+held.id+":10\r\n"
			}
			switch kind {
			case 1:
				held.requests = 2
			case 2:
				held.readDelay = 2 * time.Second
			}
			wg.Go(func() {
				<-time.After(time.Until(begin.Add(time.Duration(use)*interval + time.Duration(kind)*interval/3)))
				got := held.use()
				mu.Lock()
				answers = append(answers, got...)
				mu.Unlock()
			})
		}
	}
	<-time.After(before * interval)
	f.stops[0]()
	wg.Wait()
	return answers
}

// hold sends a request, whole or in part, and returns what its caller got.
func (f *fleet) hold(id string, bodyLength int) chan heldAnswer {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.routers[0].settings.Callers)
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /orders/1 HTTP/1.1\r\nHost: %s\r\nAuthorization: Token first\r\nGentianhead-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\norder", hostName, id, bodyLength)
	assert.NilError(f.t, err)
	answers := make(chan heldAnswer, 1)
	go func() {
		answer := heldAnswer{id: id}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		answer.err = err
		if err == nil {
			body, _ := io.ReadAll(response.Body)
			answer.status, answer.body = response.StatusCode, string(body)
		}
		answers <- answer
	}()
	return answers
}

// Guards against connections that end without an answer when the grace period is over, and against a
// stop that goes on after a reload has shortened that period.
func TestStopAnswersRequestsLeftAtItsEnd(t *testing.T) {
	f := newFleet(t, 1)
	f.eventually("request served", func() bool { return f.status(0, "first", "first") == http.StatusOK })
	f.endpoint.SetFault(platformtest.NoResponse)
	sent := f.hold("sent", len("order"))
	f.eventually("request sent", func() bool { return len(f.endpoint.Runs()) == 2 })
	inPart := f.hold("in-part", 100)
	f.stops[0]()
	settings := *f.routers[0].settings
	settings.Grace = 2 * time.Second
	f.routers[0].Reload(&settings)
	stoppedAt := boottime.Now()

	answer := <-sent
	assert.NilError(t, answer.err)
	assert.Equal(t, answer.status, http.StatusBadGateway)
	assert.Assert(t, strings.Contains(answer.body, `"stopping"`), answer.body)
	answer = <-inPart
	assert.NilError(t, answer.err)
	assert.Equal(t, answer.status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(answer.body, `"not-run"`), answer.body)
	assert.ErrorIs(t, <-f.ended[0], ErrCutOff)
	assert.Assert(t, boottime.Now()-stoppedAt < settings.Grace, "the process must end before it is killed")
	assert.Equal(t, len(f.endpoint.Runs()), 2)
}

// Guards against a router that says that it is ready, or returns its address, after its stop began,
// until a busy control loop takes note.
func TestStoppingRouterIsNotReadyAtOnce(t *testing.T) {
	f := newFleet(t, 2)
	f.eventually("both routers resolved", func() bool { return len(f.resolve(0)) == 2 })
	ready := func() int {
		response, err := http.Get("http://" + f.routers[0].settings.Readiness + platform.ReadyPath)
		assert.NilError(t, err)
		defer response.Body.Close()
		return response.StatusCode
	}
	f.eventually("the router is ready", func() bool { return ready() == http.StatusOK })
	f.routers[0].isStopping.Store(true)
	assert.Equal(t, ready(), http.StatusServiceUnavailable)
	assert.DeepEqual(t, f.resolve(0), []string{f.routers[1].settings.Callers})
}
