package claims

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"gentianhead/core/request/claim"
)

// maxKeysPerSet is the capacity of each of the two sets of recentKeys.
const maxKeysPerSet = 50_000

// recentKeys keeps hashes of the keys that this router received, to detect
// repeated requests that the caller did not mark as such. When the newer set is
// full, it replaces the older one.
type recentKeys struct {
	mu           sync.Mutex
	newer, older map[uint64]struct{}
}

func newRecentKeys() *recentKeys {
	return &recentKeys{newer: make(map[uint64]struct{})}
}

// add records id and reports whether it was already present.
func (k *recentKeys) add(id claim.ID) bool {
	hash := xxhash.Sum64String(id.Account + "\x00" + id.Key)
	k.mu.Lock()
	defer k.mu.Unlock()
	_, inNewer := k.newer[hash]
	_, inOlder := k.older[hash]
	if inNewer {
		return true
	}
	if len(k.newer) >= maxKeysPerSet {
		k.newer, k.older = make(map[uint64]struct{}), k.newer
	}
	k.newer[hash] = struct{}{}
	return inOlder
}
