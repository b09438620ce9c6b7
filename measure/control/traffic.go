package main

import (
	"time"

	"gentianhead/core/process/gossip"
	"gentianhead/fleet/connection/frame"
	"gentianhead/fleet/connection/peer"
)

const (
	// handshakeBytes is what each side sends to open a connection: a challenge
	// and a proof of 32 bytes each in frames.
	handshakeBytes = 2 * (frame.HeaderBytes + 38)
	// headReadBytes and listReadBytes estimate the requests to the platform.
	headReadBytes = 300
	listReadBytes = 200
)

// traffic counts what routers send. Connections stay open for peer.IdleTimeout.
type traffic struct {
	now  func() time.Time
	sent map[int]int
	// used is when the connection between two routers last carried a call.
	used       map[[2]int]time.Time
	heartbeats int
	handshakes int
	largest    int
}

func newTraffic() *traffic {
	return &traffic{sent: make(map[int]int), used: make(map[[2]int]time.Time)}
}

func (t *traffic) note(from, to int, heartbeat gossip.Heartbeat, isAnswer bool) {
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
	if last, known := t.used[pair]; !known || t.now().Sub(last) > peer.IdleTimeout {
		t.handshakes++
		t.sent[from] += handshakeBytes
		t.sent[to] += handshakeBytes
	}
	t.used[pair] = t.now()
}

func (t *traffic) reset() {
	clear(t.sent)
	t.heartbeats, t.handshakes, t.largest = 0, 0, 0
}

// perSecond returns the mean and the largest bytes per second of one router.
func (t *traffic) perSecond(routers int, d time.Duration) (mean, largest float64) {
	for _, bytes := range t.sent {
		rate := float64(bytes) / d.Seconds()
		mean += rate / float64(routers)
		largest = max(largest, rate)
	}
	return mean, largest
}
