package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/cockroachdb/errors"

	"gentianhead/fleet/connection/frame"
)

const nonceBytes = 32

// ErrWrongFleetKey means that the peer did not prove that it has the fleet key.
var ErrWrongFleetKey = errors.New("peer: wrong fleet key")

// challenge is the first handshake message in both directions.
type challenge struct {
	Nonce []byte `msgpack:"n"`
}

// proof proves that its sender has the fleet key.
type proof struct {
	MAC []byte `msgpack:"m"`
}

// role is part of the MAC of a proof, which prevents reflection attacks.
type role byte

const (
	roleClient role = 'c'
	roleServer role = 's'
)

// handshake returns nil once the peer has proved that it has key.
func handshake(conn *frame.Conn, key []byte, own, other role) error {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	if _, err := conn.Write(typeChallenge, 0, challenge{Nonce: nonce}); err != nil {
		return err
	}
	var peerChallenge challenge
	if err := readFrame(conn, typeChallenge, &peerChallenge); err != nil {
		return err
	}
	if len(peerChallenge.Nonce) != nonceBytes {
		return ErrWrongFleetKey
	}
	if _, err := conn.Write(typeProof, 0, proof{MAC: mac(key, own, peerChallenge.Nonce, nonce)}); err != nil {
		return err
	}
	var peerProof proof
	if err := readFrame(conn, typeProof, &peerProof); err != nil {
		return err
	}
	if !hmac.Equal(peerProof.MAC, mac(key, other, nonce, peerChallenge.Nonce)) {
		return ErrWrongFleetKey
	}
	return nil
}

func mac(key []byte, from role, challenged, own []byte) []byte {
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
		return errors.Newf("peer: got frame type %d, want %d", f.Type, want)
	}
	return f.Decode(message)
}
