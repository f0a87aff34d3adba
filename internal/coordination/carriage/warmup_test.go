package carriage

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// warmUpRoutes returns routes on which cold hosts can take the number of requests in a
// second.
func warmUpRoutes(perSecond float64) *catalog.Routes {
	ro := *newSimulation(1, 1, 1).routes
	ro.WarmUps = map[string]catalog.WarmUp{simService: {Duration: 2 * time.Second, PerSecond: perSecond}}
	return &ro
}

// coldGate returns the Gate of a host with four slots that is cold for the time.
func coldGate(perSecond float64, left time.Duration) *Gate {
	ga := NewGate(began, GateSettings{
		Service: simService, HostAddress: simHostAddress, HeartbeatInterval: 10 * time.Second, FlowLifetime: time.Minute,
		OpeningTimeout: simOpeningTimeout, FirstStart: true,
	})
	ga.SetRoutes(warmUpRoutes(perSecond))
	ga.CheckIn(began, CheckIn{
		Name: "i-1", StartedAt: began, Sequence: 1, Service: simService, Address: simHostAddress, Slots: 4, WarmAt: began.Add(left),
	})
	return ga
}

// openAt hands an opening to the gate that its caller has just sent, and returns the last
// action.
func openAt(ga *Gate, now time.Time, port uint16, mode DeliveryMode) Action {
	list := ga.HandleForwarded(now, ForwardedPacket{
		Packet: openingOf(port), From: addressOfBalancer, Mode: mode, Started: now, ServiceHash: serviceHash(simService),
	}, []byte{1})
	return list[len(list)-1]
}

// accept lets the host accept the flow and the caller complete it, so that no slot is
// taken.
func accept(ga *Gate, now time.Time, port uint16) {
	flow := openingOf(port).Flow
	ga.HandleHostPacket(now, Packet{Flow: flow, Accepting: true, Sequence: 500}, nil)
	ga.HandleHostPacket(now, Packet{Flow: flow, Sequence: 501, Length: 1, Finishes: true}, nil)
}

// tickUntil ticks the gate at its deadlines and returns when it delivered an opening, and
// when it declined one.
func tickUntil(ga *Gate, now, end time.Time) (delivered, declined []time.Time) {
	for ; !now.After(end); now = now.Add(10 * time.Millisecond) {
		if now.Before(ga.Deadline()) {
			continue
		}
		for _, ac := range ga.Tick(now) {
			switch {
			case ac.Kind == KindDeliver && ac.Opening:
				delivered = append(delivered, now)
			case ac.Kind == KindDecline:
				declined = append(declined, now)
			}
		}
	}
	return delivered, declined
}

// A host that had just started got a whole burst and answered none of it in time.
func TestColdHostGetsNoMoreThanItsLimit(t *testing.T) {
	Convey("The excess waits if it can be served in time, else it is declined as Warming", t, func() {
		ga := coldGate(2, 10*time.Second)
		for port := range uint16(2) {
			So(openAt(ga, began, port, DeliverIfFree).Kind, ShouldEqual, KindDeliver)
			accept(ga, began, port)
		}
		// A balancer that offers it to other hosts gets it back at once.
		ac := openAt(ga, began, 2, DeliverIfFree)
		So(ac.Kind, ShouldEqual, KindDecline)
		So(ac.Reason, ShouldEqual, ReasonWarming)
		for port := range uint16(2) {
			ac = openAt(ga, began, 3+port, DeliverOrQueue)
			So(ac.Kind, ShouldEqual, KindConfirm)
			So(ac.Reason, ShouldEqual, ReasonBusy)
		}
		// The next turn comes after two seconds, when its caller has given up.
		ac = openAt(ga, began, 5, DeliverOrQueue)
		So(ac.Kind, ShouldEqual, KindDecline)
		So(ac.Reason, ShouldEqual, ReasonWarming)
		delivered, declined := tickUntil(ga, began, began.Add(3*time.Second))
		So(declined, ShouldBeEmpty)
		So(delivered, ShouldHaveLength, 2)
		So(delivered[0], ShouldHappenOnOrBetween, began.Add(time.Second), began.Add(1030*time.Millisecond))
	})
	Convey("An opening that can meet its latency target there waits also if it was only offered", t, func() {
		ga := coldGate(1, 10*time.Second)
		So(openAt(ga, began, 1, DeliverIfFree).Kind, ShouldEqual, KindDeliver)
		accept(ga, began, 1)
		// The target is 100 ms after the opening.
		So(openAt(ga, began.Add(900*time.Millisecond), 2, DeliverIfFree).Kind, ShouldEqual, KindDecline)
		ga.Tick(began.Add(900 * time.Millisecond))
		So(ga.Deadline(), ShouldHappenAfter, began.Add(time.Second))
		So(openAt(ga, began.Add(960*time.Millisecond), 3, DeliverIfFree).Kind, ShouldEqual, KindConfirm)
		So(ga.Deadline(), ShouldEqual, began.Add(time.Second))
	})
	Convey("What waits is handed over when the host is warm", t, func() {
		ga := coldGate(1, 300*time.Millisecond)
		So(openAt(ga, began, 1, DeliverOrQueue).Kind, ShouldEqual, KindDeliver)
		So(openAt(ga, began, 2, DeliverOrQueue).Kind, ShouldEqual, KindConfirm)
		So(openAt(ga, began, 3, DeliverOrQueue).Kind, ShouldEqual, KindConfirm)
		delivered, _ := tickUntil(ga, began, began.Add(time.Second))
		So(delivered, ShouldHaveLength, 2)
		So(delivered[1], ShouldHappenOnOrBetween, began.Add(300*time.Millisecond), began.Add(330*time.Millisecond))
	})
	Convey("A warm host, and a cold one without a limit, gets everything", t, func() {
		for _, ga := range []*Gate{coldGate(1, 0), coldGate(0, time.Second)} {
			for port := range uint16(8) {
				So(openAt(ga, began, port, DeliverOrQueue).Kind, ShouldEqual, KindDeliver)
			}
			So(openAt(ga, began, 9, DeliverOrQueue).Kind, ShouldEqual, KindConfirm)
		}
	})
}

