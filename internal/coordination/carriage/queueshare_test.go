package carriage

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// Costs of the routes that newQueueGate has learned.
const (
	cheapCost = 5 * time.Millisecond
	dearCost  = 50 * time.Millisecond
)

// queueGate is an agent whose host has one slot, as many flows in progress as it may
// have, and learned costs of the routes simAddress and dearAddress.
type queueGate struct {
	*Gate
	now    time.Time
	opened int
	// delivered are the flows whose openings were delivered, the first one first;
	// declined are those that were declined.
	delivered, declined []Flow
}

// newQueueGate returns an agent that follows its host's work, or doesn't. The openings of
// simAddress have the priority.
func newQueueGate(reports bool, priority uint8) *queueGate {
	ga := NewGate(began, GateSettings{
		Service: simService, HostAddress: simHostAddress, HeartbeatInterval: simHeartbeat, FlowLifetime: time.Minute,
		OpeningTimeout: simOpeningTimeout, FirstStart: true, ReportsWork: reports,
	})
	services := catalog.WeightedServices{{Service: simService, Weight: 1}}
	ga.SetRoutes(&catalog.Routes{Version: 1, Addresses: map[netip.AddrPort]catalog.Route{
		simAddress:  {Services: services, LatencyTarget: 200 * time.Millisecond, Priority: priority},
		dearAddress: {Services: services, LatencyTarget: 200 * time.Millisecond},
	}})
	ga.CheckIn(began, CheckIn{Name: "h", StartedAt: began, Sequence: 1, Service: simService, Address: simHostAddress, Slots: 1})
	qg := &queueGate{Gate: ga, now: began}
	for range 40 {
		for _, route := range []netip.AddrPort{simAddress, dearAddress} {
			took := cheapCost
			if route == dearAddress {
				took = dearCost
			}
			if reports {
				rq := ga.work.Begin(qg.now, nil, openingKey(route))
				ga.work.Answered(qg.now.Add(took), rq)
			}
			qg.now = qg.now.Add(took)
		}
	}
	ga.CheckIn(qg.now, CheckIn{Name: "h", StartedAt: began, Sequence: 2, Service: simService, Address: simHostAddress, Slots: 1})
	for range ga.limit() {
		qg.open(simAddress, 0)
	}
	qg.delivered = nil
	return qg
}

// open lets a caller that opened its flow the age ago reach the agent.
func (qg *queueGate) open(route netip.AddrPort, age time.Duration) Flow {
	qg.opened++
	flow := Flow{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(qg.opened >> 8), byte(qg.opened)}), 1024), Service: route}
	qg.perform(qg.HandleForwarded(qg.now, ForwardedPacket{
		Packet: Packet{Flow: flow, Opening: true, Sequence: 1}, ServiceHash: serviceHash(simService), Started: qg.now.Add(-age), Mode: DeliverOrQueue,
	}, nil))
	return flow
}

func (qg *queueGate) perform(list []Action) {
	for _, ac := range list {
		switch {
		case ac.Kind == KindDeliver && ac.Opening:
			qg.delivered = append(qg.delivered, ac.Flow)
		case ac.Kind == KindDecline:
			qg.declined = append(qg.declined, ac.Flow)
		}
	}
}

// serve ends the flows that are in progress one by one, until the number of queued
// openings was delivered.
func (qg *queueGate) serve(count int) {
	qg.delivered = nil
	for len(qg.delivered) < count {
		before := len(qg.delivered)
		hf := qg.active.Front().Value.(*hostFlow)
		qg.setWorking(qg.now, hf, false)
		qg.perform(qg.Tick(qg.now))
		So(len(qg.delivered), ShouldBeGreaterThan, before)
	}
}

// countOf returns how many of the flows go to the route.
func countOf(list []Flow, route netip.AddrPort) int {
	count := 0
	for _, flow := range list {
		if flow.Service == route {
			count++
		}
	}
	return count
}

// It guards against a burst of one route whose newer openings all go before those of
// another route.
func TestQueueSharesTheHostAmongRoutes(t *testing.T) {
	Convey("Routes get equal shares of the host's work while both wait, only if the agent follows the work", t, func() {
		for _, reports := range []bool{false, true} {
			qg := newQueueGate(reports, 0)
			for range 12 {
				qg.open(simAddress, 30*time.Millisecond)
			}
			for range 20 {
				qg.open(dearAddress, 0)
			}
			qg.serve(12)
			if !reports {
				So(countOf(qg.delivered, dearAddress), ShouldEqual, 12)
				continue
			}
			// The work of ten requests of the one route is that of one of the other.
			So(countOf(qg.delivered, simAddress), ShouldBeBetweenOrEqual, 10, 11)
		}
	})
}

