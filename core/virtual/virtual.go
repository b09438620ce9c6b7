// Package virtual provides the event queue for tests and measurements that simulate
// many routers in virtual time.
package virtual

import (
	"container/heap"
	"time"
)

// Queue is a queue of events ordered by time. Events of the same time are returned
// in the order in which they were added. The zero value is an empty queue.
type Queue struct {
	events events
	added  int
}

// Add schedules run for the virtual time at.
func (q *Queue) Add(at time.Duration, run func()) {
	q.added++
	heap.Push(&q.events, event{at: at, order: q.added, run: run})
}

// Next removes and returns the first event, unless it is later than until.
func (q *Queue) Next(until time.Duration) (at time.Duration, run func(), isDue bool) {
	if len(q.events) == 0 || q.events[0].at > until {
		return 0, nil, false
	}
	next := heap.Pop(&q.events).(event)
	return next.at, next.run, true
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	popped := (*e)[last]
	*e = (*e)[:last]
	return popped
}
