package carriage

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"corneltiller.dev/corneltiller/internal/state/register"
)

func TestCalmDay(t *testing.T) {
	Convey("Every caller is served by the host that accepted its flow", t, func() {
		wo := newWorld(1, 3, 6)
		wo.load(400, began.Add(5*time.Second))
		wo.runUntil(began.Add(10 * time.Second))
		So(wo.refused+wo.failed+wo.wrong+wo.resetsOfOpen, ShouldEqual, 0)
		So(len(wo.strays), ShouldEqual, 0)
		So(wo.served, ShouldEqual, len(wo.callers))
	})
}

func TestRotationMovesFlows(t *testing.T) {
	Convey("Open flows are found when the fabric turns to other balancers", t, func() {
		wo := newWorld(2, 3, 6)
		for _, ho := range wo.hosts {
			ho.work = 400 * time.Millisecond
		}
		wo.load(20, began.Add(6*time.Second))
		for i := range 5 {
			wo.after(time.Duration(i+1)*time.Second, func() {
				if i%2 == 0 {
					wo.rotation = []int{0, 2}
				} else {
					wo.rotation = []int{0, 1, 2}
				}
			})
		}
		wo.loss = 0.02
		wo.runUntil(began.Add(20 * time.Second))
		So(wo.refused+wo.failed+wo.wrong+wo.resetsOfOpen, ShouldEqual, 0)
		So(len(wo.strays), ShouldEqual, 0)
	})
}

func TestHostDies(t *testing.T) {
	Convey("Openings go to the next host within the goal, though host and agent fell silent", t, func() {
		wo := newWorld(3, 3, 6)
		wo.load(200, began.Add(4*time.Second))
		wo.after(2*time.Second, func() {
			wo.crashHost(0)
			wo.stopAgent(0)
		})
		wo.runUntil(began.Add(15 * time.Second))
		So(wo.refused, ShouldEqual, 0)
		So(wo.wrong+wo.resetsOfOpen, ShouldEqual, 0)
		// The flows that the dead host held are lost.
		So(wo.failed, ShouldBeLessThanOrEqualTo, overlap*worldSlots)
		So(wo.late, ShouldBeLessThanOrEqualTo, 2)
	})
	Convey("A host that died beside a live agent gets no more openings", t, func() {
		wo := newWorld(4, 3, 6)
		wo.load(200, began.Add(4*time.Second))
		wo.after(2*time.Second, func() { wo.crashHost(0) })
		wo.runUntil(began.Add(15 * time.Second))
		So(wo.refused+wo.wrong+wo.resetsOfOpen, ShouldEqual, 0)
		So(wo.failed, ShouldBeLessThanOrEqualTo, overlap*worldSlots)
		So(wo.late, ShouldBeLessThanOrEqualTo, 6)
	})
}

func TestReportsOutdoRecords(t *testing.T) {
	Convey("A change of one member doesn't bring back what another one has outgrown", t, func() {
		pl := NewPlacer(began, PlacerSettings{Domain: "a", OpeningTimeout: worldPatient})
		pl.SetRoutes(began, newWorld(1, 1, 1).routes)
		first := Agent{Address: netip.MustParseAddrPort("10.2.0.1:7000"), Service: worldService, Domain: "a", Slots: 2}
		first.Incarnation = 1
		second := first
		second.Address = netip.MustParseAddrPort("10.2.0.2:7000")
		// The record that says that its host is ready was lost on the way.
		pl.SetAgents(began, []Agent{first, second})
		pl.HandleReport(began, first.Address, Report{State: register.StateReady, Slots: 2})
		second.Sequence++
		second.State = register.StateDraining
		pl.SetAgents(began, []Agent{first, second})
		list := pl.HandlePacket(began, Packet{Flow: Flow{Caller: netip.MustParseAddrPort("100.64.0.1:1"), Service: worldAddress}, Opening: true}, nil)
		So(len(list), ShouldEqual, 1)
		So(list[0].Kind, ShouldEqual, KindForward)
		So(list[0].To, ShouldEqual, first.Address)
	})
}

