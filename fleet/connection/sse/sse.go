// Package sse splits a stream of server-sent events into its events and keeps
// their bytes unchanged.
package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	// MaxEventBytes is the largest accepted event.
	MaxEventBytes = 1 << 20
	// maxFillerBytes is how much may lie between two events: comments, which keep a
	// connection alive, and empty lines.
	maxFillerBytes = 64 << 10
	// bufferBytes holds several typical events.
	bufferBytes = 4 << 10
)

// ErrTooLarge means that an event exceeds MaxEventBytes, or that too much lies between two
// events.
var ErrTooLarge = errors.New("sse: event too large")

// ErrPartial means that the stream ended inside an event.
var ErrPartial = errors.New("sse: stream ended inside an event")

// Event is one event. Raw includes the empty line at its end and is valid until
// the next call.
type Event struct {
	ID  string
	Raw []byte
	// IsFiller is set if Raw has no field: only comments or empty lines.
	IsFiller bool
}

// Reader reads events. It is not safe for concurrent use.
type Reader struct {
	buffered *bufio.Reader
	raw      []byte
	// fillerBytes is the number of bytes since the latest event with a field.
	fillerBytes int
}

// NewReader returns a reader of the stream r.
func NewReader(r io.Reader) *Reader {
	return &Reader{buffered: bufio.NewReaderSize(r, bufferBytes)}
}

// Reset makes the reader read the stream r from its beginning.
func (r *Reader) Reset(stream io.Reader) {
	r.buffered.Reset(stream)
	r.raw, r.fillerBytes = r.raw[:0], 0
	if cap(r.raw) > bufferBytes {
		r.raw = nil
	}
}

// Detach leaves the bytes of the latest event to the caller: they stay valid.
func (r *Reader) Detach() { r.raw = nil }

// HasBufferedEvent reports whether a complete event is buffered, so that Next does
// not block.
func (r *Reader) HasBufferedEvent() bool {
	arrived, err := r.buffered.Peek(r.buffered.Buffered())
	return err == nil && (bytes.Contains(arrived, []byte("\n\n")) || bytes.Contains(arrived, []byte("\n\r\n")))
}

// Next returns the next complete event. It returns io.EOF at the end of the
// stream, ErrPartial if the stream ends inside an event, or the stream's error.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	event := Event{IsFiller: true}
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
			return event, r.countFiller(event)
		}
		if len(line) > 0 && line[0] != ':' {
			event.IsFiller = false
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			event.ID = string(bytes.TrimSpace(id))
		}
	}
}

// countFiller returns ErrTooLarge if there has been too much without an event with a field.
func (r *Reader) countFiller(event Event) error {
	if !event.IsFiller {
		r.fillerBytes = 0
		return nil
	}
	if r.fillerBytes += len(event.Raw); r.fillerBytes > maxFillerBytes {
		return ErrTooLarge
	}
	return nil
}

// readLine appends a line including its terminator to raw.
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

// IsAfter reports whether the event id comes after the event id last.
// Non-numeric ids are assumed to be in order.
func IsAfter(last, id string) bool {
	if last == "" {
		// Parsing it would allocate an error.
		return true
	}
	lastNumber, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return true
	}
	number, err := strconv.ParseInt(id, 10, 64)
	return err != nil || number > lastNumber
}
