// Package frame carries typed msgpack messages between routers over TCP.
//
// A frame consists of a version byte, a type byte, a call number and a body length
// (both 32 bits, big-endian), a trace context if the version byte's high bit is
// set, and a msgpack body. Sizes are bounded, and a Conn's calls have deadlines.
package frame

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// Version is the protocol version that this build speaks.
	Version = 1
	// versionTraced marks a frame of Version with a trace context after its header.
	versionTraced = Version | 0x80
	// TraceBytes is the size of a trace context: trace id, span id and flags.
	TraceBytes = 16 + 8 + 1
	// HeaderBytes is the size of a frame's header.
	HeaderBytes = 10
	// MaxBodyBytes is the largest body that is sent or accepted.
	MaxBodyBytes = 16 << 20
	// Timeout bounds writing one frame, and reading a frame after its first byte
	// has arrived, without the time that its body takes at minRate.
	Timeout = 5 * time.Second
	// minRate is the rate, in bytes a second, at which a body has to pass at least.
	minRate = 512 << 10
)

// timeLimit returns the time limit for a frame with a body of size bytes.
func timeLimit(size int) time.Duration {
	return Timeout + time.Duration(size)*time.Second/minRate
}

// Type determines how a frame's body is decoded.
type Type uint8

var (
	// ErrVersion means that the peer uses an unknown protocol version.
	ErrVersion = errors.New("frame: unknown version")
	// ErrTooLarge means that a body is larger than MaxBodyBytes.
	ErrTooLarge = errors.New("frame: body too large")
)

// Frame is a received message.
type Frame struct {
	Type Type
	// CallNumber is chosen by the calling side and repeated in the answer.
	CallNumber uint32
	// Trace is the trace context of the call, or empty if it has none.
	Trace []byte
	Body  []byte
}

// Decode decodes the body into message, which must be a pointer.
func (f Frame) Decode(message any) error {
	return errors.Wrap(msgpack.Unmarshal(f.Body, message), "frame: decode")
}

// Encode returns the encoded frame.
func Encode(frameType Type, call uint32, message any) ([]byte, error) {
	return EncodeTraced(frameType, call, nil, message)
}

// EncodeTraced is Encode with a trace context of TraceBytes, or nil for none.
func EncodeTraced(frameType Type, call uint32, trace []byte, message any) ([]byte, error) {
	body, err := msgpack.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "frame: encode")
	}
	if len(body) > MaxBodyBytes {
		return nil, ErrTooLarge
	}
	encoded := make([]byte, HeaderBytes, HeaderBytes+len(trace)+len(body))
	encoded[0] = Version
	if len(trace) == TraceBytes {
		encoded[0] = versionTraced
		encoded = append(encoded, trace...)
	}
	encoded[1] = byte(frameType)
	binary.BigEndian.PutUint32(encoded[2:], call)
	binary.BigEndian.PutUint32(encoded[6:], uint32(len(body)))
	return append(encoded, body...), nil
}

// Read reads one frame. It returns io.EOF only between frames.
func Read(r io.Reader) (Frame, error) {
	header, size, err := readHeader(r)
	if err != nil {
		return Frame{}, err
	}
	return readBody(r, header, size)
}

// readHeader reads the header of a frame and returns it with the size of the body.
func readHeader(r io.Reader) (header [HeaderBytes]byte, size int, err error) {
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return header, 0, err
	}
	if header[0] != Version && header[0] != versionTraced {
		return header, 0, ErrVersion
	}
	bodySize := binary.BigEndian.Uint32(header[6:])
	if bodySize > MaxBodyBytes {
		return header, 0, ErrTooLarge
	}
	return header, int(bodySize), nil
}

func readBody(r io.Reader, header [HeaderBytes]byte, size int) (Frame, error) {
	traceSize := 0
	if header[0] == versionTraced {
		traceSize = TraceBytes
	}
	rest, err := io.ReadAll(io.LimitReader(r, int64(size+traceSize)))
	if err != nil {
		return Frame{}, errors.Wrap(err, "frame: body")
	}
	if len(rest) < size+traceSize {
		return Frame{}, io.ErrUnexpectedEOF
	}
	return Frame{
		Type:       Type(header[1]),
		CallNumber: binary.BigEndian.Uint32(header[2:]),
		Trace:      rest[:traceSize],
		Body:       rest[traceSize:],
	}, nil
}

// Conn reads and writes frames on a connection. One goroutine may read while
// another writes; concurrent reads or concurrent writes are not allowed.
type Conn struct {
	net    net.Conn
	reader *bufio.Reader
}

// NewConn returns a Conn over c.
func NewConn(c net.Conn) *Conn {
	return &Conn{net: c, reader: bufio.NewReader(c)}
}

// Read waits at most idle for a frame to start, and for its rest as long as its size
// takes.
func (c *Conn) Read(idle time.Duration) (Frame, error) {
	if err := c.net.SetReadDeadline(time.Now().Add(idle)); err != nil {
		return Frame{}, err
	}
	if _, err := c.reader.Peek(1); err != nil {
		return Frame{}, err
	}
	if err := c.net.SetReadDeadline(time.Now().Add(Timeout)); err != nil {
		return Frame{}, err
	}
	header, size, err := readHeader(c.reader)
	if err != nil {
		return Frame{}, err
	}
	if err := c.net.SetReadDeadline(time.Now().Add(timeLimit(size))); err != nil {
		return Frame{}, err
	}
	return readBody(c.reader, header, size)
}

// Write writes one frame and returns the number of bytes written. Its time limit depends
// on the size.
func (c *Conn) Write(frameType Type, call uint32, message any) (int, error) {
	return c.WriteTraced(frameType, call, nil, message)
}

// WriteTraced is Write with a trace context of TraceBytes, or nil for none.
func (c *Conn) WriteTraced(frameType Type, call uint32, trace []byte, message any) (int, error) {
	encoded, err := EncodeTraced(frameType, call, trace, message)
	if err != nil {
		return 0, err
	}
	if err := c.net.SetWriteDeadline(time.Now().Add(timeLimit(len(encoded)))); err != nil {
		return 0, err
	}
	return c.net.Write(encoded)
}

// Close closes the connection.
func (c *Conn) Close() error {
	return c.net.Close()
}
