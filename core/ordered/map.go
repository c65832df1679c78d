// Package ordered holds a map that is iterated in the order in which its keys
// were added. A state machine that iterates over it does the same in every run
// with the same inputs, which Go's own maps prevent: a seed that showed a fault
// would not show it again.
package ordered

import "iter"

// Map maps keys to values. Its zero value is empty and ready for use. It is not
// safe for concurrent use.
type Map[K comparable, V any] struct {
	index   map[K]int
	entries []entry[K, V]
	// deleted counts the entries that were deleted and still stand in entries.
	deleted int
	// iterating counts the iterations in progress, during which entries stay
	// where they are.
	iterating int
}

type entry[K comparable, V any] struct {
	key     K
	value   V
	deleted bool
}

// minDeletedToCompact is how many dead entries there must be at least before those that
// live are moved together.
const minDeletedToCompact = 16

// Len returns the number of keys.
func (m *Map[K, V]) Len() int { return len(m.index) }

// Get returns the value of a key, the zero value if there is none.
func (m *Map[K, V]) Get(key K) V {
	value, _ := m.Lookup(key)
	return value
}

// Lookup returns the value of a key, and whether there is one.
func (m *Map[K, V]) Lookup(key K) (V, bool) {
	i, known := m.index[key]
	if !known {
		var none V
		return none, false
	}
	return m.entries[i].value, true
}

// Has reports whether there is a value for a key.
func (m *Map[K, V]) Has(key K) bool {
	_, known := m.index[key]
	return known
}

// Set sets the value of a key. A key that is there already keeps its place.
func (m *Map[K, V]) Set(key K, value V) {
	if i, known := m.index[key]; known {
		m.entries[i].value = value
		return
	}
	if m.index == nil {
		m.index = make(map[K]int)
	}
	m.index[key] = len(m.entries)
	m.entries = append(m.entries, entry[K, V]{key: key, value: value})
}

// Delete removes a key, if it is there.
func (m *Map[K, V]) Delete(key K) {
	i, known := m.index[key]
	if !known {
		return
	}
	delete(m.index, key)
	m.entries[i] = entry[K, V]{deleted: true}
	m.deleted++
	m.compact()
}

// compact moves the live entries together when most are dead.
func (m *Map[K, V]) compact() {
	if m.iterating > 0 || m.deleted < minDeletedToCompact || m.deleted < len(m.index) {
		return
	}
	live := m.entries[:0]
	for _, e := range m.entries {
		if !e.deleted {
			m.index[e.key] = len(live)
			live = append(live, e)
		}
	}
	clear(m.entries[len(live):])
	m.entries = live
	m.deleted = 0
}

// All iterates over the keys and values. Keys that are deleted meanwhile are
// left out, keys that are added meanwhile come last.
func (m *Map[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		m.iterating++
		defer func() { m.iterating-- }()
		for i := 0; i < len(m.entries); i++ {
			e := &m.entries[i]
			if !e.deleted && !yield(e.key, e.value) {
				return
			}
		}
	}
}
