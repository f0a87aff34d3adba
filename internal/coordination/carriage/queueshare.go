package carriage

import (
	"net/netip"
	"time"
)

// hostWork is what a queue asks of the host's work. It is implemented by Gate.
type hostWork interface {
	// expectedCost returns the expected cost of a flow's first request to the route,
	// zero while nothing is known.
	expectedCost(now time.Time, route netip.AddrPort) time.Duration
	// expectedWait returns the expected time until a slot is free for a further request.
	expectedWait(now time.Time) time.Duration
	// slots returns the number of requests that the host works on at once.
	slots() int
}

// queueShares gives the routes in a queue equal shares of the host's work and of the
// queue's room, so that a burst of one route doesn't keep the others waiting. Without it
// the newest opening comes first, which mostly is one of the burst.
//
// Each opening that is delivered from the queue adds its expected cost to the work of its
// route, and the route with the least work comes next. A route that begins to wait gets the
// work of the one that was served last, so that it has no claim for the time before.
type queueShares struct {
	host   hostWork
	routes map[netip.AddrPort]*routeShare
	// served is the work of the route that was served last, before its opening.
	served time.Duration
	// now and wait are the time for which the costs hold and the host's expected wait.
	now  time.Time
	wait time.Duration
}

// routeShare is a route of which openings wait.
type routeShare struct {
	waiting int
	work    time.Duration
	cost    time.Duration
	// ahead is used by expectedTime only.
	ahead time.Duration
}

// newQueueShares returns the shares of an empty queue.
func newQueueShares(host hostWork) *queueShares {
	return &queueShares{host: host, routes: make(map[netip.AddrPort]*routeShare)}
}

// update computes the expected costs for the time. The default service time takes the
// place of costs that aren't known.
func (qs *queueShares) update(now time.Time) {
	qs.now, qs.wait = now, qs.host.expectedWait(now)
	for route, rs := range qs.routes {
		rs.cost = qs.costOf(route)
	}
}

func (qs *queueShares) costOf(route netip.AddrPort) time.Duration {
	if cost := qs.host.expectedCost(qs.now, route); cost > 0 {
		return cost
	}
	return defaultServiceTime
}

// of returns the route's share, a new one if no opening of the route waits.
func (qs *queueShares) of(route netip.AddrPort) *routeShare {
	if rs, ok := qs.routes[route]; ok {
		return rs
	}
	return &routeShare{work: qs.served, cost: qs.costOf(route)}
}

// enter adds an opening with a share that of has returned.
func (qs *queueShares) enter(it *queued) {
	it.share.waiting++
	qs.routes[it.packet.Flow.Service] = it.share
}

// leave removes an opening.
func (qs *queueShares) leave(it *queued) {
	if it.share.waiting--; it.share.waiting == 0 {
		delete(qs.routes, it.packet.Flow.Service)
	}
}

// serve adds the cost of an opening that is delivered to the work of its route.
func (qs *queueShares) serve(it *queued) {
	qs.served = it.share.work
	it.share.work += it.share.cost
}

// largest returns the share of the route of which most openings wait, of several the one
// of the lowest address, and whether fewer of the given one wait.
func (qs *queueShares) largest(than *routeShare) (*routeShare, bool) {
	var address netip.AddrPort
	largest := &routeShare{}
	for route, rs := range qs.routes {
		if rs.waiting > largest.waiting || rs.waiting == largest.waiting && route.Compare(address) < 0 {
			address, largest = route, rs
		}
	}
	return largest, than.waiting < largest.waiting
}

// expectedTime returns the expected time until the answer to an opening that isn't in the
// queue yet: behind the work of those that go before it by lateness and priority and of
// the newer ones of its route, and behind as much of each other route as its share allows.
func (qu *queue) expectedTime(now time.Time, it *queued) time.Duration {
	cost := it.share.cost
	before, own := time.Duration(0), cost
	for _, rs := range qu.shares.routes {
		rs.ahead = 0
	}
	for i := range qu.items {
		other := &qu.items[i]
		switch order := qu.compareClass(now, other, it); {
		case order < 0:
			before += other.share.cost
		case order > 0:
		case other.share != it.share:
			other.share.ahead += other.share.cost
		case other.packet.Started.After(it.packet.Started):
			own += cost
		}
	}
	for _, rs := range qu.shares.routes {
		before += min(rs.ahead, own)
	}
	return qu.shares.wait + (before+own-cost)/time.Duration(qu.shares.host.slots()) + cost
}

// makeRoom removes and returns the last opening of the route with most openings if the
// queue is full and the given opening's route has fewer. It reports whether there is room.
func (qu *queue) makeRoom(now time.Time, it *queued) (evicted []queued, ok bool) {
	if len(qu.items) < maxQueued {
		return nil, true
	}
	if qu.shares == nil {
		return nil, false
	}
	largest, ok := qu.shares.largest(it.share)
	if !ok {
		return nil, false
	}
	last := -1
	for i := range qu.items {
		if qu.items[i].share == largest && (last < 0 || qu.before(now, &qu.items[last], &qu.items[i])) {
			last = i
		}
	}
	return []queued{qu.take(last)}, true
}
