package staleness_test

import (
	"slices"
	"time"

	"gentianhead/core/process/evacuation"
	"gentianhead/core/process/table"
)

// zones are the evacuated zones of a fleet's store.
type zones struct {
	// history has the rows of each change of the table of the configuration so far; a change
	// without a zone is one of another row.
	history []evacuation.Row
	// since is when each zone was evacuated, and until when each evacuation ended.
	since, until map[string]time.Duration
	// tooLate counts ticks of routers in touch that may send to a zone too late, and unused those
	// that don't use one again in time. latestKnown is the longest time until one knew of a zone.
	tooLate, unused int
	latestKnown     time.Duration
}

// setZone writes or removes the row of a zone.
func (f *fleet) setZone(zone string, isRemoved bool) {
	if f.since == nil {
		f.since, f.until = make(map[string]time.Duration), make(map[string]time.Duration)
	}
	f.write(0)
	for len(f.history) < int(f.versions[0]) {
		f.history = append(f.history, evacuation.Row{})
	}
	f.history[f.versions[0]-1] = evacuation.Row{Zone: zone, Revision: table.Revision{Version: uint64(f.versions[0])}, IsRemoved: isRemoved}
	if isRemoved {
		f.until[zone] = f.now
		delete(f.since, zone)
	} else {
		f.since[zone] = f.now
		delete(f.until, zone)
	}
}

// readZones lets a router read the table as of a version: whole, or its changes.
func (f *fleet) readZones(r *router, version int64) {
	isSnapshot := r.followed == 0
	from := int64(0)
	if !isSnapshot {
		from = r.followed
	}
	r.followed = version
	current := make(map[string]evacuation.Row)
	for _, row := range f.history[min(from, int64(len(f.history))):min(max(from, version), int64(len(f.history)))] {
		if row.Zone != "" {
			current[row.Zone] = row
		}
	}
	var rows []evacuation.Row
	for _, row := range current {
		if !isSnapshot || !row.IsRemoved {
			rows = append(rows, row)
		}
	}
	r.evacuation.Read(f.now, table.Revision{Version: uint64(version)}, isSnapshot, rows)
}

// checkZones counts what a router would send to zones that were evacuated too long ago, and what
// it would not send to those that were given back.
func (f *fleet) checkZones(r *router) {
	if r.isCut || f.now-r.disturbed < calm || !r.evacuation.IsKnown() {
		return
	}
	known := r.evacuation.Zones(f.now)
	for zone, since := range f.since {
		if !slices.Contains(known, zone) {
			f.latestKnown = max(f.latestKnown, f.now-since)
			if f.now-since > f.bounds.Tables[0]-sendTime {
				f.tooLate++
			}
		}
	}
	for zone, until := range f.until {
		if slices.Contains(known, zone) && f.now-until > f.bounds.Tables[0]-sendTime {
			f.unused++
		}
	}
}

// planZones evacuates zones in turn and overlapping, one of them twice, while other changes and
// troubles go on.
func (f *fleet) planZones() {
	for i, step := range []struct {
		zone      string
		isRemoved bool
	}{{"a", false}, {"b", false}, {"a", true}, {"a", false}, {"b", true}, {"c", false}, {"a", true}} {
		f.queue.Add(f.now+time.Duration(300+1300*i)*ms, func() { f.setZone(step.zone, step.isRemoved) })
	}
}
