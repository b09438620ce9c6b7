package balance

// Options are the optional behaviors of a core.
type Options struct {
	// IsPressured applies the behavior under hard load to all services, also those whose
	// endpoints state no slowness.
	IsPressured bool
}

// SetOptions replaces the options.
func (c *Core) SetOptions(options Options) { c.options = options }

// IsPressured reports whether the behavior under hard load applies to a service.
func (c *Core) IsPressured(service string) bool { return c.isPressured(service) }

// isPressured reports whether the behavior under hard load applies to a service: because of
// the options, or since its endpoints state their slowness. For a plain service it suffices
// that some endpoint of the deployment does.
func (c *Core) isPressured(service string) bool {
	if c.options.IsPressured || c.statsFor(service).statesSlowness {
		return true
	}
	if s, _ := c.table.Service(service); s != nil && s.Engine != nil {
		return false
	}
	return c.isSlownessStated()
}

// isSlownessStated reports whether some endpoint of the deployment has stated its slowness.
func (c *Core) isSlownessStated() bool {
	for _, stats := range c.services {
		if stats.statesSlowness {
			return true
		}
	}
	return false
}
