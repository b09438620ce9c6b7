package transport

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

func TestSealableConnWriteAfterSeal(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	conn := newSealableConn(near)
	assert.Assert(t, !conn.seal(conn.writeOffset()), "no byte was written")
	n, err := conn.Write([]byte("late"))
	assert.Equal(t, n, 0)
	assert.ErrorIs(t, err, net.ErrClosed)
}
