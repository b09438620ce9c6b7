package peer

import (
	"expvar"
	"net"
)

// Bytes exchanged with peers, counted at the socket.
var (
	sentBytes     = expvar.NewInt("peer.sentBytes")
	receivedBytes = expvar.NewInt("peer.receivedBytes")
)

// countingConn counts the bytes read from and written to a connection.
type countingConn struct{ net.Conn }

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	receivedBytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	sentBytes.Add(int64(n))
	return n, err
}