func TestHostRefuses(t *testing.T) {
	Convey("A host that returns every opening doesn't draw callers by being idle", t, func() {
		wo := newWorld(12, 3, 6)
		wo.load(300, began.Add(6*time.Second))
		wo.after(2*time.Second, func() { wo.hosts[0].refusing = true })
		wo.after(4*time.Second, func() { wo.hosts[0].refusing = false })
		wo.runUntil(began.Add(6 * time.Second))
		So(wo.refused+wo.failed+wo.wrong+wo.resetsOfOpen, ShouldEqual, 0)
		So(wo.refusals, ShouldBeLessThan, 30)
		before := len(wo.hosts[0].flows)
		wo.load(300, wo.now.Add(time.Second))
		wo.runUntil(wo.now.Add(time.Second))
		So(len(wo.hosts[0].flows), ShouldBeGreaterThan, before)
	})
}

func TestHostBreaksFlows(t *testing.T) {
	Convey("A host that accepts flows and resets them soon gets no more", t, func() {
		wo := newWorld(14, 3, 6)
		wo.load(300, began.Add(6*time.Second))
		wo.after(2*time.Second, func() { wo.hosts[0].breaking = true })
		wo.after(4*time.Second, func() { wo.hosts[0].breaking = false })
		wo.runUntil(began.Add(6 * time.Second))
		So(wo.refused+wo.failed+wo.wrong+wo.resetsOfOpen, ShouldEqual, 0)
		So(wo.brokenByHost, ShouldBeLessThan, 30)
		before := len(wo.hosts[0].flows)
		wo.load(300, wo.now.Add(time.Second))
		wo.runUntil(wo.now.Add(time.Second))
		So(len(wo.hosts[0].flows), ShouldBeGreaterThan, before)
	})
}

func TestCallerIsFasterThanTheConfirmation(t *testing.T) {
	Convey("A packet that the second host doesn't hold starts a search before the opening is confirmed", t, func() {
		pl := NewPlacer(began, PlacerSettings{Domain: "a", OpeningTimeout: worldPatient})
		pl.SetRoutes(began, newWorld(1, 1, 1).routes)
		var agents []Agent
		for i := range 2 {
			ag := Agent{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(i + 1)}), 7000), Service: worldService, Domain: "a"}
			ag.State, ag.Slots, ag.Incarnation = register.StateReady, 2, 1
			agents = append(agents, ag)
		}
		pl.SetAgents(began, agents)
		flow := Flow{Caller: netip.MustParseAddrPort("100.64.0.1:1"), Service: worldAddress}
		first := pl.HandlePacket(began, Packet{Flow: flow, Opening: true}, nil)[0].To
		now := began.Add(ConfirmTimeout)
		second := netip.AddrPort{}
		for _, ac := range pl.Tick(now) {
			if ac.Kind == KindForward {
				second = ac.To
			}
		}
		So(second, ShouldNotEqual, first)
		request := Packet{Flow: flow, Sequence: 1, Acknowledged: 9}
		So(pl.HandlePacket(now, request, nil)[0].To, ShouldEqual, second)
		asked := 0
		for _, ac := range pl.HandleDecline(now, second, request, nil, ReasonNotHeld, Report{State: register.StateReady, Slots: 2}) {
			if ac.Kind == KindFind {
				asked++
			}
		}
		So(asked, ShouldEqual, 2)
		carried := pl.HandleFindAnswer(now, first, flow, true)
		So(carried[len(carried)-1].To, ShouldEqual, first)
	})
}

func TestHostStartsAnew(t *testing.T) {
	Convey("Callers of a host that has lost their flows are told at once", t, func() {
		wo := newWorld(13, 2, 2)
		for _, ho := range wo.hosts {
			ho.work = 2 * time.Second
		}
		wo.load(20, began.Add(150*time.Millisecond))
		wo.runUntil(began.Add(time.Second))
		held := len(wo.hosts[0].flows)
		So(held, ShouldBeGreaterThan, 0)
		wo.crashHost(0)
		wo.startHost(0)
		for _, ca := range wo.callers {
			wo.request(ca, time.Second)
		}
		wo.runUntil(wo.now.Add(100 * time.Millisecond))
		So(wo.refused, ShouldEqual, held)
		So(wo.resetsOfOpen, ShouldEqual, 0)
		wo.runUntil(wo.now.Add(10 * time.Second))
		So(wo.wrong+wo.resetsOfOpen, ShouldEqual, 0)
	})
}

