package hosted

import (
	"context"
	"log/slog"
	"time"

	"github.com/samber/lo"

	"gentianhead/core/process/endpoints"
	"gentianhead/core/process/presence"
	"gentianhead/core/process/staleness"
	"gentianhead/core/process/table"
	"gentianhead/fleet/process/watch"
	"gentianhead/platform"
)

// maxRowsPerBeacon and maxRowBytesPerBeacon limit the rows in one beacon, whose datagram is
// limited. An entry takes a few hundred bytes, but other writers' rows may be larger.
const (
	maxRowsPerBeacon     = 40
	maxRowBytesPerBeacon = 16 << 10
)

// maxLoggedEntries is the number of entries changed at once above which only those of
// draining endpoints are logged: at a start, each router reads the whole table. The
// endpoints that requests were sent to are in the requests' own lines.
const maxLoggedEntries = 20

func (c *control) handleEndpoints(now time.Duration, update watch.Update) {
	// A table read anew in a new era is passed on like changes, so that the other routers
	// don't read it all at once.
	isPassedOn := !update.IsSnapshot || c.state.hasEndpoints && update.Revision.Era > c.sync.newest.Era
	rows := c.sync.newer(update.Rows)
	if update.IsSnapshot {
		rows = append(rows, c.sync.missing(update)...)
		c.state.hasEndpoints = true
	}
	if update.IsSnapshot {
		c.log.Info("The table of entries was read.", "rows", len(update.Rows), "changed", len(rows), "version", update.Revision.Version, "era", update.Revision.Era)
	}
	c.applyEntries(now, rows, false)
	c.staleness.Responded(staleness.Endpoints, update.CompleteAt)
	switch {
	case !isPassedOn || len(rows) == 0:
	case c.sync.isWatcher.Load():
		c.broadcastRows(now, rows)
	case c.presence.Group() != 0:
		// Its group lacks them as well, most likely.
		c.sendRows(now, c.presence.Direct(), rows, c.endpoints.IsSettled(now))
	}
}

// handleForwardedRows applies rows that another router read from the store. If that is
// in another group, it passes new ones on to its own.
func (c *control) handleForwardedRows(now time.Duration, received presence.Beacon) {
	if !c.state.hasEndpoints {
		return
	}
	rows := c.sync.newer(received.EndpointChanges)
	if received.IsSettled {
		// Known removals whose endpoints were kept as lapsed become final.
		rows = append(rows, lo.Filter(received.EndpointChanges, func(row table.Row, _ int) bool {
			return row.IsRemoved && c.sync.rows[row.Key].revision == row.Revision() && c.endpoints.IsLapsed(row.Key)
		})...)
	}
	if len(rows) == 0 {
		return
	}
	c.applyEntries(now, rows, received.IsSettled)
	if !c.presence.CountsDirectly(&received) {
		c.sendRows(now, c.presence.Direct(), rows, received.IsSettled)
	}
}

// applyEntries applies rows newer than the known ones. isSettled means that removed
// rows are final, regardless of this router's own contact with the store.
func (c *control) applyEntries(now time.Duration, rows []table.Row, isSettled bool) {
	var written []endpoints.Entry
	// odd are the entries that name no endpoint. They weren't removed, so they can't have
	// expired while the store was away.
	var removed, odd []string
	for _, row := range rows {
		if row.IsRemoved {
			c.log.Info("An endpoint's entry was removed.", "endpoint", row.Key, "rowVersion", row.Version, "era", row.Era)
			removed = append(removed, row.Key)
			continue
		}
		entry, err := platform.DecodeEndpoint(row.Key, row.Value)
		if err != nil {
			c.log.Warn("An endpoint's entry can't be read.", "error", err)
			odd = append(odd, row.Key)
			continue
		}
		level := slog.LevelInfo
		if len(rows) > maxLoggedEntries && !entry.IsDraining {
			level = slog.LevelDebug
		}
		c.log.Log(context.Background(), level, "An endpoint's entry changed.", "endpoint", entry.ID, "service", entry.Service, "address", entry.Address,
			"isDraining", entry.IsDraining, "rowVersion", row.Version)
		written = append(written, entry)
	}
	if len(rows) == 0 {
		return
	}
	if isSettled {
		c.endpoints.ApplySettled(now, written, removed)
	} else {
		c.endpoints.Apply(now, written, removed)
	}
	if len(odd) > 0 {
		c.endpoints.ApplySettled(now, nil, odd)
	}
	c.endpointsChanged("entries changed")
}

// broadcastRows immediately sends rows read from the store to the routers that pass
// them on to all others.
func (c *control) broadcastRows(now time.Duration, rows []table.Row) {
	c.sendRows(now, c.neighbors(now), rows, c.endpoints.IsSettled(now))
}

func (c *control) sendRows(now time.Duration, to []string, rows []table.Row, isSettled bool) {
	for _, part := range partsOf(rows) {
		c.sendBeacons(now, to, func(b *presence.Beacon) { b.EndpointChanges, b.IsSettled = part, isSettled })
	}
}

// partsOf divides rows into parts that fit into one beacon each. It leaves out rows that
// don't fit into any: other routers notice by their hash that they lack them.
func partsOf(rows []table.Row) [][]table.Row {
	var parts [][]table.Row
	bytes := 0
	for _, row := range rows {
		size := len(row.Key) + len(row.Value)
		if size > maxRowBytesPerBeacon {
			continue
		}
		last := len(parts) - 1
		if last < 0 || len(parts[last]) == maxRowsPerBeacon || bytes+size > maxRowBytesPerBeacon {
			parts, last, bytes = append(parts, nil), last+1, 0
		}
		parts[last] = append(parts[last], row)
		bytes += size
	}
	return parts
}

func (c *control) endpointsChanged(reason string) {
	view := c.endpoints.View()
	c.balancer.SetView(view)
	c.state.endpointCount = view.Len()
	c.publish()
	c.log.Info("Endpoints in service changed.", "reason", reason, "endpoints", view.Len())
}
