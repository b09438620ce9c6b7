package engine

import "expvar"

// Metrics of resume and cancel calls. skippedCancels counts the calls not sent
// because of maxConcurrentCancels.
var (
	resumes        = expvar.NewInt("engine.resumes")
	cancels        = expvar.NewInt("engine.cancels")
	skippedCancels = expvar.NewInt("engine.cancelsLeftOut")
	// discardedEvents counts duplicate events and events after the last one.
	discardedEvents = expvar.NewInt("engine.eventsDiscarded")
)
