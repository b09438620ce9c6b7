package balance

// Options are switches of a Core.
type Options struct {
	// IsPressured applies the decisions for endpoints under pressure to all services.
	IsPressured bool
}

// SetOptions replaces the options.
func (c *Core) SetOptions(options Options) { c.options = options }

// IsPressured reports whether the decisions for endpoints under pressure apply to a service.
func (c *Core) IsPressured(service string) bool { return c.isPressured(service) }

// isPressured reports whether the decisions for endpoints under pressure apply to a service:
// always with the option, and for a plain service once an endpoint of the deployment has
// stated a slowness.
func (c *Core) isPressured(service string) bool {
	if c.options.IsPressured || !c.isSlownessStated {
		return c.options.IsPressured
	}
	s, _ := c.table.Service(service)
	return s == nil || s.Engine == nil
}
