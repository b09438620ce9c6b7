package main

import (
	"fmt"
	"time"

	"gentianhead/core/process/gossip"
	"gentianhead/core/process/membership"
	"gentianhead/fleet/connection/frame"
	"gentianhead/fleet/connection/peer"
)

// measureBaselines prints the cost of the project's previous design, all-to-all
// heartbeats and a poll every second, and which bounds it exceeds.
func measureBaselines(seed uint64) {
	fmt.Println("baselines")
	heartbeat := gossip.Heartbeat{Router: membership.Router{
		Instance: "router-0001", Zone: "zone-01", CallerAddress: "10.1.0.1:8080", PeerAddress: "10.1.0.1:8081", Incarnation: 1,
	}, Revision: 1}
	encoded, err := frame.Encode(peer.TypeHeartbeat, 1, heartbeat)
	if err != nil {
		panic(err)
	}
	for _, size := range []int{7, 70, baseSize, 2000} {
		// Each router sends a heartbeat and a reply to every other router each second.
		bytes := 2 * (size - 1) * len(encoded)
		fmt.Printf("  all-to-all heartbeat at %5d: %8d B/s per router  %s\n", size, bytes, describeBound(bytes, maxBytesPerSecond))
	}
	for _, size := range []int{7, 70, baseSize, 2000} {
		fmt.Printf("  poll of the head row each second at %5d: %5d reads/s  %s\n", size, size, describeBound(size, maxReadsPerSecond))
	}
	fleet := newFleet(baseSize, seed, nil)
	fleet.Run(settleTime)
	before := fleet.Platform.Reads
	fleet.Run(10 * time.Second)
	fmt.Printf("  paced polls at %d for comparison: %.1f reads/s\n", baseSize, float64(fleet.Platform.Reads-before)/10)
}

func describeBound(measured, bound int) string {
	if measured > bound {
		return fmt.Sprintf("breaks the bound of %d", bound)
	}
	return "within the bound"
}
