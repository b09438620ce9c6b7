package hosted

import (
	"math/rand/v2"
	"time"
)

// registerSpread is the time over which the routers register again in a new era of the
// store, so that they don't all write at once.
const registerSpread = 2 * time.Second

// raiseEra handles a new era of the store: it was away and has come back from an older
// copy. What it had acknowledged since that copy is lost, and its versions are given out
// again. The operator and the endpoints write their rows again; the routers do so for
// their own.
//
// Followers read their tables anew when they see the era themselves. Until endpoints
// have written their entries again, missing ones count as after an outage.
func (c *control) raiseEra(now time.Duration, era uint64) {
	if era <= c.sync.era {
		return
	}
	before := c.sync.era
	c.sync.era = era
	c.evacuations.RaiseEra(now, era)
	c.publish()
	if !c.state.hasEndpoints && c.state.table == nil {
		// The first era that this router learns of.
		return
	}
	c.endpoints.StoreRestored(now)
	c.quarantine.stored = ""
	c.log.Warn("The store has come back from an older copy.", "era", era, "before", before,
		"configuration", c.storedVersion, "rows", len(c.sync.rows), "endpoints", c.state.endpointCount)
	if c.sync.isWatcher.Load() {
		for _, follower := range c.sync.followers {
			follower.Refresh()
		}
	}
	if c.registerAgain != nil {
		time.AfterFunc(rand.N(registerSpread), c.registerAgain)
	}
}
