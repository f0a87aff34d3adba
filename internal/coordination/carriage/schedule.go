package carriage

import "time"

// scheduled is an entry of a schedule. It stores its index in the heap, -1 while
// it isn't in it.
type scheduled interface {
	due() time.Time
	setIndex(index int)
}

// schedule is a heap of entries, of which the one due first comes first. It
// implements heap.Interface.
type schedule[T scheduled] struct {
	items []T
}

// Len returns the number of entries.
func (sc *schedule[T]) Len() int { return len(sc.items) }

// Less reports whether entry i is due before entry j.
func (sc *schedule[T]) Less(i, j int) bool { return sc.items[i].due().Before(sc.items[j].due()) }

// Swap exchanges two entries.
func (sc *schedule[T]) Swap(i, j int) {
	sc.items[i], sc.items[j] = sc.items[j], sc.items[i]
	sc.items[i].setIndex(i)
	sc.items[j].setIndex(j)
}

// Push appends an entry.
func (sc *schedule[T]) Push(x any) {
	it := x.(T)
	it.setIndex(len(sc.items))
	sc.items = append(sc.items, it)
}

// Pop removes the last entry.
func (sc *schedule[T]) Pop() any {
	last := len(sc.items) - 1
	it := sc.items[last]
	it.setIndex(-1)
	sc.items = sc.items[:last]
	return it
}
