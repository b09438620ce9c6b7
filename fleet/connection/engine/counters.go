package engine

import "expvar"

// Metrics of the recovery of answers.
var (
	resumes        = expvar.NewInt("engine.resumes")
	cancels        = expvar.NewInt("engine.cancels")
	skippedCancels = expvar.NewInt("engine.cancelsLeftOut")
	// discardedEvents counts dropped events.
	discardedEvents = expvar.NewInt("engine.eventsDiscarded")
)
