package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianhead/core/process/entry"
	"gentianhead/core/process/membership"
)

// HomeRouter returns the home router of an account, which divides the account's
// limit.
func HomeRouter(view *membership.View, account string) membership.Router {
	key := xxhash.Sum64String(account)
	var best membership.Router
	var bestScore uint64
	for _, router := range view.Routers {
		if router.Leaving {
			continue
		}
		if score := entry.Mix(key, xxhash.Sum64String(router.Instance)); score >= bestScore {
			best, bestScore = router, score
		}
	}
	return best
}

// SetRouters sets the number of routers that are considered live.
func (allocator *Allocator) SetRouters(count int) {
	allocator.shareLifetime = ShareIntervals * Interval(count)
	allocator.routers = max(1, count)
}

// allocation is the demand that one router reported and the share it was given.
type allocation struct {
	demand float64
	share  float64
	at     time.Time
}

// Allocator runs on the home router: it divides the limits of accounts among
// routers.
type Allocator struct {
	// shareLifetime is how long a share counts as in use after the latest report.
	shareLifetime time.Duration
	routers       int
	accounts      map[string]map[string]allocation
}

// NewAllocator returns an Allocator without reported demand.
func NewAllocator() *Allocator {
	return &Allocator{shareLifetime: ShareIntervals * Interval(1), routers: 1, accounts: make(map[string]map[string]allocation)}
}

// Allocate records one router's demand and returns its share of limit. Shares in use
// and the rates that routers without a report may use never sum to more than the
// limit: a router gets at most what the others don't hold, and their shares shrink
// as they report.
func (allocator *Allocator) Allocate(now time.Time, demand Demand, limit float64) Share {
	allocations, ok := allocator.accounts[demand.Account]
	if !ok {
		allocations = make(map[string]allocation)
		allocator.accounts[demand.Account] = allocations
	}
	held := 0.0
	total := demand.Rate
	count := 1
	for router, a := range allocations {
		if now.Sub(a.at) > allocator.shareLifetime {
			delete(allocations, router)
			continue
		}
		if router != demand.Router {
			held += a.share
			total += a.demand
			count++
		}
	}
	limit -= unreportedFraction * limit * float64(max(0, allocator.routers-count)) / float64(allocator.routers)
	rate := min(split(limit, demand.Rate, total, count), max(0, limit-held))
	allocations[demand.Router] = allocation{demand: demand.Rate, share: rate, at: now}
	return Share{Account: demand.Account, Rate: rate}
}

// split returns the demand plus an equal part of what the total demand leaves of
// the limit. When the total is above the limit, shares are proportional to demand,
// except for a tenth that is divided equally so that no router gets a zero share.
func split(limit, demand, total float64, count int) float64 {
	if total <= limit {
		return demand + (limit-total)/float64(count)
	}
	const equalFraction = 0.1
	return limit * (equalFraction/float64(count) + (1-equalFraction)*demand/total)
}

// Tick drops expired shares and accounts without any.
func (allocator *Allocator) Tick(now time.Time) {
	for account, allocations := range allocator.accounts {
		for router, a := range allocations {
			if now.Sub(a.at) > allocator.shareLifetime {
				delete(allocations, router)
			}
		}
		if len(allocations) == 0 {
			delete(allocator.accounts, account)
		}
	}
}
