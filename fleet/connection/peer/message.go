// Package peer connects routers to each other. A Server answers the calls of
// other routers, and a Pool makes calls to them. Both sides prove that they hold
// the fleet's key before any call is taken.
package peer

import (
	"gentianhead/core/version/resource"
	"gentianhead/fleet/connection/frame"
)

// Frame types of the handshake.
const (
	typeChallenge frame.Type = iota + 1
	typeProof
)

// Types of calls. The answer to a call has the type of the call with answerBit.
const (
	// TypeHeartbeat carries a gossip.Heartbeat, and its answer does too.
	TypeHeartbeat frame.Type = 10
	TypeChanges   frame.Type = 20
)

// Types of the calls between routing cores; their messages are those of
// core/request/routing.
const (
	TypeReserve frame.Type = iota + 30
	TypeRegister
	TypeRelease
	TypeInvite
	TypeTotal
	TypeDemand
)

// answerBit marks the answer to a call, and failureBit an answer without body
// to a call that was refused.
const (
	answerBit  frame.Type = 0x80
	failureBit frame.Type = 0x40
)

// ChangesRequest asks for the changes after a revision.
type ChangesRequest struct {
	After resource.Revision `msgpack:"a"`
}

// ChangesAnswer holds either the changes asked for or, when the sender no
// longer has them, its whole configuration.
type ChangesAnswer struct {
	Changes []resource.Object `msgpack:"c,omitempty"`
	// IsWhole marks Changes as the whole configuration at Revision.
	IsWhole  bool              `msgpack:"w,omitempty"`
	Revision resource.Revision `msgpack:"r"`
}
