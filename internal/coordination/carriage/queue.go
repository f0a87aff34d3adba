package carriage

import (
	"time"

	"corneltiller.dev/corneltiller/internal/state/catalog"
)

const (
	// callerRoundTrip is the time allowed for the transit of the handshake and of
	// the answer between caller and host.
	callerRoundTrip = 12 * time.Millisecond
	// maxQueued bounds the openings in one queue. It is also the concurrency that
	// a balancer assumes when it estimates the wait of a parked opening.
	maxQueued = 256
)

// queued is an opening in a queue.
type queued struct {
	packet ForwardedPacket
	data   []byte
	// target is when the caller should have its answer, zero if the route has no
	// latency target; expires is the latest time at which an acceptance or a refusal
	// still reaches the caller before it gives the opening up.
	target   time.Time
	expires  time.Time
	priority uint8
	// known says that the host had got a copy of the opening when this one was queued.
	known bool
	// share is that of the opening's route, nil in a queue without shares.
	share *routeShare
}

// queue holds the openings that wait while the load exceeds what a host can
// serve: after an outage, or while hosts warm up. Openings that can still be
// answered within their latency target come first, ordered by priority with the
// lowest value first, then the late ones, ordered likewise. Within one priority
// the newest comes first, as its caller has the most time left. In order of arrival
// every caller would wait until it is late or has given up. With shares, a route goes
// before others that got more of the host's work, and what can be answered in time is told
// by the expected cost of each route.
type queue struct {
	items          []queued
	service        serviceTime
	openingTimeout time.Duration
	// shares are those of the routes, nil while the host's work isn't followed.
	shares *queueShares
}

// newQueue returns an empty queue for callers who give up an opening after the
// timeout.
func newQueue(timeout time.Duration) queue {
	return queue{openingTimeout: timeout}
}

// add adds an opening. It reports false if the queue is full, or if the caller is
// estimated to give up while the opening waits behind those that go before it,
// with limit requests in progress at once. The openings that it returns have made room
// for this one.
func (qu *queue) add(now time.Time, fp ForwardedPacket, data []byte, ro catalog.Route, limit int) (evicted []queued, ok bool) {
	it := queued{
		packet: fp, data: append([]byte(nil), data...),
		expires: fp.Started.Add(qu.openingTimeout - callerRoundTrip), priority: ro.Priority,
	}
	if ro.LatencyTarget > 0 {
		it.target = fp.Started.Add(ro.LatencyTarget)
	}
	if qu.shares != nil {
		qu.shares.update(now)
		it.share = qu.shares.of(fp.Flow.Service)
	}
	if now.Add(qu.wait(now, &it, limit)).After(it.expires) {
		return nil, false
	}
	if evicted, ok = qu.makeRoom(now, &it); !ok {
		return nil, false
	}
	if qu.shares != nil {
		qu.shares.enter(&it)
	}
	qu.items = append(qu.items, it)
	return evicted, true
}

// wait returns the estimated time until the opening, which isn't in the queue yet, is
// answered, with limit requests in progress at once.
func (qu *queue) wait(now time.Time, it *queued, limit int) time.Duration {
	if qu.shares != nil {
		return qu.expectedTime(now, it)
	}
	return qu.service.value() * time.Duration(qu.ahead(now, it)+1) / time.Duration(limit)
}

// ahead returns the number of openings in the queue that go before the given one.
func (qu *queue) ahead(now time.Time, it *queued) int {
	count := 0
	for i := range qu.items {
		if qu.before(now, &qu.items[i], it) {
			count++
		}
	}
	return count
}

// openingCopies is the number of copies of an opening packet that callers send.
const openingCopies = 3

// copyAge returns how long before the copy of the given number the caller sent
// copy 0. Callers send an opening again after 200 ms and after 600 ms.
func copyAge(copyNumber uint32) time.Duration {
	switch copyNumber {
	case 0:
		return 0
	case 1:
		return 200 * time.Millisecond
	default:
		return 600 * time.Millisecond
	}
}

// canMeetTarget reports whether the opening can still be answered by its target if
// it is delivered now. An opening without a target always can.
func (qu *queue) canMeetTarget(now time.Time, it *queued) bool {
	took := qu.service.value()
	if qu.shares != nil {
		took = qu.shares.wait + it.share.cost
	}
	return it.target.IsZero() || !now.Add(took+callerRoundTrip).After(it.target)
}

// compareClass compares openings by whether they can still be answered in time, then by
// priority. It is negative if a goes before b.
func (qu *queue) compareClass(now time.Time, a, b *queued) int {
	if timely := qu.canMeetTarget(now, a); timely != qu.canMeetTarget(now, b) {
		if timely {
			return -1
		}
		return 1
	}
	return int(a.priority) - int(b.priority)
}

// before reports whether the opening a goes before b.
func (qu *queue) before(now time.Time, a, b *queued) bool {
	if order := qu.compareClass(now, a, b); order != 0 {
		return order < 0
	}
	if qu.shares != nil && a.share.work != b.share.work {
		return a.share.work < b.share.work
	}
	return a.packet.Started.After(b.packet.Started)
}

// next removes and returns the opening whose turn it is.
func (qu *queue) next(now time.Time) (queued, bool) {
	if len(qu.items) == 0 {
		return queued{}, false
	}
	if qu.shares != nil {
		qu.shares.update(now)
	}
	best := 0
	for i := range qu.items {
		if qu.before(now, &qu.items[i], &qu.items[best]) {
			best = i
		}
	}
	if qu.shares != nil {
		qu.shares.serve(&qu.items[best])
	}
	return qu.take(best), true
}

// take removes and returns the i-th opening.
func (qu *queue) take(i int) queued {
	it := qu.items[i]
	qu.items = append(qu.items[:i], qu.items[i+1:]...)
	if qu.shares != nil {
		qu.shares.leave(&it)
	}
	return it
}

// expired removes and returns the openings whose callers are about to give up.
func (qu *queue) expired(now time.Time) []queued {
	return qu.remove(func(it *queued) bool { return now.After(it.expires) })
}

// drain removes and returns all openings.
func (qu *queue) drain() []queued {
	return qu.remove(func(*queued) bool { return true })
}

// withdraw removes the opening of the flow, if one waits.
func (qu *queue) withdraw(flow Flow) {
	if qu.contains(flow) {
		qu.remove(func(it *queued) bool { return it.packet.Flow == flow })
	}
}

func (qu *queue) remove(leaves func(it *queued) bool) []queued {
	var gone []queued
	kept := qu.items[:0]
	for i := range qu.items {
		if leaves(&qu.items[i]) {
			gone = append(gone, qu.items[i])
			if qu.shares != nil {
				qu.shares.leave(&qu.items[i])
			}
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
		if qu.items[i].packet.Flow == flow {
			return true
		}
	}
	return false
}
