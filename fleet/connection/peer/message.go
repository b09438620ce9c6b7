// Package peer connects routers to each other: a server that answers frames of
// other routers, and a pool of client connections to them.
package peer

import (
	"gentianhead/core/process/membership"
	"gentianhead/core/version/resource"
	"gentianhead/fleet/connection/frame"
)

// Frame types of the peer protocol.
const (
	typeChallenge frame.Type = iota + 1
	typeProof
	typeHeartbeat
	typeHeartbeatAnswer
	typeChangesRequest
	typeChangesAnswer
)

// Heartbeat is a sign of life of its sender.
type Heartbeat struct {
	Router membership.Router `msgpack:"m"`
	// Revision is in force on the sender.
	Revision resource.Revision `msgpack:"r"`
}

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

// Handler answers the frames of other routers. Its methods are called from
// connection goroutines and must not block.
type Handler interface {
	// HandleHeartbeat takes note of a peer and returns this router's heartbeat.
	HandleHeartbeat(Heartbeat) Heartbeat
	// HandleChanges returns what this router has after a revision.
	HandleChanges(ChangesRequest) ChangesAnswer
}
