package hosted

import (
	"gentianhead/core/request/balance"
	"gentianhead/core/request/retry"
	"gentianhead/fleet/process/boottime"
	"gentianhead/platform"
)

type settingsChanged struct{ settings *platform.Settings }

// Reload applies the bounds and the seeds of changed settings. Addresses, names and
// process limits take effect at the next start.
func (r *Router) Reload(settings *platform.Settings) {
	r.control.events <- settingsChanged{settings}
}

func (c *control) handleSettings(changed *platform.Settings) {
	old := c.settings.Load()
	c.log.Info("Settings reloaded.", "changed", old.ChangedKeys(changed))
	c.settings.Store(old.WithBoundsOf(changed))
	c.state.lease = c.state.lease.WithBound(changed.MaxRevocationDelay)
	c.state.maxDelay = changed.MaxActivationDelay
	c.balancer.SetLimits(changed.LoadFactor, retryLimits(changed))
	c.applyBounds(changed)
	c.balancer.SetOptions(balance.Options{IsPressured: changed.HasPressure})
	c.addSeeds(boottime.Now())
	c.publish()
}

// applyBounds passes bounds to the balancer, and logs which settings were skipped.
func (c *control) applyBounds(settings *platform.Settings) {
	for _, skipped := range settings.Skipped {
		c.log.Warn("A setting was skipped.", "setting", skipped.Key, "line", skipped.Line, "reason", skipped.Reason)
	}
	c.balancer.SetRegions(settings.Regions)
	c.balancer.SetColdBounds(settings.ColdOverage, settings.ColdTolerance)
}

func retryLimits(settings *platform.Settings) retry.FleetLimits {
	return retry.FleetLimits{Ratio: settings.RetryRatio, Slack: settings.RetrySlack, Window: settings.RetryWindow}
}
