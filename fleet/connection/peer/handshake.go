package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/cockroachdb/errors"

	"gentianhead/fleet/connection/frame"
)

const nonceBytes = 32

// ErrKey means that the other side does not hold the fleet's key.
var ErrKey = errors.New("peer: wrong fleet key")

// challenge opens the handshake in both directions.
type challenge struct {
	Nonce []byte `msgpack:"n"`
}

// proof shows that its sender holds the fleet's key.
type proof struct {
	MAC []byte `msgpack:"m"`
}

// side is mixed into a proof, so that a proof can't be sent back to its maker.
type side byte

const (
	sideClient side = 'c'
	sideServer side = 's'
)

// shakeHands returns nil once the other side has proved that it holds key.
func shakeHands(conn *frame.Conn, key []byte, own, other side) error {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	if _, err := conn.Write(typeChallenge, 0, challenge{Nonce: nonce}); err != nil {
		return err
	}
	var theirs challenge
	if err := readFrame(conn, typeChallenge, &theirs); err != nil {
		return err
	}
	if len(theirs.Nonce) != nonceBytes {
		return ErrKey
	}
	if _, err := conn.Write(typeProof, 0, proof{MAC: mac(key, own, theirs.Nonce, nonce)}); err != nil {
		return err
	}
	var answer proof
	if err := readFrame(conn, typeProof, &answer); err != nil {
		return err
	}
	if !hmac.Equal(answer.MAC, mac(key, other, nonce, theirs.Nonce)) {
		return ErrKey
	}
	return nil
}

func mac(key []byte, from side, challenged, own []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte{byte(from)})
	h.Write(challenged)
	h.Write(own)
	return h.Sum(nil)
}

func readFrame(conn *frame.Conn, want frame.Type, message any) error {
	f, err := conn.Read(frame.Timeout)
	if err != nil {
		return err
	}
	if f.Type != want {
		return errors.Newf("peer: frame type %d instead of %d", f.Type, want)
	}
	return f.Decode(message)
}
