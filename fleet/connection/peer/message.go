// Package peer connects routers to each other. A Server answers the calls of
// other routers, and a Pool makes calls to them. Both sides prove that they have
// the fleet key before any call is accepted.
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

// Call types. The answer to a call has the call's type with answerBit set.
const (
	// TypeHeartbeat carries a gossip.Heartbeat in the call and in the answer.
	TypeHeartbeat frame.Type = 10
	TypeChanges   frame.Type = 20
)

// Call types between routing cores. Their messages are declared in
// core/request/reservation and, for TypeDemand, in core/request/admission.
const (
	TypeReserve frame.Type = iota + 30
	TypeRegister
	TypeRelease
	TypeInvite
	TypeTotal
	TypeDemand
)

// answerBit marks the answer to a call, and failureBit the empty answer to a call
// that was refused.
const (
	answerBit  frame.Type = 0x80
	failureBit frame.Type = 0x40
)

// ChangesRequest requests the changes after a revision.
type ChangesRequest struct {
	After resource.Revision `msgpack:"a"`
}

// ChangesAnswer holds either the requested changes or, if the sender no longer
// has them, its complete configuration.
type ChangesAnswer struct {
	Changes []resource.Object `msgpack:"c,omitempty"`
	// IsSnapshot marks Changes as the complete configuration at Revision.
	IsSnapshot bool              `msgpack:"w,omitempty"`
	Revision   resource.Revision `msgpack:"r"`
}
