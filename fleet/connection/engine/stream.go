package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// MaxEventBytes is the largest event of a stream.
const MaxEventBytes = 1 << 20

var (
	dataPrefix = []byte("data:")
	doneMark   = []byte("[DONE]")
)

// Stream reads the events of a streamed answer and checks that each belongs to
// the request and that the stream ends whole.
type Stream struct {
	scanner    *bufio.Scanner
	id         string
	isFinished bool
	isDone     bool
}

// NewStream returns a reader of the answer to the request with this id.
func NewStream(r io.Reader, id string) *Stream {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), MaxEventBytes)
	return &Stream{scanner: scanner, id: id}
}

type chunkHead struct {
	ID      string `json:"id"`
	Choices []struct {
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// Next returns the data of the next event, valid until the call after. It
// returns io.EOF after the closing event of a whole answer, ErrTruncated when
// the stream ends before, and ErrMismatched for an event of another request.
func (s *Stream) Next() ([]byte, error) {
	if s.isDone {
		return nil, io.EOF
	}
	for s.scanner.Scan() {
		line := s.scanner.Bytes()
		if !bytes.HasPrefix(line, dataPrefix) {
			continue
		}
		return s.take(bytes.TrimSpace(line[len(dataPrefix):]))
	}
	return nil, errors.Mark(errors.Newf("engine: stream ended early: %v", s.scanner.Err()), ErrTruncated)
}

func (s *Stream) take(data []byte) ([]byte, error) {
	if bytes.Equal(data, doneMark) {
		if !s.isFinished {
			return nil, errors.Wrap(ErrTruncated, "closing event without a finish reason")
		}
		s.isDone = true
		return data, nil
	}
	var head chunkHead
	if err := json.Unmarshal(data, &head); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "engine: event"), ErrTruncated)
	}
	if head.ID != s.id {
		return nil, errors.Wrapf(ErrMismatched, "event of %q", head.ID)
	}
	for _, choice := range head.Choices {
		if choice.FinishReason != nil {
			s.isFinished = true
		}
	}
	return data, nil
}