func TestAgentRestarts(t *testing.T) {
	Convey("Flows that a host holds go on after its agent was restarted", t, func() {
		wo := newWorld(5, 2, 4)
		for _, ho := range wo.hosts {
			ho.work = time.Second
		}
		wo.load(5, began.Add(3*time.Second))
		wo.after(2*time.Second, func() { wo.stopAgent(1) })
		wo.after(2500*time.Millisecond, func() { wo.startAgent(1) })
		wo.runUntil(began.Add(15 * time.Second))
		So(wo.refused+wo.failed+wo.wrong+wo.resetsOfOpen, ShouldEqual, 0)
	})
}

func TestAgentOfAnotherServiceHoldsNoFlow(t *testing.T) {
	Convey("A restarted agent claims and tries no flow of an address that its service doesn't own", t, func() {
		for _, service := range []string{worldService, "ledgerwash"} {
			ga := NewGate(began, GateSettings{HeartbeatInterval: worldBeat, FlowLifetime: time.Minute})
			ga.SetRoutes(newWorld(1, 1, 1).routes)
			ga.CheckIn(began, CheckIn{Name: "h", StartedAt: began, Sequence: newbornSequence + 1, Service: service, Slots: 2})
			flow := Flow{Caller: netip.MustParseAddrPort("100.64.0.1:1"), Service: worldAddress}
			claims := len(ga.HandleFind(began, netip.AddrPort{}, flow, 1))
			list := ga.HandleForwarded(began, ForwardedPacket{Packet: Packet{Flow: flow}, Mode: DeliverTentatively}, nil)
			if service == worldService {
				So(claims, ShouldEqual, 1)
				So(list[0].Kind, ShouldEqual, KindDeliver)
			} else {
				So(claims, ShouldEqual, 0)
				So(list[0].Kind, ShouldEqual, KindDecline)
			}
		}
	})
}

func TestDrainingHost(t *testing.T) {
	Convey("A leaving host gets no new flow after its grace and keeps the open ones", t, func() {
		wo := newWorld(6, 3, 3)
		wo.load(150, began.Add(8*time.Second))
		wo.loss = 0.05
		wo.after(time.Second, func() { wo.drainHost(0) })
		wo.after(1500*time.Millisecond, func() { wo.drainHost(1) })
		wo.runUntil(began.Add(20 * time.Second))
		So(wo.openedAfterDrain, ShouldEqual, 0)
		So(wo.wrong+wo.resetsOfOpen, ShouldEqual, 0)
	})
	Convey("A host that was leaving before its agent was restarted gets no new flow", t, func() {
		wo := newWorld(6, 1, 1)
		wo.drainHost(0)
		wo.runUntil(began.Add(3 * time.Second))
		wo.stopAgent(0)
		wo.startAgent(0)
		wo.runUntil(wo.now.Add(worldBeat))
		wo.open(1)
		wo.runUntil(wo.now.Add(time.Second))
		So(wo.openedAfterDrain, ShouldEqual, 0)
		So(wo.deliveries, ShouldEqual, 0)
	})
	Convey("A leaving host that has fallen silent gets no new flow after its grace", t, func() {
		ga := NewGate(began, GateSettings{HeartbeatInterval: worldBeat, OpeningTimeout: worldPatient})
		ci := CheckIn{Name: "h", StartedAt: began, Sequence: 1, Service: worldService, Slots: 2}
		ga.CheckIn(began, ci)
		ci.Sequence, ci.Draining = 2, true
		ga.CheckIn(began, ci)
		now := began.Add(checkInsMissed * worldBeat)
		ga.Tick(now)
		So(ga.Report(now).State, ShouldEqual, register.State(0))
		flow := Flow{Caller: netip.MustParseAddrPort("100.64.0.1:1"), Service: worldAddress}
		of := ForwardedPacket{Packet: Packet{Flow: flow, Opening: true}, Mode: UrgencyTake, Started: now, ServiceHash: serviceTag(worldService)}
		list := ga.HandleForwarded(now, of, nil)
		So(list[0].Kind, ShouldEqual, KindDecline)
		So(list[0].Reason, ShouldEqual, ReasonDraining)
	})
	Convey("An opening that no host may take is refused at once", t, func() {
		wo := newWorld(7, 1, 2)
		wo.runUntil(began.Add(startupTime + time.Second))
		wo.drainHost(0)
		wo.drainHost(1)
		wo.runUntil(wo.now.Add(drainGrace + time.Second))
		wo.open(1)
		wo.runUntil(wo.now.Add(50 * time.Millisecond))
		So(wo.refused, ShouldEqual, 1)
		So(wo.deliveries, ShouldEqual, 0)
	})
}

