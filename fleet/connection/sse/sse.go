// Package sse splits a stream of server-sent events into its events, byte for
// byte as they came.
package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	// MaxEventBytes is the largest event.
	MaxEventBytes = 1 << 20
	// bufferBytes holds several ordinary events.
	bufferBytes = 4 << 10
)

// ErrTooLarge means that an event is above MaxEventBytes.
var ErrTooLarge = errors.New("sse: event too large")

// ErrPartial means that the stream ended amid an event.
var ErrPartial = errors.New("sse: stream ended amid an event")

// Event is one event. Raw includes the empty line at its end and is valid until
// the next call.
type Event struct {
	ID  string
	Raw []byte
}

// Reader reads events. One goroutine uses it.
type Reader struct {
	buffered *bufio.Reader
	raw      []byte
}

// NewReader returns a reader of the stream r.
func NewReader(r io.Reader) *Reader {
	return &Reader{buffered: bufio.NewReaderSize(r, bufferBytes)}
}

// HasWhole reports whether a further event has arrived whole, so that Next will
// not wait.
func (r *Reader) HasWhole() bool {
	arrived, err := r.buffered.Peek(r.buffered.Buffered())
	return err == nil && (bytes.Contains(arrived, []byte("\n\n")) || bytes.Contains(arrived, []byte("\n\r\n")))
}

// Next returns the next whole event. It returns io.EOF at the stream's end,
// ErrPartial if that comes amid an event, and the stream's own error otherwise.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	event := Event{}
	for {
		start := len(r.raw)
		if err := r.readLine(); err != nil {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(r.raw)) > 0 {
				return Event{}, ErrPartial
			}
			return Event{}, err
		}
		line := bytes.TrimRight(r.raw[start:], "\r\n")
		if len(line) == 0 && start > 0 {
			event.Raw = r.raw
			return event, nil
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			event.ID = string(bytes.TrimSpace(id))
		}
	}
}

// readLine appends a line with its end to raw.
func (r *Reader) readLine() error {
	for {
		fragment, err := r.buffered.ReadSlice('\n')
		r.raw = append(r.raw, fragment...)
		if len(r.raw) > MaxEventBytes {
			return ErrTooLarge
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// IsAfter reports whether an event with this id comes after the event last. Ids
// that are no numbers are taken to be in order.
func IsAfter(last, id string) bool {
	lastNumber, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return true
	}
	number, err := strconv.ParseInt(id, 10, 64)
	return err != nil || number > lastNumber
}
