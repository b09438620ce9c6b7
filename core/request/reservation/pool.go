package reservation

import (
	"github.com/cespare/xxhash/v2"

	"gentianhead/core/process/entry"
)

// PoolSize is the number of engines that a pool holds on average at most.
const PoolSize = 16

// Pools splits the engines of a model. Each engine keeps its pool while the
// number of pools stays, whatever other engines join or leave.
func Pools(engines []string) [][]string {
	count := PoolCount(len(engines))
	pools := make([][]string, count)
	for i, member := range Members(engines) {
		pools[member.Pool] = append(pools[member.Pool], engines[i])
	}
	return pools
}

// PoolOf returns the pool that key belongs to: the one that holds the first of
// the engines in rendezvous order, so that pools take chats by their size.
func PoolOf(key uint64, engines []Member) int {
	best, bestScore := 0, uint64(0)
	for _, member := range engines {
		if score := entry.Mix(key, member.Hash); score >= bestScore {
			best, bestScore = member.Pool, score
		}
	}
	return best
}

// Member is an engine in its pool.
type Member struct {
	// Hash is the hash of the engine's name.
	Hash uint64
	Pool int
}

// Members returns the engines of a model with their pools.
func Members(engines []string) []Member {
	count := PoolCount(len(engines))
	members := make([]Member, 0, len(engines))
	for _, name := range engines {
		hash := xxhash.Sum64String(name)
		members = append(members, Member{Hash: hash, Pool: poolOfEngine(hash, count)})
	}
	return members
}

// poolOfEngine returns the first of count pools in rendezvous order.
func poolOfEngine(hash uint64, count int) int {
	best, bestScore := 0, uint64(0)
	for i := range count {
		if score := entry.Mix(hash, uint64(i)); score >= bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// key returns the hash of a pool's name.
func (id PoolID) key() uint64 {
	return entry.Mix(xxhash.Sum64String(id.Model), uint64(id.Index))
}

// PoolCount returns the number of pools of a model with so many engines.
func PoolCount(engines int) int {
	return max(1, (engines+PoolSize-1)/PoolSize)
}
