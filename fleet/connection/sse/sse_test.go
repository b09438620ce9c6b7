package sse

import (
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func TestReaderNextPreservesBytes(t *testing.T) {
	text := "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\n"
	reader := NewReader(strings.NewReader(text))
	var got strings.Builder
	var ids []string
	for {
		event, err := reader.Next()
		if err == io.EOF {
			break
		}
		assert.NilError(t, err)
		got.Write(event.Raw)
		ids = append(ids, event.ID)
	}
	assert.Equal(t, got.String(), text)
	assert.DeepEqual(t, ids, []string{"1", "2", ""})
}

func TestReaderNextPartialEvent(t *testing.T) {
	reader := NewReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata:"))
	_, err := reader.Next()
	assert.NilError(t, err)
	_, err = reader.Next()
	assert.ErrorIs(t, err, ErrPartial)
}

func TestReaderNextEventTooLarge(t *testing.T) {
	reader := NewReader(io.MultiReader(strings.NewReader("data: "), strings.NewReader(strings.Repeat("x", MaxEventBytes+1))))
	_, err := reader.Next()
	assert.ErrorIs(t, err, ErrTooLarge)
}

// Guards against a complete event that is delayed until the next one is complete.
func TestReaderHasBufferedEventPartialEvent(t *testing.T) {
	reader := NewReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda"))
	for _, hasEvent := range []bool{true, false} {
		_, err := reader.Next()
		assert.NilError(t, err)
		assert.Equal(t, reader.HasBufferedEvent(), hasEvent)
	}
}

func TestIsAfterIDs(t *testing.T) {
	assert.Assert(t, IsAfter("", "1"))
	assert.Assert(t, IsAfter("9", "10"))
	assert.Assert(t, !IsAfter("10", "9"))
	assert.Assert(t, !IsAfter("10", "10"))
	assert.Assert(t, IsAfter("10", ""))
}

func FuzzReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n\n\nid:")
	f.Fuzz(func(t *testing.T, text string) {
		reader := NewReader(strings.NewReader(text))
		read := 0
		for {
			event, err := reader.Next()
			if err != nil {
				return
			}
			read += len(event.Raw)
			assert.Assert(t, read <= len(text))
		}
	})
}

// Guards against a stream without a length that looks complete though it ends inside an event.
func TestStreamCutAtAnyByte(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r\n"} {
		event := strings.Join([]string{"id: 1", "data: piece", "", ""}, lineEnd)
		stream := event + event + ": comment" + lineEnd + lineEnd + event
		boundaries := map[int]bool{0: true, len(event): true, 2 * len(event): true, len(stream) - len(event): true, len(stream): true}
		for length := range len(stream) + 1 {
			reader := NewReader(strings.NewReader(stream[:length]))
			var err error
			for err == nil {
				_, err = reader.Next()
			}
			want := ErrPartial
			if boundaries[length] {
				want = io.EOF
			}
			assert.Assert(t, errors.Is(err, want), "%q ends with %v", stream[:length], err)
		}
	}
}
