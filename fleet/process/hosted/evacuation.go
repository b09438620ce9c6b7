package hosted

import (
	"slices"
	"time"

	"gentianhead/core/process/evacuation"
	"gentianhead/core/process/presence"
	"gentianhead/core/process/staleness"
	"gentianhead/fleet/process/watch"
	"gentianhead/platform"
)

// sourceStore is the source of a set of evacuated zones that was read from the store.
const sourceStore = "store"

// readEvacuations applies the rows of a response that request the evacuation of zones. A change
// is passed on at once.
func (c *control) readEvacuations(now time.Duration, update watch.Update) {
	var rows []evacuation.Row
	for _, row := range update.Rows {
		zone, isEvacuation := platform.EvacuatedZone(row.Key)
		switch {
		case !isEvacuation:
		case zone == "" || len(zone) > evacuation.MaxZoneBytes:
			c.log.Warn("A row that requests an evacuation names no zone.", "key", row.Key)
		default:
			rows = append(rows, evacuation.Row{Zone: zone, Revision: row.Revision(), IsRemoved: row.IsRemoved})
		}
	}
	if skipped := c.evacuations.Read(now, update.Revision, update.IsSnapshot, rows); skipped > 0 {
		c.log.Warn("Rows that request evacuations were skipped, since there are too many.", "rows", skipped, "most", evacuation.MaxZones)
	}
	switch {
	case !c.evacuationsChanged(now, sourceStore):
	case c.sync.isWatcher.Load():
		c.sendBeacons(now, c.neighbors(now), nil)
	case c.presence.Group() != 0:
		// Its group lacks the change as well, most likely.
		c.sendBeacons(now, c.presence.Direct(), nil)
	}
}

// adoptEvacuations adopts the evacuated zones that another router knows. If that is in another
// group, it passes a change on to its own.
func (c *control) adoptEvacuations(now time.Duration, received presence.Beacon) {
	c.evacuations.Adopt(now, received.Evacuations)
	if c.evacuationsChanged(now, received.Instance) && !c.presence.CountsDirectly(&received) {
		c.sendBeacons(now, c.presence.Direct(), nil)
	}
}

// evacuationsChanged puts the evacuated zones in force and reports whether they have changed.
func (c *control) evacuationsChanged(now time.Duration, source string) bool {
	zones := c.evacuations.Zones(now)
	isFirst := c.evacuations.IsKnown() && !c.state.hasEvacuations
	isChanged := !slices.Equal(zones, c.state.evacuated)
	if !isChanged && !isFirst {
		return false
	}
	before := c.state.evacuated
	c.state.evacuated, c.state.hasEvacuations = zones, c.evacuations.IsKnown()
	c.balancer.SetEvacuated(zones)
	c.publish()
	if !isChanged {
		return false
	}
	endpoints := 0
	for _, e := range c.endpoints.View().All() {
		if evacuation.Contains(zones, e.Zone) {
			endpoints++
		}
	}
	revision := c.evacuations.Revision()
	age, _ := c.staleness.Age(now, staleness.Configuration)
	c.log.Warn("Evacuated zones changed.", "zones", zones, "before", before, "endpoints", endpoints, "source", source,
		"era", revision.Era, "version", revision.Version, "age", age, "bound", c.settings.Load().MaxEvacuationDelay)
	return true
}
