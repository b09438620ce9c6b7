package hosted

import (
	"time"

	"github.com/samber/lo"

	"gentianhead/core/process/presence"
)

const (
	// liveLogInterval is the minimum time between two log lines about live routers. At a
	// start of all, each router discovers all others within a second.
	liveLogInterval = time.Second
	// maxLoggedNames limits the instances named in one line.
	maxLoggedNames = 8
)

// liveLog summarizes the changes of the live routers for the log.
type liveLog struct {
	loggedAt time.Duration
	// discovered counts the routers that were heard for the first time since the latest
	// line, and names holds the live routers at that line.
	discovered int
	names      []string
}

// logLive logs the changes of the live routers since the latest line, if it is due.
func (c *control) logLive(now time.Duration) {
	if c.liveLog.loggedAt != 0 && now-c.liveLog.loggedAt < liveLogInterval {
		return
	}
	names := lo.Map(c.state.live, func(m *presence.Member, _ int) string { return m.Instance })
	gone, joined := lo.Difference(c.liveLog.names, names)
	if len(gone)+len(joined)+c.liveLog.discovered == 0 {
		return
	}
	c.log.Info("Live routers changed.", "live", len(names), "before", len(c.liveLog.names),
		"joined", len(joined), "gone", len(gone), "discovered", c.liveLog.discovered,
		"joinedInstances", joined[:min(len(joined), maxLoggedNames)], "goneInstances", gone[:min(len(gone), maxLoggedNames)])
	c.liveLog = liveLog{loggedAt: now, names: names}
}
