package reservation

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gentianhead/core/process/entry"
	"gentianhead/core/process/membership"
)

// MaxObservers is how many routers are asked for a pool, one after the other.
const MaxObservers = 4

// Assignment says which routers of a view observe which pools. It is immutable.
type Assignment struct {
	view  *membership.View
	order map[PoolID][]int
}

// Assign spreads pools over the routers of a view by rendezvous hashing, with no
// more pools on a router than an even spread needs. Leaving routers come last,
// so that a planned stop hands over in time.
func Assign(view *membership.View, ids []PoolID) *Assignment {
	a := &Assignment{view: view, order: make(map[PoolID][]int, len(ids))}
	hashes := make([]uint64, len(view.Routers))
	staying := 0
	for i, router := range view.Routers {
		hashes[i] = xxhash.Sum64String(router.Instance) >> 1
		if !router.Leaving {
			staying++
		}
	}
	room := (len(ids) + staying - 1) / max(1, staying)
	taken := make([]int, len(view.Routers))
	ids = slices.Clone(ids)
	slices.SortFunc(ids, func(x, y PoolID) int { return cmp.Compare(x.key(), y.key()) })
	for _, id := range ids {
		a.order[id] = a.assign(id, hashes, taken, room)
	}
	return a
}

// assign returns the routers for one pool: the best that has room, then the
// best of all.
func (a *Assignment) assign(id PoolID, hashes []uint64, taken []int, room int) []int {
	var best ranking
	first, firstScore := -1, uint64(0)
	key := id.key()
	for i, router := range a.view.Routers {
		score := entry.Mix(key, hashes[i]) >> 1
		if !router.Leaving {
			score |= 1 << 63
		}
		best.add(i, score)
		if score > firstScore && (router.Leaving || taken[i] < room) {
			first, firstScore = i, score
		}
	}
	if first < 0 {
		return nil
	}
	taken[first]++
	order := []int{first}
	for _, candidate := range best.entries[:best.count] {
		if candidate.index != first && len(order) < MaxObservers {
			order = append(order, candidate.index)
		}
	}
	return order
}

// ranking keeps the candidates with the highest scores, best first.
type ranking struct {
	entries [MaxObservers]struct {
		index int
		score uint64
	}
	count int
}

func (r *ranking) add(index int, score uint64) {
	at := r.count
	for at > 0 && r.entries[at-1].score < score {
		at--
	}
	if at == MaxObservers {
		return
	}
	r.count = min(r.count+1, MaxObservers)
	copy(r.entries[at+1:r.count], r.entries[at:r.count-1])
	r.entries[at].index, r.entries[at].score = index, score
}

// First returns the router that comes first as observer of a pool, or the zero
// Router.
func (a *Assignment) First(id PoolID) membership.Router {
	if order := a.order[id]; len(order) > 0 {
		return a.view.Routers[order[0]]
	}
	return membership.Router{}
}

// At returns the router that comes at a place in the order of a pool's
// observers, from zero.
func (a *Assignment) At(id PoolID, place int) (membership.Router, bool) {
	order := a.order[id]
	if place >= len(order) {
		return membership.Router{}, false
	}
	return a.view.Routers[order[place]], true
}
