package virtual

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against simulations that aren't reproducible because events of the same
// time run in an arbitrary order.
func TestQueueOrder(t *testing.T) {
	var q Queue
	var ran []string
	add := func(at time.Duration, name string) { q.Add(at, func() { ran = append(ran, name) }) }
	add(3, "c")
	add(1, "a1")
	add(1, "a2")
	add(2, "b")
	add(9, "late")
	for {
		_, run, isDue := q.Next(5)
		if !isDue {
			break
		}
		run()
	}
	assert.DeepEqual(t, ran, []string{"a1", "a2", "b", "c"})
	at, _, isDue := q.Next(9)
	assert.Assert(t, isDue)
	assert.Equal(t, at, time.Duration(9))
	_, _, isDue = q.Next(time.Hour)
	assert.Assert(t, !isDue)
}
