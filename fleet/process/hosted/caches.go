package hosted

import (
	"context"
	"slices"
	"time"

	"gentianhead/core/process/endpoints"
	"gentianhead/core/process/evacuation"
	"gentianhead/core/process/presence"
	"gentianhead/core/request/exchange"
)

const (
	// maxPlacementsPerBeacon limits the placements in one beacon. Each takes 11 bytes
	// of the datagram.
	maxPlacementsPerBeacon = 1500
	// maxInitialPlacements limits the placements sent to a router at its start, in
	// total: 130 KB, 0.1 s on the slowest links. If all routers start at once, each
	// sends an equal share.
	maxInitialPlacements = 12000
)

// cacheReader queries engines for their cached prompt parts.
type cacheReader interface {
	CachedParts(ctx context.Context, address string) (parts []exchange.Part, unreadable int, err error)
}

// cacheReported is the event for the result of one engine query.
type cacheReported struct {
	engine     endpoints.Entry
	parts      []exchange.Part
	unreadable int
	err        error
}

// cacheQueriesDone is the event after all engines in this router's share were queried.
type cacheQueriesDone struct{}

// queryCaches queries this router's share of the engines for their cached parts, if
// no other router knows them.
func (c *control) queryCaches(now time.Duration) {
	if c.state.table == nil || !c.state.hasEndpoints || !c.handover.ShouldQueryEngines(now, c.state.live) {
		return
	}
	var share []endpoints.Entry
	for _, e := range c.endpoints.View().All() {
		service, known := c.state.table.Service(e.Service)
		// A query is a request, and an engine whose service states a rate for cold ones may crash.
		isCold := known && service.ColdPerSecond > 0 && e.ColdUntil(service.ColdStart) > now
		isExcluded := isCold || evacuation.Contains(c.state.evacuated, e.Zone)
		if known && !isExcluded && service.Engine != nil && c.handover.IsOwnEngine(e.ID, c.state.live) {
			share = append(share, e)
		}
	}
	c.placementsLeft = maxInitialPlacements / (len(c.state.live) + 1)
	c.log.Info("Querying the caches of engines.", "engines", len(share), "live", len(c.state.live))
	go func() {
		for _, e := range share {
			if evacuation.Contains(c.current.Load().evacuated, e.Zone) {
				continue
			}
			report := cacheReported{engine: e}
			report.parts, report.unreadable, report.err = c.engines.CachedParts(context.Background(), e.Address)
			c.events <- report
		}
		c.events <- cacheQueriesDone{}
	}()
}

func (c *control) handleCacheReport(now time.Duration, report cacheReported) {
	if report.err != nil {
		c.log.Warn("Querying the cache of an engine failed.", "endpoint", report.engine.ID, "error", report.err)
		return
	}
	selected := c.balancer.RecordCachedParts(report.engine.ID, report.parts)
	selected = selected[:min(len(selected), c.placementsLeft)]
	c.placementsLeft -= len(selected)
	c.log.Info("An engine reported its cache.", "endpoint", report.engine.ID, "parts", len(report.parts),
		"told", len(selected), "unreadable", report.unreadable)
	c.sendPlacements(now, c.presence.MemberAddresses(), selected)
}

// sendCaches sends the known caches to a router that has just started.
func (c *control) sendCaches(now time.Duration, received presence.Beacon) {
	if !c.handover.ShouldInform(received, c.state.live) {
		return
	}
	cached := c.balancer.Cached()
	cached = cached[:min(len(cached), maxInitialPlacements)]
	c.log.Info("Sending the known caches to a router.", "instance", received.Instance, "parts", len(cached))
	c.sendPlacements(now, []string{received.Peer}, cached)
}

func (c *control) sendPlacements(now time.Duration, to []string, placed []presence.Placed) {
	for part := range slices.Chunk(placed, maxPlacementsPerBeacon) {
		c.sendBeacons(now, to, func(b *presence.Beacon) { b.Placed = part })
	}
}