// It guards against an opening that is taken to be too late, or in time, by the cost of
// other routes.
func TestQueueTellsLateOpeningsByTheirRoute(t *testing.T) {
	Convey("Of openings that are 160 ms old, one that costs 5 ms goes before one that costs 50 ms", t, func() {
		for _, reports := range []bool{false, true} {
			qg := newQueueGate(reports, 1)
			cheap := qg.open(simAddress, 160*time.Millisecond)
			dear := qg.open(dearAddress, 160*time.Millisecond)
			qg.serve(1)
			if reports {
				So(qg.delivered, ShouldResemble, []Flow{cheap})
			} else {
				// Both are late by the default service time, and the priority decides.
				So(qg.delivered, ShouldResemble, []Flow{dear})
			}
		}
	})
}

// It guards against a burst of one route that takes all the room of the queue.
func TestQueueRoomOfRoutes(t *testing.T) {
	Convey("A full queue makes room for a route that has less than its share", t, func() {
		qg := newQueueGate(true, 0)
		qg.openingTimeoutOfQueue(time.Hour)
		first := qg.open(dearAddress, 0)
		for range maxQueued - 1 {
			qg.open(dearAddress, 0)
		}
		So(qg.declined, ShouldBeEmpty)
		So(len(qg.queue.items), ShouldEqual, maxQueued)
		last := qg.open(dearAddress, 0)
		So(qg.declined, ShouldResemble, []Flow{last})
		for range maxQueued/2 + 1 {
			qg.open(simAddress, 0)
		}
		So(len(qg.queue.items), ShouldEqual, maxQueued)
		// Half of the queue is the share of each; the opening after that is declined itself.
		So(countOf(qg.declined, dearAddress), ShouldEqual, 1+maxQueued/2)
		So(countOf(qg.declined, simAddress), ShouldEqual, 1)
		So(qg.queue.contains(first), ShouldBeFalse)
	})
}

// openingTimeoutOfQueue sets the time after which callers give up queued openings.
func (qg *queueGate) openingTimeoutOfQueue(timeout time.Duration) { qg.queue.openingTimeout = timeout }

// It guards against an opening that waits until its caller has given up, although the work
// before it was known.
func TestQueueRefusesAtOnce(t *testing.T) {
	Convey("An opening that would wait too long behind others is declined at once, by their costs", t, func() {
		qg := newQueueGate(true, 1)
		for range 60 {
			qg.open(dearAddress, 0)
		}
		So(qg.declined, ShouldBeEmpty)
		// 60 of the other route, which has priority, take 3 s.
		late := qg.open(simAddress, 0)
		So(qg.declined, ShouldResemble, []Flow{late})
	})
	Convey("Behind as many openings of low cost it waits", t, func() {
		qg := newQueueGate(true, 0)
		for range 60 {
			qg.open(simAddress, 0)
		}
		qg.open(simAddress, time.Millisecond)
		So(qg.declined, ShouldBeEmpty)
	})
}

// It guards against shares that count other openings than those in the queue, by which a
// route would keep an advantage or its lookup would fail.
func TestQueueSharesCountTheQueue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		qg := newQueueGate(true, uint8(rapid.IntRange(0, 1).Draw(rt, "priority")))
		for range rapid.IntRange(0, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0:
				qg.setWorking(qg.now, qg.active.Front().Value.(*hostFlow), false)
				qg.perform(qg.Tick(qg.now))
			case 1:
				qg.now = qg.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(rt, "later")) * time.Millisecond)
				qg.perform(qg.Tick(qg.now))
			default:
				route := rapid.SampledFrom([]netip.AddrPort{simAddress, dearAddress}).Draw(rt, "route")
				qg.open(route, time.Duration(rapid.IntRange(0, 400).Draw(rt, "age"))*time.Millisecond)
			}
			waiting := make(map[netip.AddrPort]int)
			for i := range qg.queue.items {
				waiting[qg.queue.items[i].packet.Flow.Service]++
			}
			if len(waiting) != len(qg.queue.shares.routes) {
				rt.Fatalf("the queue has %v, the shares have %v", waiting, qg.queue.shares.routes)
			}
			for route, rs := range qg.queue.shares.routes {
				if rs.waiting != waiting[route] {
					rt.Fatalf("%d openings of %v wait, the shares count %d", waiting[route], route, rs.waiting)
				}
			}
			if qg.active.Len() == 0 {
				return
			}
		}
	})
}
