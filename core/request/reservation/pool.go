package reservation

import (
	"github.com/cespare/xxhash/v2"

	"gentianhead/core/process/entry"
)

// PoolSize is the maximum average number of engines per pool.
const PoolSize = 16

// Pools splits the engines of a model into pools. An engine keeps its pool when
// other engines join or leave, as long as the number of pools is unchanged.
func Pools(engines []string) [][]string {
	count := PoolCount(len(engines))
	pools := make([][]string, count)
	for i, member := range Members(engines) {
		pools[member.Pool] = append(pools[member.Pool], engines[i])
	}
	return pools
}

// PoolOf returns the pool of a key: the pool of the engine that ranks first in
// rendezvous order, so that each pool receives chats in proportion to its size.
func PoolOf(key uint64, engines []Member) int {
	best, bestScore := 0, uint64(0)
	for _, member := range engines {
		if score := entry.Mix(key, member.Hash); score >= bestScore {
			best, bestScore = member.Pool, score
		}
	}
	return best
}

// Member is an engine with its pool.
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

// poolOfEngine returns the pool that ranks first of count in rendezvous order.
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

// PoolCount returns the number of pools for a model with this number of engines.
func PoolCount(engines int) int {
	return max(1, (engines+PoolSize-1)/PoolSize)
}
