package config

import (
	"maps"
	"slices"
	"time"

	"gentianhead/core/version/resource"
)

// sourceKey identifies the store or one peer.
type sourceKey struct {
	source   Source
	instance string
}

// backoff holds the consecutive failures of a source and its earliest retry.
type backoff struct {
	failures int
	until    time.Duration
}

func (f Fetch) key() sourceKey {
	return sourceKey{f.Source, f.Instance}
}

// finishFetch ends the fetch in flight if it has this ID. An answer to an earlier
// fetch may have been applied but does not end the one in flight.
func (c *Core) finishFetch(id FetchID, progressed bool) {
	if c.inFlight == nil || c.inFlight.fetch.ID != id {
		return
	}
	key := c.inFlight.fetch.key()
	c.inFlight = nil
	if progressed {
		delete(c.backoffs, key)
		c.peerFailures = 0
		return
	}
	c.recordFailure(key)
}

func (c *Core) recordFailure(key sourceKey) {
	if key.source == SourcePeer {
		c.peerFailures++
	} else {
		c.peerFailures = 0
	}
	entry := c.backoffs[key]
	wait := InitialBackoff << min(entry.failures, 10) // 10 avoids an overflow
	entry.failures++
	entry.until = c.elapsed + min(wait, MaxBackoff)
	c.backoffs[key] = entry
}

// planFetch schedules the next fetch if one is needed and none is in flight.
func (c *Core) planFetch() {
	c.next = nil
	if c.inFlight != nil || c.targetRevision() <= c.latest.Revision() {
		return
	}
	key, ok := c.chooseSource()
	if !ok {
		return
	}
	c.lastID++
	c.next = &Fetch{ID: c.lastID, Source: key.source, Instance: key.instance, After: c.latest.Revision()}
}

// targetRevision is the highest revision known to exist.
func (c *Core) targetRevision() resource.Revision {
	return max(c.storeHead, c.confirmedHead, c.highestPeerRevision)
}

// chooseSource prefers the peers with the highest revision, to limit the load on
// the store, and the store after repeated peer failures.
func (c *Core) chooseSource() (sourceKey, bool) {
	store := sourceKey{source: SourceStore}
	isStoreAvailable := c.storeAvailableAt() <= c.elapsed
	if isStoreAvailable && c.peerFailures >= PeerFailuresBeforeStore {
		return store, true
	}
	if peers := c.highestPeers(); len(peers) > 0 {
		return sourceKey{SourcePeer, peers[c.random.IntN(len(peers))]}, true
	}
	return store, isStoreAvailable
}

func (c *Core) storeAvailableAt() time.Duration {
	until := c.backoffs[sourceKey{source: SourceStore}].until
	if c.latest.Revision() == 0 {
		return max(until, c.storeAllowedAt)
	}
	return until
}

// highestPeers returns the sorted peers, without those in backoff, that have the
// highest revision above the local one.
func (c *Core) highestPeers() []string {
	best := c.latest.Revision()
	var peers []string
	for _, instance := range slices.Sorted(maps.Keys(c.peers)) {
		revision := c.peers[instance].revision
		if c.backoffs[sourceKey{SourcePeer, instance}].until > c.elapsed {
			continue
		}
		if revision > best {
			best = revision
			peers = nil
		}
		if revision == best && revision > c.latest.Revision() {
			peers = append(peers, instance)
		}
	}
	return peers
}

// maxTickDelay returns the time until the fetch in flight times out or, when no
// source is available, at most the time until one is; zero if no timer is needed.
func (c *Core) maxTickDelay() time.Duration {
	if c.inFlight != nil {
		return max(c.inFlight.deadline-c.elapsed, 1)
	}
	if c.next != nil || c.targetRevision() <= c.latest.Revision() {
		return 0
	}
	wait := MaxBackoff
	if availableAt := c.storeAvailableAt(); availableAt > c.elapsed {
		wait = min(wait, availableAt-c.elapsed)
	}
	for _, b := range c.backoffs {
		if b.until > c.elapsed {
			wait = min(wait, b.until-c.elapsed)
		}
	}
	return wait
}
