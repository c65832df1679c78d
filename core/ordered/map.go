// Package ordered provides a map that is iterated in the order in which its keys
// were added. A state machine that iterates over such maps behaves identically in
// every run with the same inputs. With Go's built-in maps, whose iteration order is
// random, a test seed that showed a fault would not reproduce it.
package ordered

import "iter"

// Map maps keys to values. The zero value is an empty map that is ready for use. A
// Map is not safe for concurrent use.
type Map[K comparable, V any] struct {
	index   map[K]int
	entries []entry[K, V]
	// deleted is the number of deleted entries that are still in entries.
	deleted int
	// iterating is the number of iterations in progress, during which entries are
	// not moved.
	iterating int
}

type entry[K comparable, V any] struct {
	key     K
	value   V
	deleted bool
}

// minDeletedToCompact is the least number of deleted entries for which entries is
// compacted.
const minDeletedToCompact = 16

// Len returns the number of keys.
func (m *Map[K, V]) Len() int { return len(m.index) }

// Get returns the value of a key, or the zero value if there is none.
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

// Set sets the value of a key. A new key is added at the end; an existing one keeps
// its position.
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

// Delete deletes a key. It does nothing if the key does not exist.
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

// compact removes the deleted entries from entries if they are at least
// minDeletedToCompact and at least half of all, and no iteration is in progress.
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

// All returns an iterator over the keys and values in the order of insertion. Keys
// that are deleted during the iteration are skipped if they were not reached yet, and
// keys that are added during it are visited last.
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
