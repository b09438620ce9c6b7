package relay_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"gentianhead/platform/platformtest"
)

// Guards against a stream that had begun and broke off, and then holds the answer of the next
// endpoint, which isn't the rest of it, or ends as if it were complete.
func TestResumeAnsweredWithoutRestOfStream(t *testing.T) {
	for _, fault := range platformtest.ResumeFaults {
		f := newFixture(t, 3)
		f.faults(fault, fault, fault)
		got := f.postStream(pathResume + "1")
		assert.Equal(t, got.status, http.StatusOK, fault)
		assert.Equal(t, got.body, streamEvents(1, 2), fault)
		assert.ErrorIs(t, got.err, io.ErrUnexpectedEOF, fault)
		assert.Equal(t, f.requestCount(), 3, fault)
	}
}

// Guards against a stream that isn't completed where the second endpoint's answer isn't the
// rest of it, and the third one's is.
func TestResumeAtThirdEndpoint(t *testing.T) {
	for _, fault := range platformtest.ResumeFaults {
		isCompleted := false
		for number := range 40 {
			f := newFixture(t, 3)
			f.faults(fault, fault, "")
			got := f.postStream(pathResume + strconv.Itoa(number))
			assert.NilError(t, got.err, fault)
			assert.Equal(t, got.body, streamEvents(1, 3), fault)
			if isCompleted = f.requestCount() == 3; isCompleted {
				break
			}
		}
		assert.Assert(t, isCompleted, fault)
	}
}

// Guards against a resume that is refused although the endpoint sends the last events again
// before it goes on, or counts its events by more than one.
func TestResumeAfterReplayAndJumps(t *testing.T) {
	for _, example := range []struct{ first, rest, want []int }{
		{[]int{1, 2, 3}, []int{1, 2, 3, 4, 5}, []int{1, 2, 3, 4, 5}},
		{[]int{1, 2, 3}, []int{3, 4}, []int{1, 2, 3, 4}},
		{[]int{2, 5, 6}, []int{9, 10}, []int{2, 5, 6, 9, 10}},
		{[]int{7}, []int{9}, []int{7, 9}},
	} {
		f := newFixture(t, 2)
		for _, endpoint := range f.endpoints {
			endpoint.Script = func(r *http.Request) (string, bool) {
				if r.Header.Get("Last-Event-Id") == "" {
					return numbered(example.first), false
				}
				return ": kept open\n\n" + numbered(example.rest), true
			}
		}
		got := f.postStream(pathResume + "1")
		assert.NilError(t, got.err, "%+v", example)
		assert.Equal(t, got.body, numbered(example.want))
	}
}

// Guards against a resume of a stream whose position isn't known.
func TestStreamWithoutNumbersNotResumed(t *testing.T) {
	for _, events := range []string{"data: a\n\n", "id: x\ndata: a\n\n", "id: 1\ndata: a\n\nid: 2x\ndata: a\n\n"} {
		f := newFixture(t, 2)
		for _, endpoint := range f.endpoints {
			endpoint.Script = func(*http.Request) (string, bool) { return events, false }
		}
		got := f.postStream(pathResume + "1")
		assert.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
		assert.Equal(t, got.body, events)
		assert.Equal(t, f.requestCount(), 1)
	}
}

func numbered(numbers []int) string {
	var events strings.Builder
	for _, number := range numbers {
		fmt.Fprintf(&events, "id: %d\ndata: piece-%d\n\n", number, number)
	}
	return events.String()
}

// Guards against a truncated answer that looks complete to a caller of HTTP/1.0, whose answers
// have no chunks and end with their connection.
func TestTruncatedAnswerOfHTTP10Reset(t *testing.T) {
	for _, example := range []struct {
		path       string
		fault      platformtest.Fault
		isComplete bool
	}{
		{pathStream, "", true},
		{pathStream, platformtest.Truncated, false},
		{pathStream, platformtest.UnframedReset, false},
		{pathResume, platformtest.ResumeFailed, false},
		{pathResume, platformtest.ResumeEmpty, false},
	} {
		f := newFixture(t, 3)
		f.faults(example.fault, example.fault, example.fault)
		conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		assert.NilError(t, err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST %s1 HTTP/1.0\r\nHost: a.example\r\nAuthorization: Token %s\r\nGentianhead-Attempt-Id: a\r\n"+
			"Gentianhead-Model: m\r\nGentianhead-Token-Usage: 10,5\r\nContent-Length: 6\r\n\r\nprompt", example.path, secret)
		assert.NilError(t, err)
		text, err := io.ReadAll(bufio.NewReader(conn))
		if example.isComplete {
			assert.NilError(t, err)
			assert.Assert(t, bytes.HasSuffix(text, []byte(streamEvents(1, 3))), "%s", text)
			continue
		}
		assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%s %s: %v, %q", example.path, example.fault, err, text)
	}
}