// Copies of openings made a cold host exceed its limit; declined, they opened the flow at
// a second host.
func TestCopyCountsAgainstTheLimit(t *testing.T) {
	copyOf := func(ga *Gate, now time.Time, port uint16) Action {
		pk := openingOf(port)
		pk.Copy = 1
		list := ga.HandleForwarded(now, ForwardedPacket{
			Packet: pk, From: addressOfBalancer, Mode: DeliverOrQueue, Started: began, ServiceHash: serviceHash(simService),
		}, []byte{1})
		return list[len(list)-1]
	}
	Convey("A copy of an opening that was handed over counts", t, func() {
		ga := coldGate(2, 10*time.Second)
		So(openAt(ga, began, 1, DeliverOrQueue).Kind, ShouldEqual, KindDeliver)
		So(copyOf(ga, began.Add(200*time.Millisecond), 1).Kind, ShouldEqual, KindDeliver)
		So(openAt(ga, began.Add(300*time.Millisecond), 2, DeliverOrQueue).Kind, ShouldEqual, KindConfirm)
	})
	Convey("Above the limit it is confirmed, waits, and leaves the flow as it is", t, func() {
		ga := coldGate(1, 10*time.Second)
		So(openAt(ga, began, 1, DeliverOrQueue).Kind, ShouldEqual, KindDeliver)
		before := ga.flows.peek(openingOf(1).Flow)
		So(copyOf(ga, began.Add(200*time.Millisecond), 1).Kind, ShouldEqual, KindConfirm)
		delivered, _ := tickUntil(ga, began, began.Add(1300*time.Millisecond))
		So(delivered, ShouldHaveLength, 1)
		So(ga.flows.peek(openingOf(1).Flow), ShouldEqual, before)
	})
	Convey("A copy whose flow has ended while it waited isn't handed over", t, func() {
		ga := coldGate(1, 10*time.Second)
		So(openAt(ga, began, 1, DeliverOrQueue).Kind, ShouldEqual, KindDeliver)
		So(copyOf(ga, began.Add(200*time.Millisecond), 1).Kind, ShouldEqual, KindConfirm)
		accept(ga, began.Add(300*time.Millisecond), 1)
		delivered, _ := tickUntil(ga, began, began.Add(1300*time.Millisecond))
		So(delivered, ShouldBeEmpty)
	})
	Convey("A copy that no turn is left for is confirmed, as its balancer would open the flow elsewhere", t, func() {
		ga := coldGate(1, 10*time.Second)
		So(openAt(ga, began, 1, DeliverOrQueue).Kind, ShouldEqual, KindDeliver)
		So(openAt(ga, began, 2, DeliverOrQueue).Kind, ShouldEqual, KindConfirm)
		So(copyOf(ga, began.Add(200*time.Millisecond), 1).Kind, ShouldEqual, KindConfirm)
		So(ga.queue.items, ShouldHaveLength, 1)
	})
}

