package config

import (
	"maps"
	"slices"
	"time"

	"gentianhead/core/version/resource"
)

// sourceKey names the store or one peer.
type sourceKey struct {
	source   Source
	instance string
}

// backoff is how often a source failed in a row, and when it may be asked again.
type backoff struct {
	failures int
	until    time.Duration
}

func (f Fetch) key() sourceKey {
	return sourceKey{f.Source, f.Instance}
}

// land ends the fetch in flight if it is this one. The answer to an earlier
// fetch may have been applied, but says nothing about the one in flight.
func (c *Core) land(id FetchID, progressed bool) {
	if c.flight == nil || c.flight.fetch.ID != id {
		return
	}
	key := c.flight.fetch.key()
	c.flight = nil
	if progressed {
		delete(c.backoffs, key)
		c.peerFailures = 0
		return
	}
	c.fail(key)
}

func (c *Core) fail(key sourceKey) {
	if key.source == SourcePeer {
		c.peerFailures++
	} else {
		c.peerFailures = 0
	}
	failed := c.backoffs[key]
	wait := FirstBackoff << min(failed.failures, 10)
	failed.failures++
	failed.until = c.elapsed + min(wait, MaxBackoff)
	c.backoffs[key] = failed
}

// plan chooses the next fetch, if one is needed and none is in flight.
func (c *Core) plan() {
	c.next = nil
	if c.flight != nil || c.target() <= c.held.Revision() {
		return
	}
	key, ok := c.choose()
	if !ok {
		return
	}
	c.lastID++
	c.next = &Fetch{ID: c.lastID, Source: key.source, Instance: key.instance, After: c.held.Revision()}
}

// target is the highest revision known to exist.
func (c *Core) target() resource.Revision {
	return max(c.storeHead, c.floor, c.bestPeer)
}

// choose prefers the peers with the highest revision, to spare the store, and
// the store once peers have failed.
func (c *Core) choose() (sourceKey, bool) {
	store := sourceKey{source: SourceStore}
	storeFree := c.backoffs[store].until <= c.elapsed
	if storeFree && c.peerFailures >= PeerFailuresBeforeStore {
		return store, true
	}
	if peers := c.bestPeers(); len(peers) > 0 {
		return sourceKey{SourcePeer, peers[c.random.IntN(len(peers))]}, true
	}
	return store, storeFree
}

// bestPeers returns the peers outside their backoff that have the highest
// revision above the one held, sorted.
func (c *Core) bestPeers() []string {
	best := c.held.Revision()
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
		if revision == best && revision > c.held.Revision() {
			peers = append(peers, instance)
		}
	}
	return peers
}

// tickWithin returns the time until the fetch in flight is late or, when every
// source is in its backoff, until the first may be asked.
func (c *Core) tickWithin() time.Duration {
	if c.flight != nil {
		return max(c.flight.deadline-c.elapsed, 1)
	}
	if c.next != nil || c.target() <= c.held.Revision() {
		return 0
	}
	wait := MaxBackoff
	for _, b := range c.backoffs {
		if b.until > c.elapsed {
			wait = min(wait, b.until-c.elapsed)
		}
	}
	return wait
}
