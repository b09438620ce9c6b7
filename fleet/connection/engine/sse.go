package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"gentianhead/core/request/answer"
)

// MaxEventBytes is the largest accepted event of a stream.
const MaxEventBytes = 1 << 20

const initialEventBytes = 4 << 10

var (
	dataField = []byte("data:")
	idField   = []byte("id:")
	doneData  = []byte("[DONE]")
)

// eventReader reads server-sent events. An event is complete once the empty line
// after it has arrived.
type eventReader struct {
	scanner *bufio.Scanner
	data    []byte
}

func newEventReader(r io.Reader) *eventReader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, initialEventBytes), MaxEventBytes)
	return &eventReader{scanner: scanner}
}

// next returns the next event for the answer core and its data, which is valid
// until the next call.
func (r *eventReader) next() (answer.Event, []byte) {
	r.data = r.data[:0]
	number, hasData, size := 0, false, 0
	for r.scanner.Scan() {
		line := r.scanner.Bytes()
		if size += len(line) + 1; size > MaxEventBytes {
			// Comments and empty lines count as well: an engine may send them without end.
			return answer.End{IsBroken: true}, nil
		}
		switch {
		case bytes.HasPrefix(line, dataField):
			if hasData {
				r.data = append(r.data, '\n')
			}
			hasData = true
			r.data = append(r.data, bytes.TrimPrefix(line[len(dataField):], []byte(" "))...)
		case bytes.HasPrefix(line, idField):
			number = parseNumber(line[len(idField):])
		case len(line) == 0 && hasData:
			return parseChunk(number, r.data), r.data
		}
	}
	return answer.End{IsBroken: r.scanner.Err() != nil || hasData}, nil
}

// parseNumber returns the number of an event, or zero if it is invalid.
func parseNumber(text []byte) int {
	number, err := strconv.Atoi(string(bytes.TrimSpace(text)))
	if err != nil || number < 0 {
		return 0
	}
	return number
}

type chunkBody struct {
	ID      string `json:"id"`
	Choices []struct {
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

func parseChunk(number int, data []byte) answer.Chunk {
	if bytes.Equal(bytes.TrimSpace(data), doneData) {
		return answer.Chunk{Number: number, IsDone: true}
	}
	var body chunkBody
	if err := json.Unmarshal(data, &body); err != nil {
		return answer.Chunk{Number: number, IsMalformed: true}
	}
	chunk := answer.Chunk{ID: body.ID, Number: number}
	for _, choice := range body.Choices {
		chunk.IsFinish = chunk.IsFinish || choice.FinishReason != nil
	}
	return chunk
}
