package frame

import (
	"bytes"
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

func TestReadInvalidFrame(t *testing.T) {
	whole, err := Encode(7, 3, "hello")
	assert.NilError(t, err)

	f, err := Read(bytes.NewReader(whole))
	assert.NilError(t, err)
	assert.Equal(t, f.CallNumber, uint32(3))
	var text string
	assert.NilError(t, f.Decode(&text))
	assert.Equal(t, text, "hello")

	_, err = Read(bytes.NewReader(whole[:len(whole)-1]))
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)

	otherVersion := bytes.Clone(whole)
	otherVersion[0] = Version + 1
	_, err = Read(bytes.NewReader(otherVersion))
	assert.ErrorIs(t, err, ErrVersion)

	tooLarge := bytes.Clone(whole)
	tooLarge[6] = 0xff
	_, err = Read(bytes.NewReader(tooLarge))
	assert.ErrorIs(t, err, ErrTooLarge)
}

func FuzzRead(f *testing.F) {
	whole, _ := Encode(1, 1, map[string]int{"a": 1})
	f.Add(whole)
	f.Add([]byte{Version, 1, 0, 0, 0, 1, 0, 0, 0, 200})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := Read(bytes.NewReader(data))
		if err == nil && len(frame.Body) > len(data) {
			t.Fatalf("read %d bytes of a body from %d bytes", len(frame.Body), len(data))
		}
	})
}
