package carriage

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// killAllAt stops all balancers and agents at the given time and starts them again later
// with the routes. Of the former services they know what the service record says.
func (si *simulation) killAllAt(at, down time.Duration, routes *catalog.Routes) {
	si.after(at, func() {
		for i := range si.balancers {
			si.stopBalancer(i)
		}
		for i := range si.hosts {
			si.stopAgent(i)
		}
		si.rotation = nil
		record := catalog.NewServiceRecord(si.routes)
		si.former = catalog.NewFormerServices(time.Minute)
		si.routes = si.former.Succeed(si.now, record.Routes(), routes)
	})
	si.after(at+down, func() {
		for i := range si.hosts {
			si.startAgent(i)
		}
		for i := range si.balancers {
			si.startBalancer(i)
		}
	})
}

// newSharedRouteSimulation returns a simulation of three balancers, whose route goes to
// two services: simService with the given number of hosts, and simOtherService with three.
func newSharedRouteSimulation(seed uint64, hosts int) *simulation {
	si := newSimulation(seed, 3, hosts+3)
	si.routes = &catalog.Routes{Version: 1, Addresses: map[netip.AddrPort]catalog.Route{
		simAddress: {
			Services:      catalog.WeightedServices{{Service: simService, Weight: 75}, {Service: simOtherService, Weight: 25}},
			LatencyTarget: 100 * time.Millisecond,
		},
	}}
	for i, ho := range si.hosts {
		if i >= hosts {
			ho.service = simOtherService
		}
		si.startAgent(i)
	}
	si.rotation = nil
	for i := range si.balancers {
		si.startBalancer(i)
	}
	return si
}

// Flows at hosts of a service that had just lost its route were sent to other hosts only
// once all processes had been killed.
func TestOpenFlowsAfterAllWereKilledRightAfterAChange(t *testing.T) {
	for _, hosts := range []int{3, 24, 45} {
		Convey("Open flows at a service that was taken from its route go on after all processes were killed", t, func() {
			si := newSharedRouteSimulation(60+uint64(hosts), hosts)
			si.keepAll(120, began.Add(14*time.Second), time.Second)
			si.killAllAt(4*time.Second, 700*time.Millisecond, routesTo(2, simService, 1))
			si.runUntil(began.Add(24 * time.Second))
			So(si.failed+si.refused+si.resetsOfOpen+si.wrongAnswers, ShouldEqual, 0)
			So(si.misrouted(), ShouldBeEmpty)
			So(si.served, ShouldBeGreaterThan, 800)
		})
	}
}
