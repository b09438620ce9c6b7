package quarantine

import (
	"time"

	"gentianhead/core/process/presence"
)

// counts counts events by part over the last one to two windows of evidenceTTL/2.
type counts struct {
	window            int64
	current, previous map[presence.PartKey]int
}

func newCounts() counts {
	return counts{current: make(map[presence.PartKey]int), previous: make(map[presence.PartKey]int)}
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
	if _, known := c.current[part]; known || len(c.current) < maxParts {
		c.current[part]++
	}
}

func (c *counts) count(now time.Duration, part presence.PartKey) int {
	c.advance(now)
	return c.current[part] + c.previous[part]
}
