package node

import (
	"expvar"
	"sync/atomic"

	"gentianhead/fleet/process/control"
)

// activeLoop is the control loop that the metrics are read from.
var activeLoop atomic.Pointer[control.Loop]

func init() {
	publish("control.eventsDropped", func(l *control.Loop) any { return l.DroppedEvents() })
	publish("control.revision", func(l *control.Loop) any { return l.State().Config.Revision() })
	publish("control.isolated", func(l *control.Loop) any { return l.IsIsolated() })
	publish("control.withdrawn", func(l *control.Loop) any { return l.State().Withdrawn.Len() })
	publish("control.routers", func(l *control.Loop) any { return len(l.State().View.Routers) })
}

// publish exports a value of the running control loop as a metric.
func publish(name string, value func(*control.Loop) any) {
	expvar.Publish(name, expvar.Func(func() any {
		loop := activeLoop.Load()
		if loop == nil {
			return nil
		}
		return value(loop)
	}))
}
