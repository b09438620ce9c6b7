package main

import (
	"time"

	"gentianhead/core/process/gossip"
	"gentianhead/fleet/connection/frame"
	"gentianhead/fleet/connection/peer"
)

const (
	// handshakeBytes is what each side sends to open a connection: a challenge and
	// a proof in frames, each 32 bytes plus their encoding.
	handshakeBytes = 2 * (frame.HeaderBytes + 38)
	// headReadBytes and listReadBytes are the estimated sizes of platform requests.
	headReadBytes = 300
	listReadBytes = 200
)

// traffic counts the bytes that routers send. A connection that is idle for
// longer than peer.IdleTimeout needs a new handshake.
type traffic struct {
	now  func() time.Time
	sent map[int]int
	// lastUsed is the time of the latest call on the connection between two routers.
	lastUsed map[[2]int]time.Time
	// heartbeats includes answers.
	heartbeats int
	handshakes int
	// largest is the largest frame in bytes.
	largest int
}

func newTraffic() *traffic {
	return &traffic{sent: make(map[int]int), lastUsed: make(map[[2]int]time.Time)}
}

func (t *traffic) record(from, to int, heartbeat gossip.Heartbeat, isAnswer bool) {
	encoded, err := frame.Encode(peer.TypeHeartbeat, 1, heartbeat)
	if err != nil {
		panic(err)
	}
	t.heartbeats++
	t.sent[from] += len(encoded)
	t.largest = max(t.largest, len(encoded))
	if isAnswer {
		return
	}
	pair := [2]int{from, to}
	if last, known := t.lastUsed[pair]; !known || t.now().Sub(last) > peer.IdleTimeout {
		t.handshakes++
		t.sent[from] += handshakeBytes
		t.sent[to] += handshakeBytes
	}
	t.lastUsed[pair] = t.now()
}

func (t *traffic) reset() {
	clear(t.sent)
	t.heartbeats, t.handshakes, t.largest = 0, 0, 0
}

// perSecond returns the mean and the largest rate of a router in bytes per second.
func (t *traffic) perSecond(routers int, d time.Duration) (mean, largest float64) {
	for _, bytes := range t.sent {
		rate := float64(bytes) / d.Seconds()
		mean += rate / float64(routers)
		largest = max(largest, rate)
	}
	return mean, largest
}
