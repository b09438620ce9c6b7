// Package recent remembers a bounded number of recently used entries.
package recent

// Map keeps two generations and forgets the older one when the younger is full.
// It holds between one and two generations and allocates nothing once both have
// grown. It is not safe for concurrent use.
type Map[K comparable, V any] struct {
	young, old map[K]V
	size       int
}

// NewMap returns a map whose generations hold size entries.
func NewMap[K comparable, V any](size int) *Map[K, V] {
	return &Map[K, V]{young: make(map[K]V), old: make(map[K]V), size: size}
}

// Get returns the value of key, or the zero value.
func (m *Map[K, V]) Get(key K) V {
	if value, ok := m.young[key]; ok {
		return value
	}
	return m.old[key]
}

// Put sets the value of key.
func (m *Map[K, V]) Put(key K, value V) {
	if len(m.young) >= m.size {
		m.young, m.old = m.old, m.young
		clear(m.young)
	}
	m.young[key] = value
}

// Delete forgets key.
func (m *Map[K, V]) Delete(key K) {
	delete(m.young, key)
	delete(m.old, key)
}

// Len returns how many entries are held, counting one twice if both
// generations have it.
func (m *Map[K, V]) Len() int {
	return len(m.young) + len(m.old)
}
