package reservation

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gentianhead/core/process/entry"
	"gentianhead/core/process/membership"
)

// MaxObservers is the number of routers that are tried in turn for a pool.
const MaxObservers = 4

// Assignment ranks the observers of each pool in a view. It is immutable.
type Assignment struct {
	view  *membership.View
	order map[PoolID][]int
}

// Assign distributes pools over the routers of a view by rendezvous hashing, with
// no more pools on a router than an even distribution needs. Leaving routers rank
// last so that a planned shutdown hands over its pools in time.
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
	maxPools := (len(ids) + staying - 1) / max(1, staying)
	assigned := make([]int, len(view.Routers))
	ids = slices.Clone(ids)
	slices.SortFunc(ids, func(x, y PoolID) int { return cmp.Compare(x.key(), y.key()) })
	for _, id := range ids {
		a.order[id] = a.assign(id, hashes, assigned, maxPools)
	}
	return a
}

// assign returns the ranked routers for one pool: the highest score below
// maxPools first, then the highest scores of all.
func (a *Assignment) assign(id PoolID, hashes []uint64, assigned []int, maxPools int) []int {
	var best ranking
	first, firstScore := -1, uint64(0)
	key := id.key()
	for i, router := range a.view.Routers {
		score := entry.Mix(key, hashes[i]) >> 1
		if !router.Leaving {
			// The top bit ranks these above all leaving routers.
			score |= 1 << 63
		}
		best.add(i, score)
		if score > firstScore && (router.Leaving || assigned[i] < maxPools) {
			first, firstScore = i, score
		}
	}
	if first < 0 {
		return nil
	}
	assigned[first]++
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

// First returns the first-ranked observer of a pool, or the zero Router.
func (a *Assignment) First(id PoolID) membership.Router {
	if order := a.order[id]; len(order) > 0 {
		return a.view.Routers[order[0]]
	}
	return membership.Router{}
}

// At returns the observer of a pool at a rank, counted from zero.
func (a *Assignment) At(id PoolID, rank int) (membership.Router, bool) {
	order := a.order[id]
	if rank >= len(order) {
		return membership.Router{}, false
	}
	return a.view.Routers[order[rank]], true
}