// The hosts of a domain had been replaced while it was evacuated, and got a burst as soon
// as the evacuation ended.
func TestHostsCountAsColdAfterAnEvacuation(t *testing.T) {
	Convey("The host is limited for the warm-up time, or until it checks in as warm", t, func() {
		ga := coldGate(1, 0)
		ga.SetEvacuated(began, true)
		ga.SetEvacuated(began.Add(time.Minute), false)
		now := began.Add(time.Minute)
		So(ga.Report(now).State, ShouldEqual, register.StateWarming)
		So(openAt(ga, now, 1, DeliverIfFree).Kind, ShouldEqual, KindDeliver)
		So(openAt(ga, now, 2, DeliverIfFree).Reason, ShouldEqual, ReasonWarming)
		So(ga.Report(now.Add(1999*time.Millisecond)).State, ShouldEqual, register.StateWarming)
		So(ga.Report(now.Add(2*time.Second)).State, ShouldEqual, register.StateReady)

		ga.CheckIn(now.Add(time.Second/2), CheckIn{
			Name: "i-1", StartedAt: began, Sequence: 2, Service: simService, Address: simHostAddress, Slots: 4, WarmAt: now,
		})
		So(ga.Report(now.Add(time.Second/2)).State, ShouldEqual, register.StateReady)
		So(openAt(ga, now.Add(time.Second/2), 3, DeliverIfFree).Kind, ShouldEqual, KindDeliver)
	})
	Convey("Without a limit the host is ready at once", t, func() {
		ga := coldGate(0, 0)
		ga.SetEvacuated(began, true)
		ga.SetEvacuated(began, false)
		So(ga.Report(began).State, ShouldEqual, register.StateReady)
	})
	Convey("A balancer that hears of the end first counts the hosts as cold until they report", t, func() {
		pl := placerWithDomains(PlacerSettings{}, "a")
		pl.SetRoutes(afterStartup, warmUpRoutes(1))
		pl.SetEvacuations(afterStartup, evacuated(2, "a"))
		pl.SetEvacuations(afterStartup, evacuated(3))
		for _, ag := range pl.agents {
			So(ag.isCold(afterStartup), ShouldBeTrue)
			So(ag.isCold(afterStartup.Add(2*time.Second)), ShouldBeFalse)
			pl.HandleReport(afterStartup, ag.address, Report{State: register.StateReady, Slots: 2})
			So(ag.isCold(afterStartup), ShouldBeFalse)
		}
	})
}

// After a loss of power agents and hosts started together, and hosts that had passed the
// health check but not checked in got a whole burst.
func TestPresumedHostCountsAsCold(t *testing.T) {
	presumed := func(perSecond float64) *Gate {
		ga := NewGate(began, GateSettings{
			Service: simService, HostAddress: simHostAddress, HeartbeatInterval: time.Second, FlowLifetime: time.Minute,
			OpeningTimeout: simOpeningTimeout,
		})
		ga.SetRoutes(warmUpRoutes(perSecond))
		ga.PresumeHealthy(began)
		return ga
	}
	Convey("It is limited until it checks in as warm", t, func() {
		ga := presumed(1)
		So(ga.Report(began).State, ShouldEqual, register.StateWarming)
		So(openAt(ga, began, 1, DeliverIfFree).Kind, ShouldEqual, KindDeliver)
		So(openAt(ga, began, 2, DeliverIfFree).Reason, ShouldEqual, ReasonWarming)
		ga.CheckIn(began, CheckIn{
			Name: "i-1", StartedAt: began.Add(-time.Hour), Sequence: 90, Service: simService, Address: simHostAddress, Slots: 4, WarmAt: began,
		})
		So(ga.Report(began).State, ShouldEqual, register.StateReady)
		So(openAt(ga, began, 3, DeliverIfFree).Kind, ShouldEqual, KindDeliver)
	})
	Convey("Without a limit it is ready at once", t, func() {
		So(presumed(0).Report(began).State, ShouldEqual, register.StateReady)
	})
}

// placeOpenings sends openings through the placer, each confirmed at once, and returns how
// often each agent got one in each mode.
func placeOpenings(pl *Placer, now time.Time, from uint16, count int, state register.State) map[netip.AddrPort][]DeliveryMode {
	got := make(map[netip.AddrPort][]DeliveryMode)
	for i := range count {
		for _, ac := range pl.HandlePacket(now, openingOf(from+uint16(i)), nil) {
			if ac.Kind == KindForward {
				got[ac.To] = append(got[ac.To], ac.Mode)
				pl.HandleConfirmation(now, ac.To, ac.Flow, Report{State: state, Slots: 2})
				break
			}
		}
	}
	return got
}