func TestEverythingRestarts(t *testing.T) {
	Convey("After all processes were killed callers are served again, the timely ones first", t, func() {
		wo := newWorld(8, 3, 6)
		wo.load(400, began.Add(8*time.Second))
		wo.after(3*time.Second, func() {
			for i := range wo.balancers {
				wo.stopBalancer(i)
			}
			for i := range wo.hosts {
				wo.stopAgent(i)
			}
		})
		wo.after(3800*time.Millisecond, func() {
			for i := range wo.hosts {
				wo.startAgent(i)
			}
			wo.rotation = nil
			for i := range wo.balancers {
				wo.startBalancer(i)
			}
		})
		wo.runUntil(began.Add(5500 * time.Millisecond))
		servedBefore, lateBefore := wo.served, wo.late
		wo.runUntil(began.Add(8 * time.Second))
		served, late := wo.served-servedBefore, wo.late-lateBefore
		So(wo.wrong+wo.resetsOfOpen, ShouldEqual, 0)
		So(late*20, ShouldBeLessThan, served)
		So(served, ShouldBeGreaterThan, 900)
	})
}

func TestBacklogDoesNotMakeAllLate(t *testing.T) {
	Convey("Under more load than the hosts can serve most of what is served is in time", t, func() {
		wo := newWorld(9, 3, 4)
		// Eight slots of 15 ms serve about 530 a second.
		wo.load(700, began.Add(6*time.Second))
		wo.runUntil(began.Add(12 * time.Second))
		// The copies of an opening that waits stay with its host.
		So(wo.duplicates(), ShouldEqual, 0)
		inTime := wo.served - wo.late
		So(wo.wrong+wo.resetsOfOpen, ShouldEqual, 0)
		So(inTime, ShouldBeGreaterThan, 6*530*6/10)
	})
}

func TestSlowHosts(t *testing.T) {
	Convey("While others have room, hosts that have turned slow get few flows", t, func() {
		wo := newWorld(15, 3, 10)
		wo.load(450, began.Add(7*time.Second))
		slow := func(work time.Duration) {
			for _, ho := range wo.hosts[:3] {
				ho.work = work
			}
		}
		wo.after(time.Second, func() { slow(120 * time.Millisecond) })
		wo.after(4*time.Second, func() { slow(15 * time.Millisecond) })
		wo.runUntil(began.Add(4 * time.Second))
		So(wo.refused+wo.failed+wo.wrong+wo.resetsOfOpen, ShouldEqual, 0)
		// A host is learned to be slow from a few flows and tried twice a second.
		So(wo.late, ShouldBeLessThan, 60)
		wo.runUntil(began.Add(6 * time.Second))
		before := wo.opened(wo.hosts[:3])
		wo.runUntil(began.Add(7 * time.Second))
		So(wo.opened(wo.hosts[:3])-before, ShouldBeGreaterThan, 90)
	})
	Convey("Hosts that are all as slow share the load as before", t, func() {
		wo := newWorld(16, 3, 6)
		for _, ho := range wo.hosts {
			ho.work = 60 * time.Millisecond
		}
		wo.load(100, began.Add(4*time.Second))
		wo.runUntil(began.Add(4 * time.Second))
		for _, ho := range wo.hosts {
			So(len(ho.flows), ShouldBeGreaterThan, 40)
		}
	})
}

