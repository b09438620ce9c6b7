package memory

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against charges that together exceed the limit, and against charges that are lost.
func TestBudgetConcurrentCharges(t *testing.T) {
	budget := NewBudget(1000)
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			for range 200 {
				if budget.Charge(30, 100) {
					assert.Check(t, budget.Used() <= 900)
					budget.Release(30)
				}
			}
		})
	}
	wg.Wait()
	assert.Equal(t, budget.Used(), int64(0))
	assert.Assert(t, !budget.Charge(901, 100))
	assert.Assert(t, budget.Charge(1000, 0))
}
