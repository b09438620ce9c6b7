package node

import (
	"expvar"
	"sync/atomic"

	"gentianhead/fleet/process/control"
)

// running is the control loop whose state the metrics show.
var running atomic.Pointer[control.Loop]

func init() {
	publish("control.eventsDropped", func(l *control.Loop) any { return l.Dropped() })
	publish("control.revision", func(l *control.Loop) any { return l.State().Config.Revision() })
	publish("control.routers", func(l *control.Loop) any { return len(l.State().View.Routers) })
}

// publish shows a value of the running control loop as a metric.
func publish(name string, value func(*control.Loop) any) {
	expvar.Publish(name, expvar.Func(func() any {
		loop := running.Load()
		if loop == nil {
			return nil
		}
		return value(loop)
	}))
}
