package carriage

import (
	"time"

	"corneltiller.dev/corneltiller/internal/state/catalog"
)

const (
	// callerRoundTrip is what the handshake and the answer take on their way.
	callerRoundTrip = 12 * time.Millisecond
	// maxQueued bounds the openings that wait at one agent.
	maxQueued = 256
)

// queued is an opening that waits for its host.
type queued struct {
	offer Offer
	data  []byte
	// goal is when the caller should have its answer and expires when it gives
	// the opening up.
	goal     time.Time
	expires  time.Time
	priority uint8
}

// queue holds the openings that wait for their host. It answers more load than
// the host can serve: after an outage, or while hosts warm up. First come the
// openings that can still be answered within their goal, by priority, then the
// late ones; among equals the newest first, as its caller has the most time left.
// In the order of arrival every caller would wait until it is late or gone.
type queue struct {
	items   []queued
	service serviceTime
	patient time.Duration
}

// newQueue returns an empty queue for callers who give an opening up after the
// time.
func newQueue(patience time.Duration) queue {
	return queue{patient: patience}
}

// add takes an opening. It reports false if the opening would wait, behind
// those that go before it and with so many in progress at once, until its caller
// gives up.
func (qu *queue) add(now time.Time, of Offer, data []byte, ro catalog.Route, limit int) bool {
	it := queued{
		offer: of, data: append([]byte(nil), data...),
		expires: of.Started.Add(qu.patient), priority: ro.Priority,
	}
	if ro.LatencyTarget > 0 {
		it.goal = of.Started.Add(ro.LatencyTarget)
	}
	wait := qu.service.value() * time.Duration(qu.ahead(now, &it)+1) / time.Duration(limit)
	if len(qu.items) >= maxQueued || now.Add(wait).After(it.expires) {
		return false
	}
	qu.items = append(qu.items, it)
	return true
}

// ahead returns the number of openings that go before it.
func (qu *queue) ahead(now time.Time, it *queued) int {
	count := 0
	for i := range qu.items {
		if qu.before(now, &qu.items[i], it) {
			count++
		}
	}
	return count
}

// copyAge returns how long ago a caller sent the first copy of an opening.
func copyAge(copies uint32) time.Duration {
	switch copies {
	case 0:
		return 0
	case 1:
		return 200 * time.Millisecond
	default:
		return 600 * time.Millisecond
	}
}

// timely reports whether the opening can still be answered within its goal.
func (qu *queue) timely(now time.Time, it *queued) bool {
	return it.goal.IsZero() || !now.Add(qu.service.value()+callerRoundTrip).After(it.goal)
}

// before reports whether the opening a goes before b.
func (qu *queue) before(now time.Time, a, b *queued) bool {
	timely := qu.timely(now, a)
	if timely != qu.timely(now, b) {
		return timely
	}
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	return a.offer.Started.After(b.offer.Started)
}

// next removes and returns the opening whose turn it is.
func (qu *queue) next(now time.Time) (queued, bool) {
	if len(qu.items) == 0 {
		return queued{}, false
	}
	best := 0
	for i := range qu.items {
		if qu.before(now, &qu.items[i], &qu.items[best]) {
			best = i
		}
	}
	it := qu.items[best]
	qu.items = append(qu.items[:best], qu.items[best+1:]...)
	return it, true
}

// expired removes and returns the openings that their callers have given up.
func (qu *queue) expired(now time.Time) []queued {
	return qu.remove(func(it *queued) bool { return now.After(it.expires) })
}

// drain removes and returns all openings.
func (qu *queue) drain() []queued {
	return qu.remove(func(*queued) bool { return true })
}

func (qu *queue) remove(leaves func(it *queued) bool) []queued {
	var gone []queued
	kept := qu.items[:0]
	for i := range qu.items {
		if leaves(&qu.items[i]) {
			gone = append(gone, qu.items[i])
		} else {
			kept = append(kept, qu.items[i])
		}
	}
	qu.items = kept
	return gone
}

// contains reports whether an opening of the flow waits.
func (qu *queue) contains(flow Flow) bool {
	for i := range qu.items {
		if qu.items[i].offer.Flow == flow {
			return true
		}
	}
	return false
}
