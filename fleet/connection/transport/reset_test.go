package transport

import (
	"io"
	"net"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// observedConn tells when a write has failed.
type observedConn struct {
	*net.TCPConn
	writeFailed chan struct{}
}

// Write implements net.Conn.
func (c observedConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		close(c.writeFailed)
	}
	return n, err
}

// dialObserved returns a connection that is being written to without end, its server's side, and a
// channel that is closed once the write has failed.
func dialObserved(t *testing.T) (client *sealableConn, server *net.TCPConn, writeFailed chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	writeFailed = make(chan struct{})
	client = newSealableConn(observedConn{conn.(*net.TCPConn), writeFailed})
	t.Cleanup(func() { _ = client.Close() })
	go func() {
		block := make([]byte, 64<<10)
		for err := error(nil); err == nil; {
			_, err = client.Write(block)
		}
	}()
	return client, accepted.(*net.TCPConn), writeFailed
}

// Guards against a reset that is taken for the end of an answer. The kernel reports it once; here the
// write gets the report before the answer is read.
func TestResetReportedToWriteIsNoEnd(t *testing.T) {
	client, server, writeFailed := dialObserved(t)
	_, err := io.WriteString(server, "part")
	assert.NilError(t, err)
	assert.NilError(t, server.SetLinger(0))
	assert.NilError(t, server.Close())
	<-writeFailed
	got, err := io.ReadAll(client)
	assert.Equal(t, string(got), "part")
	assert.ErrorContains(t, err, "reset")
}

// Guards against an answer that is refused although its end arrived, if the connection is reset
// later or not at all.
func TestEndBeforeResetIsEnd(t *testing.T) {
	for _, isReset := range []bool{true, false} {
		client, server, writeFailed := dialObserved(t)
		_, err := io.WriteString(server, "whole")
		assert.NilError(t, err)
		assert.NilError(t, server.CloseWrite())
		if isReset {
			assert.NilError(t, server.SetLinger(0))
			assert.NilError(t, server.Close())
			<-writeFailed
		}
		got, err := io.ReadAll(client)
		assert.NilError(t, err)
		assert.Equal(t, string(got), "whole")
		_ = server.Close()
	}
}

// Guards against an orderly end that is refused, and a reset that is believed to be one, for each order
// in which the kernel reports them.
func TestConnEndIsReset(t *testing.T) {
	const closeWait = unix.BPF_TCP_CLOSE_WAIT
	for end, want := range map[connEnd]bool{
		{state: closeWait, isStateKnown: true}:                       false,
		{state: closeWait, isStateKnown: true, isResetOnWrite: true}: false,
		{state: tcpClosed, isStateKnown: true}:                       false,
		{state: tcpClosed, isStateKnown: true, isResetOnWrite: true}: true,
		{}:                     false,
		{isResetOnWrite: true}: true,
		{isWriting: true}:      true,
	} {
		assert.Equal(t, end.isReset(), want, "%+v", end)
	}
}
