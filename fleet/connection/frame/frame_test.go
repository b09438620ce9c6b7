package frame

import (
	"bytes"
	"io"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

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

// Guards against a large configuration that a slow link never carries to its end, and
// against a peer that begins a frame and doesn't end it.
func TestConnTimeLimitBySize(t *testing.T) {
	for name, c := range map[string]struct {
		rate    int
		isWhole bool
	}{"slow": {rate: 1 << 20, isWhole: true}, "trickling": {rate: 64 << 10}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				encoded, err := Encode(1, 1, make([]byte, 8<<20))
				assert.NilError(t, err)
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					for part := range slices.Chunk(encoded, c.rate/10) {
						if _, err := far.Write(part); err != nil {
							return
						}
						time.Sleep(100 * time.Millisecond)
					}
				}()
				_, err = NewConn(near).Read(time.Second)
				assert.Equal(t, err == nil, c.isWhole, "%v", err)
				_ = near.Close()
				<-ended
			})
		})
	}
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
