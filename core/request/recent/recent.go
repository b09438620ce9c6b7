// Package recent provides a bounded map of recently written entries.
package recent

// Map keeps two generations and drops the older one when the younger is full.
// It holds between one and two generations and allocates nothing once both have
// grown. It is not safe for concurrent use.
type Map[K comparable, V any] struct {
	newer, older map[K]V
	size         int
}

// NewMap returns a map whose generations hold size entries each.
func NewMap[K comparable, V any](size int) *Map[K, V] {
	return &Map[K, V]{newer: make(map[K]V), older: make(map[K]V), size: size}
}

// Get returns the value of key, or the zero value if key is absent. It does not
// refresh the entry.
func (m *Map[K, V]) Get(key K) V {
	if value, ok := m.newer[key]; ok {
		return value
	}
	return m.older[key]
}

// Put sets the value of key. A full younger generation first replaces the older one.
func (m *Map[K, V]) Put(key K, value V) {
	if len(m.newer) >= m.size {
		m.newer, m.older = m.older, m.newer
		clear(m.newer)
	}
	m.newer[key] = value
}

// Delete removes key, if present, from both generations.
func (m *Map[K, V]) Delete(key K) {
	delete(m.newer, key)
	delete(m.older, key)
}

// Len returns the number of entries, counting a key twice if both generations
// hold it.
func (m *Map[K, V]) Len() int {
	return len(m.newer) + len(m.older)
}
