package quarantine

import (
	"time"

	"gentianhead/core/process/presence"
)

// counts counts events by part over the last one to two windows of evidenceTTL/2.
type counts struct {
	window            int64
	current, previous map[presence.PartKey]tally
}

// tally is the number of events and the time of the latest one.
type tally struct {
	count  int
	lastAt time.Duration
}

func newCounts() counts {
	return counts{current: make(map[presence.PartKey]tally), previous: make(map[presence.PartKey]tally)}
}

func (c *counts) advance(now time.Duration) {
	window := int64(now / (evidenceTTL / 2))
	if window == c.window {
		return
	}
	if window == c.window+1 {
		c.previous, c.current = c.current, c.previous
	} else {
		clear(c.previous)
	}
	clear(c.current)
	c.window = window
}

// add counts an event. Above maxParts, new parts are left out until the next window.
func (c *counts) add(now time.Duration, part presence.PartKey) {
	c.advance(now)
	if known, isKnown := c.current[part]; isKnown || len(c.current) < maxParts {
		c.current[part] = tally{known.count + 1, now}
	}
}

func (c *counts) count(now time.Duration, part presence.PartKey) int {
	return c.tally(now, part).count
}

// tally returns the events of a part.
func (c *counts) tally(now time.Duration, part presence.PartKey) tally {
	c.advance(now)
	current, previous := c.current[part], c.previous[part]
	return tally{current.count + previous.count, max(current.lastAt, previous.lastAt)}
}
