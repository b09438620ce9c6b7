package balance

import (
	"github.com/samber/lo"

	"gentianhead/core/process/endpoints"
	"gentianhead/core/version/routetable"
)

// SetRegions replaces the regions of zones. An endpoint in another zone has no known region.
func (c *Core) SetRegions(regions map[string]string) { c.regions = regions }

// IsInRegions reports whether an endpoint may get requests that may be sent to some regions
// only.
func (c *Core) IsInRegions(e endpoints.Entry, regions routetable.Homes) bool {
	return regions.Allows(c.regions[e.Zone])
}

// inRegions returns the endpoints that IsInRegions allows.
func (c *Core) inRegions(entries []endpoints.Entry, regions routetable.Homes) []endpoints.Entry {
	if !regions.IsRestricted() {
		return entries
	}
	return lo.Filter(entries, func(e endpoints.Entry, _ int) bool { return c.IsInRegions(e, regions) })
}

// Withhold makes IsWithheld true: the request of the placement may not be sent to its endpoint.
func (c *Core) Withhold(p *Placement) { p.isWithheld = true }
