package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianhead/core/process/entry"
	"gentianhead/core/process/membership"
)

// HomeOf returns the router that splits an account's limit.
func HomeOf(view *membership.View, account string) membership.Router {
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

// SetRouters sets how many routers are believed live.
func (h *Home) SetRouters(count int) {
	h.life = ShareIntervals * Interval(count)
	h.routers = max(1, count)
}

// part is what one router asks for and was given.
type part struct {
	demand float64
	share  float64
	at     time.Time
}

// Home is the home's side: it splits the limits of accounts among routers.
type Home struct {
	// life is how long a share counts as in use without a new report.
	life     time.Duration
	routers  int
	accounts map[string]map[string]part
}

// NewHome returns a home that knows no demand.
func NewHome() *Home {
	return &Home{life: ShareIntervals * Interval(1), routers: 1, accounts: make(map[string]map[string]part)}
}

// Step takes one router's demand in and returns its share of limit. Shares that
// are in use, and what routers without a report may use, never add up to more
// than the limit: a router gets at most what the others do not hold, and what
// they hold shrinks as they report.
func (h *Home) Step(now time.Time, demand Demand, limit float64) Share {
	parts, ok := h.accounts[demand.Account]
	if !ok {
		parts = make(map[string]part)
		h.accounts[demand.Account] = parts
	}
	held := 0.0
	total := demand.Rate
	count := 1
	for router, p := range parts {
		if now.Sub(p.at) > h.life {
			delete(parts, router)
			continue
		}
		if router != demand.Router {
			held += p.share
			total += p.demand
			count++
		}
	}
	limit -= quietPart * limit * float64(max(0, h.routers-count)) / float64(h.routers)
	rate := min(split(limit, demand.Rate, total, count), max(0, limit-held))
	parts[demand.Router] = part{demand: demand.Rate, share: rate, at: now}
	return Share{Account: demand.Account, Rate: rate}
}

// split gives what is left beyond the demand in equal parts. When demand is
// above the limit, shares follow demand, but for a tenth that is split equally
// so that no router is left with nothing.
func split(limit, demand, total float64, count int) float64 {
	if total <= limit {
		return demand + (limit-total)/float64(count)
	}
	const equalPart = 0.1
	return limit * (equalPart/float64(count) + (1-equalPart)*demand/total)
}

// Tick forgets accounts that nobody reports.
func (h *Home) Tick(now time.Time) {
	for account, parts := range h.accounts {
		for router, p := range parts {
			if now.Sub(p.at) > h.life {
				delete(parts, router)
			}
		}
		if len(parts) == 0 {
			delete(h.accounts, account)
		}
	}
}