func TestFlowsStayWhole(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		wo := newWorld(seed, 3, 6)
		wo.loss = float64(rapid.IntRange(0, 5).Draw(rt, "loss")) / 100
		for _, ho := range wo.hosts {
			ho.work = time.Duration(rapid.IntRange(5, 300).Draw(rt, "work")) * time.Millisecond
		}
		wo.load(rapid.IntRange(5, 60).Draw(rt, "rate"), began.Add(6*time.Second))
		for range rapid.IntRange(0, 6).Draw(rt, "faults") {
			scheduleFault(rt, wo)
		}
		wo.runUntil(began.Add(20 * time.Second))
		problem := ""
		for flow, count := range wo.strays {
			if count >= 3 {
				problem += fmt.Sprintf("flow %s: %d packets at other hosts; ", flow, count)
			}
		}
		if wo.resetsOfOpen+wo.wrong+wo.openedAfterDrain > 0 || problem != "" {
			rt.Fatalf("resets of open flows %d, wrong answers %d, openings after drain %d, %s",
				wo.resetsOfOpen, wo.wrong, wo.openedAfterDrain, problem)
		}
	})
}

// scheduleFault draws one fault and when it strikes.
func scheduleFault(rt *rapid.T, wo *world) {
	at := time.Duration(rapid.IntRange(500, 7000).Draw(rt, "at")) * time.Millisecond
	host := rapid.IntRange(0, len(wo.hosts)-1).Draw(rt, "host")
	balancer := rapid.IntRange(0, len(wo.balancers)-1).Draw(rt, "balancer")
	back := time.Duration(rapid.IntRange(100, 3000).Draw(rt, "back")) * time.Millisecond
	switch rapid.SampledFrom([]string{"crash", "agent", "drain", "balancer", "rotation"}).Draw(rt, "kind") {
	case "crash":
		wo.after(at, func() { wo.crashHost(host) })
		wo.after(at+back, func() { wo.startHost(host) })
	case "agent":
		wo.after(at, func() { wo.stopAgent(host) })
		wo.after(at+back, func() { wo.startAgent(host) })
	case "drain":
		wo.after(at, func() { wo.drainHost(host) })
	case "balancer":
		wo.after(at, func() { wo.stopBalancer(balancer) })
		wo.after(at+back, func() {
			if !wo.balancers[balancer].live {
				wo.rotation = without(wo.rotation, balancer)
				wo.startBalancer(balancer)
			}
		})
	case "rotation":
		wo.after(at, func() { wo.rotation = without(wo.rotation, balancer) })
		wo.after(at+back, func() {
			if wo.balancers[balancer].live {
				wo.rotation = append(without(wo.rotation, balancer), balancer)
			}
		})
	}
}

func without(list []int, number int) []int {
	var kept []int
	for _, it := range list {
		if it != number {
			kept = append(kept, it)
		}
	}
	return kept
}

func TestIsolatedBalancer(t *testing.T) {
	Convey("A balancer that is cut off refuses at once and is not ready", t, func() {
		wo := newWorld(10, 2, 4)
		wo.runUntil(began.Add(startupTime + time.Second))
		wo.cut = wo.balancers[0]
		wo.rotation = []int{0}
		wo.load(100, wo.now.Add(2*time.Second))
		wo.runUntil(wo.now.Add(400 * time.Millisecond))
		So(wo.balancers[0].placer.Ready(wo.now), ShouldBeFalse)
		before := wo.refused
		wo.runUntil(wo.now.Add(500 * time.Millisecond))
		So(wo.refused-before, ShouldBeGreaterThan, 30)
		wo.cut = nil
		wo.runUntil(wo.now.Add(1500 * time.Millisecond))
		So(wo.balancers[0].placer.Ready(wo.now), ShouldBeTrue)
		So(wo.resetsOfOpen+wo.wrong, ShouldEqual, 0)
	})
	Convey("A balancer that hears others keeps openings while all agents are away", t, func() {
		wo := newWorld(11, 2, 4)
		wo.runUntil(began.Add(startupTime + time.Second))
		for i := range wo.hosts {
			wo.stopAgent(i)
		}
		wo.load(50, wo.now.Add(time.Second))
		wo.runUntil(wo.now.Add(800 * time.Millisecond))
		So(wo.refused, ShouldEqual, 0)
		So(wo.balancers[0].placer.Ready(wo.now), ShouldBeTrue)
	})
}
