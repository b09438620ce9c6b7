package engine

import "expvar"

// What was done to get whole answers, as metrics.
var (
	resumes        = expvar.NewInt("engine.resumes")
	cancels        = expvar.NewInt("engine.cancels")
	cancelsLeftOut = expvar.NewInt("engine.cancelsLeftOut")
	// discarded counts events that were not passed on.
	discarded = expvar.NewInt("engine.eventsDiscarded")
)
