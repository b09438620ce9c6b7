// Package entry decides which routers a caller should use for a chat.
package entry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gentianhead/core/process/membership"
)

// MaxAddresses is the most addresses that an answer names.
const MaxAddresses = 3

// Query asks for the routers of a chat.
type Query struct {
	Chat string
	// Excluded is the instance of a router that must not be named, such as one
	// that is isolated itself; empty excludes none.
	Excluded string
}

// For returns the addresses to use, best first: the home of the chat and then
// alternatives, those in other availability zones first. Leaving routers are not
// named, so the answer may be empty. The order is a rendezvous hash over the
// view, so a router that leaves moves only the chats that it was home of.
func For(view *membership.View, query Query) []string {
	candidates := ranked(view, query)
	var addresses []string
	isNamed := make(map[string]bool)
	for _, wantsNewZone := range []bool{true, false} {
		for _, router := range candidates {
			isNew := !isNamed[router.Zone]
			if len(addresses) < MaxAddresses && isNew == wantsNewZone && !slices.Contains(addresses, router.CallerAddress) {
				isNamed[router.Zone] = true
				addresses = append(addresses, router.CallerAddress)
			}
		}
	}
	return addresses
}

// ranked returns the routers that may be named, the home of the chat first.
func ranked(view *membership.View, query Query) []membership.Router {
	type scored struct {
		router membership.Router
		score  uint64
	}
	var candidates []scored
	for _, router := range view.Routers {
		if !router.Leaving && router.Instance != query.Excluded {
			candidates = append(candidates, scored{router, Score(query.Chat, router.Instance)})
		}
	}
	slices.SortFunc(candidates, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	routers := make([]membership.Router, len(candidates))
	for i, candidate := range candidates {
		routers[i] = candidate.router
	}
	return routers
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
