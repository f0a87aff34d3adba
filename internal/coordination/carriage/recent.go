package carriage

import (
	"container/list"
	"time"
)

// recent is a map by flow that keeps its entries in order of use, so that idle
// ones can be removed.
type recent[V any] struct {
	entries map[Flow]*list.Element
	order   *list.List
}

// recentEntry is one entry of a recent map.
type recentEntry[V any] struct {
	flow  Flow
	at    time.Time
	value V
}

func newRecent[V any]() recent[V] {
	return recent[V]{entries: make(map[Flow]*list.Element), order: list.New()}
}

// get returns the value of the flow and marks the entry as used now.
func (re *recent[V]) get(now time.Time, flow Flow) (V, bool) {
	el, ok := re.entries[flow]
	if !ok {
		var none V
		return none, false
	}
	en := el.Value.(*recentEntry[V])
	en.at = now
	re.order.MoveToBack(el)
	return en.value, true
}

// peek returns the value of the flow, the zero value if there is none. It doesn't mark
// the entry as used.
func (re *recent[V]) peek(flow Flow) V {
	if el, ok := re.entries[flow]; ok {
		return el.Value.(*recentEntry[V]).value
	}
	var none V
	return none
}

func (re *recent[V]) put(now time.Time, flow Flow, value V) {
	if el, ok := re.entries[flow]; ok {
		en := el.Value.(*recentEntry[V])
		en.at, en.value = now, value
		re.order.MoveToBack(el)
		return
	}
	re.entries[flow] = re.order.PushBack(&recentEntry[V]{flow: flow, at: now, value: value})
}

func (re *recent[V]) remove(flow Flow) {
	if el, ok := re.entries[flow]; ok {
		re.order.Remove(el)
		delete(re.entries, flow)
	}
}

// expire removes the entries that were last used before the given time, and the
// least recently used ones above the limit. It returns their values and the number of
// those above the limit.
func (re *recent[V]) expire(since time.Time, limit int) (removed []V, above int) {
	for el := re.order.Front(); el != nil; el = re.order.Front() {
		en := el.Value.(*recentEntry[V])
		if !en.at.Before(since) && re.order.Len() <= limit {
			break
		}
		if !en.at.Before(since) {
			above++
		}
		re.order.Remove(el)
		delete(re.entries, en.flow)
		removed = append(removed, en.value)
	}
	return removed, above
}
