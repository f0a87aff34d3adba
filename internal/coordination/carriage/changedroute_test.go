package carriage

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// simOtherService is the service that a route is given to.
const simOtherService = "ledgerwash"

// newChangedRouteSimulation returns a simulation of three balancers and six hosts, of
// which the last three serve simOtherService.
func newChangedRouteSimulation(seed uint64) *simulation {
	si := newSimulation(seed, 3, 6)
	for i, ho := range si.hosts {
		if i >= 3 {
			ho.service = simOtherService
			si.startAgent(i)
			ho.gate.hostOlder = false
		}
	}
	for i := range si.balancers {
		si.rotation = without(si.rotation, i)
		si.startBalancer(i)
	}
	return si
}

// routesTo returns routes that give simAddress to the service.
func routesTo(version uint64, service string, weight uint32) *catalog.Routes {
	return &catalog.Routes{Version: version, Addresses: map[netip.AddrPort]catalog.Route{
		simAddress: {Services: catalog.WeightedServices{{Service: service, Weight: weight}}, LatencyTarget: 100 * time.Millisecond},
	}}
}

// changeRoute gives the route of simAddress to the service. All processes learn of it at
// once, and those that start later from their peers.
func (si *simulation) changeRoute(service string, weight uint32) {
	si.routes = si.former.Succeed(si.now, si.routes, routesTo(si.routes.Version+1, service, weight))
	for _, ho := range si.hosts {
		ho.gate.SetRoutes(si.routes)
	}
	for _, ba := range si.balancers {
		if ba.live {
			si.performBalancer(ba, ba.placer.SetRoutes(si.now, si.routes))
		}
	}
}

// Flows stayed at hosts of their route's former service and were not found there by
// balancers and agents that restarted after the change.
func TestOpenFlowsAfterTheirRouteChangesItsService(t *testing.T) {
	type disruption struct {
		name string
		play func(si *simulation)
	}
	cases := []disruption{
		{"the agents restart in turn", func(si *simulation) {
			si.restartAgents(5*time.Second, 700*time.Millisecond)
		}},
		{"the balancers restart in turn", func(si *simulation) {
			si.restartBalancers(5*time.Second, 1200*time.Millisecond)
		}},
		{"the agents restart in turn, and then the balancers", func(si *simulation) {
			si.restartAgents(4500*time.Millisecond, 600*time.Millisecond)
			si.restartBalancers(8500*time.Millisecond, 1200*time.Millisecond)
		}},
		{"the balancers restart in turn, and then the agents", func(si *simulation) {
			si.restartBalancers(4500*time.Millisecond, time.Second)
			si.restartAgents(8*time.Second, 600*time.Millisecond)
		}},
		{"agents and balancers restart at the same time", func(si *simulation) {
			si.restartAgents(5*time.Second, 600*time.Millisecond)
			si.restartBalancers(5*time.Second, 1200*time.Millisecond)
		}},
		{"the agents restart before the change, the balancers after it", func(si *simulation) {
			si.restartAgents(1500*time.Millisecond, 300*time.Millisecond)
			si.restartBalancers(5*time.Second, 1200*time.Millisecond)
		}},
	}
	for i, it := range cases {
		Convey("Open flows go on at the former service's hosts while "+it.name, t, func() {
			si := newChangedRouteSimulation(40 + uint64(i))
			si.keepAll(60, began.Add(14*time.Second), time.Second)
			si.after(4*time.Second, func() { si.changeRoute(simOtherService, 1) })
			it.play(si)
			si.runUntil(began.Add(24 * time.Second))
			So(si.failed+si.refused+si.resetsOfOpen+si.wrongAnswers, ShouldEqual, 0)
			So(len(si.misdelivered()), ShouldEqual, 0)
			So(si.served, ShouldBeGreaterThan, 400)
			So(slices.Max(si.worked()[3:]), ShouldEqual, 0)
		})
	}
	Convey("Open flows are found by balancers that were all down when their route changed its service", t, func() {
		si := newChangedRouteSimulation(51)
		si.keepAll(60, began.Add(14*time.Second), time.Second)
		si.after(4*time.Second, func() {
			for i := range si.balancers {
				si.balancers[i].live = false
			}
			si.rotation = nil
			si.changeRoute(simOtherService, 1)
			si.storeRoutes = routesTo(si.routes.Version, simOtherService, 1)
		})
		si.after(4500*time.Millisecond, func() {
			for i := range si.balancers {
				si.startBalancer(i)
			}
		})
		si.runUntil(began.Add(24 * time.Second))
		So(si.failed+si.refused+si.resetsOfOpen+si.wrongAnswers, ShouldEqual, 0)
		So(len(si.misdelivered()), ShouldEqual, 0)
	})
	Convey("Open flows go on when their service loses its weight", t, func() {
		si := newChangedRouteSimulation(50)
		si.keepAll(60, began.Add(14*time.Second), time.Second)
		si.after(4*time.Second, func() { si.changeRoute(simService, 0) })
		si.restartAgents(5*time.Second, 600*time.Millisecond)
		si.restartBalancers(5*time.Second, 1200*time.Millisecond)
		si.runUntil(began.Add(24 * time.Second))
		So(si.failed+si.refused+si.resetsOfOpen+si.wrongAnswers, ShouldEqual, 0)
		So(len(si.misdelivered()), ShouldEqual, 0)
	})
	Convey("A restarted agent claims no flow of an address that may be another service's", t, func() {
		for _, ro := range []*catalog.Routes{nil, routesTo(2, simOtherService, 1)} {
			gw := newGateAtWork()
			gw.restartAgent()
			if ro != nil {
				gw.SetRoutes(ro)
			}
			So(gw.HandleFind(gw.now, gw.flow.Caller, FindRequest{Flow: gw.flow, Acknowledged: 500001, Possible: true}), ShouldBeEmpty)
		}
	})
	Convey("A restarted agent delivers a flow that a balancer knew there, whatever its routes say", t, func() {
		gw := newGateAtWork()
		gw.restartAgent()
		gw.SetRoutes(routesTo(2, simOtherService, 1))
		gw.PresumeHealthy(gw.now)
		So(kinds(gw.fromCaller(Packet{Sequence: 1001, Length: 100, Acknowledged: 500001})), ShouldResemble, []Kind{KindDeliver})
	})
}

// It guards against an opening that the host accepts after the agent has declined a copy of
// it: the balancer refuses the opening then, and resets an open flow.
func TestDeclinedCopyOfAWaitingOpening(t *testing.T) {
	Convey("An opening that waits is not delivered once a copy of it was declined", t, func() {
		gw := newGateAtWork()
		open := func(port uint16, mode DeliveryMode) []Action {
			flow := Flow{Caller: netip.AddrPortFrom(gw.flow.Caller.Addr(), port), Service: simAddress}
			return gw.HandleForwarded(gw.now, ForwardedPacket{
				Packet: Packet{Flow: flow, Opening: true, Sequence: 7}, ServiceHash: serviceHash(simService), Started: gw.now, Mode: mode, Version: 1,
			}, nil)
		}
		for port := range uint16(flowsPerSlot * simSlots) {
			open(1+port, DeliverOrQueue)
		}
		So(open(99, DeliverOrQueue)[0].Kind, ShouldEqual, KindConfirm)
		gw.SetRoutes(routesTo(2, simOtherService, 1))
		So(open(99, DeliverOrQueue)[0].Reason, ShouldEqual, ReasonNoRoute)
		gw.now = gw.now.Add(handshakeTimeout)
		for _, ac := range gw.Tick(gw.now) {
			So(ac.Kind, ShouldNotEqual, KindDeliver)
		}
	})
}
