package recent

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against unbounded growth and against dropping the latest entries.
func TestMapRecentEntriesAndBound(t *testing.T) {
	const size = 10
	m := NewMap[int, int](size)
	for i := range 1000 {
		m.Put(i, i+1)
		assert.Assert(t, m.Len() <= 2*size)
		for back := range min(i+1, size) {
			assert.Equal(t, m.Get(i-back), i-back+1)
		}
	}
	assert.Equal(t, m.Get(1), 0)
	m.Delete(999)
	assert.Equal(t, m.Get(999), 0)
}
