package hostile

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// crowd is the number of connections of most tests, bodyCrowd of those that send bodies.
var (
	crowd     = 400
	bodyCrowd = 200
)

// body is shared by all callers, since the tests have little memory too.
var body = strings.Repeat("a", bodyBytes)

const (
	// writeTimeout is how long a caller waits for the router to read. Then it holds its connection.
	writeTimeout = 3 * time.Second
	// holdTime is how long the connections stay open after the last of them has written.
	holdTime = 500 * time.Millisecond
)

// place is a kind of path.
type place struct{ name, listener, path string }

var hostedPlaces = []place{
	{"route", "callers", "/orders/1"},
	{"no route", "callers", "/nothing"},
	{"readiness", "readiness", "/gentianhead/readyz"},
	{"directory", "directory", "/gentianhead/resolve"},
}

var productPlaces = []place{
	{"product callers", "callers", "/v1/chat/completions"},
	{"product without a handler", "callers", "/nothing"},
	{"product operators", "operators", "/livez"},
}

// input writes what one caller sends to a path. It may end early with an error.
type input func(w io.Writer, path string) error

func startLine(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: " + hostName + "\r\n"
}

func sendText(w io.Writer, text string) error {
	_, err := io.WriteString(w, text)
	return err
}

// manyFields is a head of legal size that doesn't end.
func manyFields(w io.Writer, path string) error {
	var head strings.Builder
	head.WriteString(startLine(http.MethodGet, path))
	for i := 0; head.Len() < 15<<10; i++ {
		fmt.Fprintf(&head, "%x:\r\n", i)
	}
	return sendText(w, head.String())
}

// endlessHead sends fields until the connection fails.
func endlessHead(w io.Writer, path string) error {
	if err := sendText(w, startLine(http.MethodGet, path)); err != nil {
		return err
	}
	field := "X-" + strings.Repeat("a", 50) + ": " + strings.Repeat("b", 1000) + "\r\n"
	for {
		if err := sendText(w, field); err != nil {
			return err
		}
	}
}

// endlessLine is a head whose only field doesn't end.
func endlessLine(w io.Writer, path string) error {
	if err := sendText(w, startLine(http.MethodGet, path)+"X-A: "); err != nil {
		return err
	}
	piece := strings.Repeat("a", 1000)
	for {
		if err := sendText(w, piece); err != nil {
			return err
		}
	}
}

// bodyStopsShort is a body of legal size without its last byte.
func bodyStopsShort(w io.Writer, path string) error {
	head := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", startLine(http.MethodPost, path), bodyBytes)
	if err := sendText(w, head); err != nil {
		return err
	}
	return sendText(w, body[:bodyBytes-1])
}

// bodyStops declares a body of legal size and stops after the first bytes.
func bodyStops(w io.Writer, path string) error {
	head := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", startLine(http.MethodPost, path), bodyBytes)
	return sendText(w, head+strings.Repeat("a", 1000))
}

// chunksStopShort is a body of legal size in chunks, without the last chunk.
func chunksStopShort(w io.Writer, path string) error {
	return sendChunks(w, path, bodyBytes>>12)
}

// bodyTooLarge is a body far over the limit, in chunks.
func bodyTooLarge(w io.Writer, path string) error {
	return sendChunks(w, path, 16*bodyBytes>>12)
}

