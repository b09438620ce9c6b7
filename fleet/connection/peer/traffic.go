package peer

import (
	"expvar"
	"net"
)

// Bytes that this process exchanged with its peers, counted at the socket.
var (
	sentBytes     = expvar.NewInt("peer.sentBytes")
	receivedBytes = expvar.NewInt("peer.receivedBytes")
)

// countedConn counts what passes through a connection.
type countedConn struct{ net.Conn }

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	receivedBytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	sentBytes.Add(int64(n))
	return n, err
}
