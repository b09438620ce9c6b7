package balance

import (
	"time"

	"gentianhead/core/request/exchange"
)

const (
	// cacheLifeFactor times the life of a prefix is how long a part is taken to be
	// held by an engine after its last use.
	cacheLifeFactor = 3
	// maxCachedParts bounds what is remembered of one engine.
	maxCachedParts = 4096
)

// cache is what a router takes to be cached on one engine. A wrong entry costs
// time, never correctness.
type cache struct {
	life  time.Duration
	parts map[string]time.Duration
}

func newCache(life time.Duration) *cache {
	return &cache{life: cacheLifeFactor * life, parts: make(map[string]time.Duration)}
}

// add notes that a request with these parts went to the engine.
func (c *cache) add(now time.Duration, parts []exchange.Part) {
	if len(c.parts)+len(parts) > maxCachedParts {
		for id, used := range c.parts {
			if now-used > c.life {
				delete(c.parts, id)
			}
		}
	}
	if len(c.parts)+len(parts) > maxCachedParts {
		clear(c.parts)
	}
	for _, part := range parts {
		c.parts[part.ID] = now
	}
}

// prefix returns the tokens and the number of the leading parts that are held. A
// part is of use only if all parts before it are held too.
func (c *cache) prefix(now time.Duration, parts []exchange.Part) (tokens, count int) {
	for _, part := range parts {
		used, held := c.parts[part.ID]
		if !held || now-used > c.life {
			break
		}
		tokens += part.Tokens
		count++
	}
	return tokens, count
}