// All balancers sent their openings to the same cold hosts, which declined most of them.
func TestBalancerKeepsToItsShareOfTheLimit(t *testing.T) {
	cold := func(perSecond float64, others int) *Placer {
		pl := placerWithDomains(PlacerSettings{}, "a", "b")
		pl.SetRoutes(afterStartup, warmUpRoutes(perSecond))
		pl.SetSharingBalancers(others)
		for _, ag := range pl.agents {
			pl.HandleReport(afterStartup, ag.address, Report{State: register.StateWarming, Slots: 2})
		}
		return pl
	}
	Convey("Each cold host gets the share, also of another domain, before one gets more", t, func() {
		pl := cold(8, 3)
		got := placeOpenings(pl, afterStartup, 1, 8, register.StateWarming)
		So(got, ShouldHaveLength, 4)
		for _, modes := range got {
			So(modes, ShouldResemble, []DeliveryMode{DeliverIfFree, DeliverIfFree})
		}
		Convey("The excess goes to one that is to queue it, and a second later the share is free again", func() {
			for _, modes := range placeOpenings(pl, afterStartup, 20, 3, register.StateWarming) {
				for _, mode := range modes {
					So(mode, ShouldEqual, DeliverOrQueue)
				}
			}
			next := afterStartup.Add(time.Second)
			for _, modes := range placeOpenings(pl, next, 30, 4, register.StateWarming) {
				So(modes[0], ShouldEqual, DeliverIfFree)
			}
		})
	})
	Convey("With more balancers than the limit each may send one", t, func() {
		for _, modes := range placeOpenings(cold(8, 24), afterStartup, 1, 4, register.StateWarming) {
			So(modes, ShouldResemble, []DeliveryMode{DeliverIfFree})
		}
	})
	Convey("A host that is warm gets what the cold ones may not", t, func() {
		pl := cold(1, 0)
		warm := pl.pools[simService][3]
		pl.HandleReport(afterStartup, warm.address, Report{State: register.StateReady, Slots: 2})
		for _, ag := range pl.pools[simService][:3] {
			ag.sentCold.Add(afterStartup, 1)
		}
		for port := range uint16(5) {
			list := pl.HandlePacket(afterStartup, openingOf(port), nil)
			So(list[0].To, ShouldEqual, warm.address)
			pl.HandleConfirmation(afterStartup, warm.address, list[0].Flow, Report{State: register.StateReady, Slots: 2})
		}
	})
	Convey("A cold host at its limit goes before one that is draining", t, func() {
		pl := cold(1, 0)
		pool := pl.pools[simService]
		for _, ag := range pool[1:] {
			pl.HandleReport(afterStartup, ag.address, Report{State: register.StateDraining, Slots: 2})
		}
		pool[0].sentCold.Add(afterStartup, 1)
		list := pl.HandlePacket(afterStartup, openingOf(1), nil)
		So(list[0].To, ShouldEqual, pool[0].address)
		So(list[0].Mode, ShouldEqual, DeliverOrQueue)
	})
	Convey("Openings that wait at the balancer wait until a share is free", t, func() {
		pl := cold(1, 0)
		for _, ag := range pl.agents {
			ag.sentCold.Add(afterStartup, 1)
		}
		So(pl.hasRoom(afterStartup, simService), ShouldBeFalse)
		So(pl.hasRoom(afterStartup.Add(time.Second), simService), ShouldBeTrue)
	})
}

// An opening that every cold host declined was sent to the same two hosts again and again.
func TestDeclinedAsWarming(t *testing.T) {
	warming := Report{State: register.StateWarming, Slots: 2}
	Convey("After two offers hosts are asked to queue the opening, each at most once, then it is refused", t, func() {
		pl := placerWithDomains(PlacerSettings{}, "a")
		pl.SetRoutes(afterStartup, warmUpRoutes(8))
		for _, ag := range pl.agents {
			pl.HandleReport(afterStartup, ag.address, warming)
		}
		list := pl.HandlePacket(afterStartup, openingOf(1), nil)
		var modes []DeliveryMode
		asked := make(map[netip.AddrPort]int)
		for list[0].Kind == KindForward {
			modes = append(modes, list[0].Mode)
			asked[list[0].To]++
			list = pl.HandleDecline(afterStartup, list[0].To, openingOf(1), nil, ReasonWarming, warming)
		}
		So(modes, ShouldResemble, []DeliveryMode{DeliverIfFree, DeliverIfFree, DeliverOrQueue, DeliverOrQueue})
		So(asked, ShouldHaveLength, 2)
		So(list, ShouldHaveLength, 1)
		So(list[0].Kind, ShouldEqual, KindReset)
		So(list[0].Reason, ShouldEqual, ReasonWarming)
	})
}
