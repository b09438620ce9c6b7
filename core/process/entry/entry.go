// Package entry decides which routers a caller should use for a chat.
package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianhead/core/process/membership"
)

// Life is how long a caller may keep an answer. A router that leaves keeps
// serving for at least this long after entry answers stopped naming it.
const Life = 30 * time.Second

// MaxAddresses is the most addresses that an answer names.
const MaxAddresses = 3

// Answer names the addresses to use for a chat, best first.
type Answer struct {
	Addresses []string      `json:"addresses"`
	Life      time.Duration `json:"-"`
}

// For returns the answer for chat. The order is a rendezvous hash over the
// view, so a router that leaves moves only the chats that it was first for.
func For(view *membership.View, chat string) Answer {
	type scored struct {
		address string
		score   uint64
	}
	candidates := make([]scored, 0, len(view.Routers))
	for _, router := range view.Routers {
		if !router.Leaving {
			candidates = append(candidates, scored{router.CallerAddress, Score(chat, router.Instance)})
		}
	}
	slices.SortFunc(candidates, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	answer := Answer{Life: Life}
	for _, candidate := range candidates[:min(len(candidates), MaxAddresses)] {
		answer.Addresses = append(answer.Addresses, candidate.address)
	}
	return answer
}

// Score is the rendezvous weight of a name for a key; the highest comes first.
func Score(key, name string) uint64 {
	return Mix(xxhash.Sum64String(key), xxhash.Sum64String(name))
}

// Mix combines two hashes. The multiplications are those of the SplitMix64
// finalizer, which spreads each input bit over the whole result.
func Mix(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
