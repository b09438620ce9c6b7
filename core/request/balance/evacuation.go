package balance

import (
	"gentianhead/core/process/endpoints"
	"gentianhead/core/process/evacuation"
)

// SetEvacuated replaces the zones whose endpoints get no requests, sorted. They aren't sources
// of copies either. Requests in progress end where they are.
func (c *Core) SetEvacuated(zones []string) { c.evacuated = zones }

// isEvacuated reports whether an endpoint is in an evacuated zone.
func (c *Core) isEvacuated(e endpoints.Entry) bool {
	return len(c.evacuated) > 0 && evacuation.Contains(c.evacuated, e.Zone)
}

// IsEvacuated reports whether the endpoint of a placement is in an evacuated zone.
func (c *Core) IsEvacuated(p *Placement) bool { return c.isEvacuated(p.Endpoint) }

// EvacuatedWork returns the number of endpoints in evacuated zones, and of this router's
// requests in progress there.
func (c *Core) EvacuatedWork() (count, running int) {
	if len(c.evacuated) == 0 {
		return 0, 0
	}
	for _, state := range c.states {
		if c.isEvacuated(state.entry) {
			count++
			running += state.own.Running
		}
	}
	return count, running
}
