package balance

import (
	"slices"
	"time"

	"gentianhead/core/process/presence"
	"gentianhead/core/request/exchange"
)

const (
	// cacheTTLFactor times the prefix lifetime is how long an engine is expected to
	// hold a part after its last use.
	cacheTTLFactor = 3
	// maxCachedParts bounds the parts tracked per engine.
	maxCachedParts = 4096
	// maxRecentPlacements bounds the placements that are reported to other routers.
	maxRecentPlacements = 256
)

// cache is a router's estimate of the parts that one engine holds. A wrong entry
// costs time, never correctness.
type cache struct {
	ttl   time.Duration
	parts map[presence.Key]cachedPart
}

type cachedPart struct {
	usedAt time.Duration
	// isShared marks parts that are reported to other routers.
	isShared bool
}

func newCache(ttl time.Duration) *cache {
	return &cache{ttl: cacheTTLFactor * ttl, parts: make(map[presence.Key]cachedPart)}
}

// add records that a request with this part went to the engine, or that the engine
// holds it.
func (c *cache) add(now time.Duration, part presence.Key, isShared bool) {
	if len(c.parts) >= maxCachedParts {
		for key, part := range c.parts {
			if now-part.usedAt > c.ttl {
				delete(c.parts, key)
			}
		}
	}
	if len(c.parts) >= maxCachedParts {
		clear(c.parts)
	}
	c.parts[part] = cachedPart{usedAt: now, isShared: isShared || c.parts[part].isShared}
}

// prefix returns the number of leading parts that are held. A part is prefilled
// after all parts before it, so these are held too.
func (c *cache) prefix(now time.Duration, keys []presence.Key) int {
	count := len(keys)
	for ; count > 0; count-- {
		part, held := c.parts[keys[count-1]]
		if held && now-part.usedAt <= c.ttl {
			break
		}
	}
	return count
}

// sharedPart returns the last shared part of a prompt: the one before the final part.
func sharedPart(prompt *exchange.Prompt) (exchange.Part, bool) {
	if prompt == nil || len(prompt.Parts) < 2 {
		return exchange.Part{}, false
	}
	return prompt.Parts[len(prompt.Parts)-2], true
}

type recentPlacement struct {
	at     time.Duration
	placed presence.Placed
}

// recentPlacements is a ring buffer of the latest placements of shared parts.
type recentPlacements struct {
	ring [maxRecentPlacements]recentPlacement
	next int
}

func (r *recentPlacements) add(now time.Duration, placed presence.Placed) {
	r.ring[r.next] = recentPlacement{at: now, placed: placed}
	r.next = (r.next + 1) % maxRecentPlacements
}

// since returns the placements made at from or later, without duplicates.
func (r *recentPlacements) since(from time.Duration) []presence.Placed {
	var found []presence.Placed
	seen := make(map[presence.Placed]bool)
	for _, p := range r.ring {
		if p.at >= from && p.placed != (presence.Placed{}) && !seen[p.placed] {
			seen[p.placed] = true
			found = append(found, p.placed)
		}
	}
	return found
}

// RecordCachedParts records the parts that an engine reports as cached, and returns
// those to report to other routers, the longest first.
func (c *Core) RecordCachedParts(now time.Duration, id string, parts []exchange.Part) []presence.Placed {
	state, known := c.states[id]
	if !known {
		return nil
	}
	var reportable []presence.Placed
	longestFirst := slices.SortedFunc(slices.Values(parts), func(a, b exchange.Part) int { return b.Tokens - a.Tokens })
	for _, part := range longestFirst {
		key, isLong := presence.KeyOf(part.ID), part.Tokens >= minCopyTokens
		state.cache.add(now, key, isLong)
		if isLong {
			reportable = append(reportable, presence.Placed{Part: key, Endpoint: presence.KeyOf(id)})
		}
	}
	return reportable
}

// Cached returns the shared parts that engines are expected to hold.
func (c *Core) Cached(now time.Duration) []presence.Placed {
	var held []presence.Placed
	for id, state := range c.states {
		for key, part := range state.cache.parts {
			if part.isShared && now-part.usedAt <= state.cache.ttl {
				held = append(held, presence.Placed{Part: key, Endpoint: presence.KeyOf(id)})
			}
		}
	}
	return held
}
