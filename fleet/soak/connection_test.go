package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// style is how a caller uses its connection for one request.
type style int

const (
	styleUsual style = iota
	// styleLate reads the answer lateness after it sent the request.
	styleLate
	// stylePipelined sends a second request behind the first.
	stylePipelined
	// styleSlowBody sends the body in three parts with bodyPause between them.
	styleSlowBody
	styleCount
	// styleStalledBody never sends the end of the body.
	styleStalledBody
)

const (
	// paddingBehind is how much longer the body of a pipelined request is: longer than what
	// a server reads ahead.
	paddingBehind = 16 << 10
	lateness      = 3500 * time.Millisecond
	bodyPause     = 250 * time.Millisecond
	// answerTimeout is longer than the grace time of a router: a connection is given up only
	// after its router has ended.
	answerTimeout = gracePeriod + 2*time.Second
)

// connection is a caller's TCP connection to a router.
type connection struct {
	harness *harness
	router  *process
	conn    *net.TCPConn
	reader  *bufio.Reader
}

func (h *harness) connect(router *process) (*connection, error) {
	conn, err := net.DialTimeout("tcp", router.callers, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{harness: h, router: router, conn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}, nil
}

func (c *connection) close() { _ = c.conn.Close() }

// isEnded reports whether the router has closed an idle connection. Bytes that it sent without
// a request are an error.
func (c *connection) isEnded() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	if err == nil {
		c.harness.t.Errorf("%s sent bytes on a connection without a request", c.router.name)
		return true
	}
	var netErr net.Error
	return !errors.As(err, &netErr) || !netErr.Timeout()
}

// exchange sends requests of the kind and records them with their answers. It reports whether
// the connection may be used again.
func (c *connection) exchange(id string, k kind, s style) bool {
	sent := []*attempt{c.newAttempt(id, k)}
	if s == stylePipelined {
		sent = append(sent, c.newAttempt(id+"-behind", k))
		sent[1].isBehind = true
	}
	for _, a := range sent {
		defer c.harness.recorder.add(a)
	}
	switch s {
	case styleStalledBody:
		head, body := c.format(sent[0])
		_, _ = io.WriteString(c.conn, head+body[:len(body)/2])
	case styleSlowBody:
		head, body := c.format(sent[0])
		third := len(body) / 3
		for _, part := range []string{head + body[:third], body[third : 2*third]} {
			if _, sent[0].err = io.WriteString(c.conn, part); sent[0].err != nil {
				break
			}
			<-time.After(bodyPause)
		}
		if sent[0].err == nil {
			c.write(sent, body[2*third:])
		}
	default:
		var text strings.Builder
		for _, a := range sent {
			head, body := c.format(a)
			text.WriteString(head + body)
		}
		c.write(sent, text.String())
	}
	if s == styleLate {
		<-time.After(lateness)
		sent[0].isReadLate = true
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(answerTimeout))
	isOpen := true
	for i, a := range sent {
		if i > 0 {
			a.wholeAt = sent[i-1].endedAt
		}
		if !isOpen {
			// The router has said, or shown, that it reads no further request here.
			a.isBehindClose, a.endedAt = true, time.Now()
			a.err = io.EOF
			continue
		}
		isOpen = c.read(a)
	}
	if !isOpen {
		if n, _ := io.Copy(io.Discard, c.reader); n > 0 {
			c.harness.t.Errorf("%s: %d bytes followed the last answer of its connection", id, n)
		}
		c.close()
	}
	return isOpen
}

func (c *connection) newAttempt(id string, k kind) *attempt {
	return &attempt{id: id, kind: k, secret: c.harness.secret(), router: c.router, sentAt: time.Now(), isRaw: true}
}

func (c *connection) format(a *attempt) (head, body string) {
	body = bodyOf(a)
	head = fmt.Sprintf("POST /%s/1 HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token %s\r\nGentianhead-Attempt-Id: %s\r\nGentianhead-Deadline-Ms: %d\r\nContent-Length: %d\r\n",
		a.kind, a.secret, a.id, slowTimeout.Milliseconds(), len(body))
	if a.kind.isStream() {
		head += "Gentianhead-Model: m\r\nGentianhead-Token-Usage: 100,20\r\nGentianhead-Prompt-Prefix: base:50," + a.id + ":10\r\n"
	}
	return head + "\r\n", body
}

// write sends the rest of the requests, which are whole afterwards.
func (c *connection) write(sent []*attempt, text string) {
	_, err := io.WriteString(c.conn, text)
	for _, a := range sent {
		a.err = err
		if err == nil {
			a.wholeAt = time.Now()
		}
	}
}

// read reads the answer to one request and reports whether the connection stays open.
func (c *connection) read(a *attempt) bool {
	defer func() { a.endedAt = time.Now() }()
	if _, err := c.reader.Peek(1); err != nil {
		a.err = err
		return false
	}
	a.hasAnswerBegun = true
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		a.err = err
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	a.status, a.header, a.body, a.err = response.StatusCode, response.Header, shorten(a.kind, string(body)), err
	return err == nil && !response.Close
}