func sendChunks(w io.Writer, path string, count int) error {
	if err := sendText(w, startLine(http.MethodPost, path)+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	chunk := "ff0\r\n" + strings.Repeat("a", 0xff0) + "\r\n"
	for range count {
		if err := sendText(w, chunk); err != nil {
			return err
		}
	}
	return nil
}

// requestsAhead sends requests and reads no answer.
func requestsAhead(w io.Writer, path string) error {
	requests := strings.Repeat(startLine(http.MethodGet, path)+"\r\n", 20)
	for {
		if err := sendText(w, requests); err != nil {
			return err
		}
	}
}

// nothing opens a connection only.
func nothing(io.Writer, string) error { return nil }

// slowHead sends one byte at a time.
func slowHead(w io.Writer, path string) error {
	for _, b := range []byte(startLine(http.MethodGet, path)) {
		if _, err := w.Write([]byte{b}); err != nil {
			return err
		}
		<-time.After(20 * time.Millisecond)
	}
	return nil
}

// press lets count callers send an input to each place at the same time, and closes their
// connections once all have written.
func (r *router) press(t *testing.T, count int, send input, places ...place) {
	t.Helper()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	for range count {
		for _, at := range places {
			wg.Go(func() {
				conn, err := net.Dial("tcp", r.addresses[at.listener])
				if err != nil {
					return
				}
				mu.Lock()
				conns = append(conns, conn)
				mu.Unlock()
				// The router may close or refuse at any time.
				_ = send(limitedConn{conn}, at.path)
			})
		}
	}
	wg.Wait()
	<-time.After(holdTime)
	assert.Check(t, len(conns) > 0)
	for _, conn := range conns {
		// A reset leaves no port in TIME_WAIT, of which tests that follow may find too few.
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// limitedConn is a connection whose writes have a time limit.
type limitedConn struct{ net.Conn }

// Write implements io.Writer.
func (c limitedConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.Conn.Write(p)
}

func testAtAll(t *testing.T, count int, send input) {
	t.Helper()
	for _, at := range hostedPlaces {
		t.Run(at.name, func(t *testing.T) {
			testRouter(t, startHosted(t, maxFds), count, send, at)
		})
	}
	for _, at := range productPlaces {
		t.Run(at.name, func(t *testing.T) {
			testRouter(t, startProduct(t), count, send, at)
		})
	}
}

func testRouter(t *testing.T, r *router, count int, send input, places ...place) {
	t.Helper()
	r.press(t, count, send, places...)
	r.check(t)
	r.awaitAnswer(t)
	r.check(t)
}

// Guards against heads whose fields, as parsed, take many times their size.
func TestHeadsOfManyFields(t *testing.T) { testAtAll(t, crowd, manyFields) }

// Guards against heads that take memory until a limit far above that of ordinary callers.
func TestEndlessHeads(t *testing.T) { testAtAll(t, crowd, endlessHead) }

// Guards against a field that takes memory until a limit far above that of ordinary callers.
func TestEndlessFields(t *testing.T) { testAtAll(t, crowd, endlessLine) }

// Guards against bodies that together take more memory than the process has.
func TestBodiesThatStopShort(t *testing.T) { testAtAll(t, bodyCrowd, bodyStopsShort) }

// Guards against declared lengths that take memory before a byte has arrived.
func TestBodiesThatOnlyBegin(t *testing.T) { testAtAll(t, crowd, bodyStops) }

// Guards against bodies without a declared length that never end.
func TestChunksThatStopShort(t *testing.T) { testAtAll(t, bodyCrowd, chunksStopShort) }

// Guards against bodies that are held beyond the limit.
func TestBodiesFarOverTheLimit(t *testing.T) { testAtAll(t, bodyCrowd, bodyTooLarge) }

// Guards against answers that pile up for callers that don't read.
func TestRequestsAheadWithUnreadAnswers(t *testing.T) { testAtAll(t, crowd/4, requestsAhead) }

// Guards against the memory of connections that are only open.
func TestSilentConnections(t *testing.T) { testAtAll(t, crowd, nothing) }

// Guards against heads that arrive a byte at a time.
func TestSlowHeads(t *testing.T) { testAtAll(t, crowd, slowHead) }

// Guards against listeners that each keep to a limit, and together use up the descriptors.
func TestConnectionsAtAllListenersTogether(t *testing.T) {
	const fewFds = 256
	for name, send := range map[string]input{"silent": nothing, "slow heads": slowHead, "unread answers": requestsAhead} {
		t.Run(name, func(t *testing.T) {
			testRouter(t, startHosted(t, fewFds), 150, send, hostedPlaces[1:]...)
		})
	}
}
