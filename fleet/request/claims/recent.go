package claims

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"gentianhead/core/request/claim"
)

// recentHalf is how many keys one half of recentKeys holds.
const recentHalf = 50_000

// recentKeys remembers which keys were asked at this router, so that a repeated
// ask is known for one also where its caller does not say so. It forgets the
// older half when the newer one is full.
type recentKeys struct {
	mu           sync.Mutex
	newer, older map[uint64]struct{}
}

func newRecentKeys() *recentKeys {
	return &recentKeys{newer: make(map[uint64]struct{})}
}

// add remembers id and reports whether it was known.
func (k *recentKeys) add(id claim.ID) bool {
	hash := xxhash.Sum64String(id.Account + "\x00" + id.Key)
	k.mu.Lock()
	defer k.mu.Unlock()
	_, inNewer := k.newer[hash]
	_, inOlder := k.older[hash]
	if inNewer {
		return true
	}
	if len(k.newer) >= recentHalf {
		k.newer, k.older = make(map[uint64]struct{}), k.newer
	}
	k.newer[hash] = struct{}{}
	return inOlder
}
