// Package entry selects the routers that a caller should use for a chat.
package entry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gentianhead/core/process/membership"
)

// MaxAddresses is the maximum number of addresses for a chat.
const MaxAddresses = 3

// Query describes the chat to select routers for.
type Query struct {
	Chat string
	// Excluded is the instance of a router to leave out, such as one that is
	// isolated; empty excludes none.
	Excluded string
}

// AddressesFor returns the addresses to use, best first: the home router of the
// chat, then alternatives, with those in other availability zones first. Leaving
// routers are left out, so the result may be empty. Routers are ranked by
// rendezvous hashing, so a leaving router moves only the chats it was the home of.
func AddressesFor(view *membership.View, query Query) []string {
	candidates := ranked(view, query)
	var addresses []string
	coveredZones := make(map[string]bool)
	for _, wantsNewZone := range []bool{true, false} {
		for _, router := range candidates {
			isNewZone := !coveredZones[router.Zone]
			if len(addresses) < MaxAddresses && isNewZone == wantsNewZone && !slices.Contains(addresses, router.CallerAddress) {
				coveredZones[router.Zone] = true
				addresses = append(addresses, router.CallerAddress)
			}
		}
	}
	return addresses
}

// ranked returns the eligible routers, the home of the chat first.
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

// Score returns the rendezvous hash of a name for a key; the highest ranks first.
func Score(key, name string) uint64 {
	return Mix(xxhash.Sum64String(key), xxhash.Sum64String(name))
}

// Mix combines two hashes. It ends with the SplitMix64 finalizer, which spreads
// each input bit over the whole result.
func Mix(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
