package route

import "maps"

// shardCount is the number of maps into which the entries are divided. An edit
// copies only the maps that it changes.
const shardCount = 256

// shards is an immutable map that is divided into parts. A changed copy shares the
// unchanged parts.
type shards[K comparable, V any] struct {
	shardOf func(K) uint8
	parts   [shardCount]map[K]V
}

func (sh *shards[K, V]) get(key K) (V, bool) {
	value, ok := sh.parts[sh.shardOf(key)][key]
	return value, ok
}

// length returns the number of entries.
func (sh *shards[K, V]) length() int {
	total := 0
	for _, part := range sh.parts {
		total += len(part)
	}
	return total
}

// shardsEdit is a copy that is being changed. Each part is copied at its first
// change.
type shardsEdit[K comparable, V any] struct {
	*shards[K, V]
	copied [shardCount]bool
}

// edit returns a copy to be changed.
func (sh *shards[K, V]) edit() *shardsEdit[K, V] {
	next := *sh
	return &shardsEdit[K, V]{shards: &next}
}

// part returns the part of a key, which may be changed.
func (ed *shardsEdit[K, V]) part(key K) map[K]V {
	i := ed.shardOf(key)
	if !ed.copied[i] {
		ed.copied[i] = true
		ed.parts[i] = maps.Clone(ed.parts[i])
		if ed.parts[i] == nil {
			ed.parts[i] = make(map[K]V)
		}
	}
	return ed.parts[i]
}

func (ed *shardsEdit[K, V]) set(key K, value V) {
	ed.part(key)[key] = value
}

func (ed *shardsEdit[K, V]) remove(key K) {
	delete(ed.part(key), key)
}
