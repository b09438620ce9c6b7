package relay

import "gentianhead/core/version/routetable"

// currentHomes returns the regions to which the request may be sent: those that its route and
// account allowed when it arrived and still allow. A request may wait, or be sent again, long
// after a list was made shorter.
func (c *call) currentHomes(state State) routetable.Homes {
	homes := c.route.Homes
	if c.account != nil {
		homes = homes.And(c.account.Homes)
	}
	if state.Table == nil || state.Table.Version == c.version {
		return homes
	}
	if route, found := state.Table.Match(c.r.Host, routetable.DecodePath(pathOf(c.target))); found {
		homes = homes.And(route.Homes)
	}
	if c.account != nil {
		if account, known := state.Table.Account(c.metadata.Credential); known {
			homes = homes.And(account.Homes)
		}
	}
	return homes
}
