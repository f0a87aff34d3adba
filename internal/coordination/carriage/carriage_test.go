package carriage

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"corneltiller.dev/corneltiller/internal/state/register"
)

func TestWithoutFaults(t *testing.T) {
	Convey("Every caller is served by the host that accepted its flow", t, func() {
		si := newSimulation(1, 3, 6)
		si.load(400, began.Add(5*time.Second))
		si.runUntil(began.Add(10 * time.Second))
		So(si.refused+si.failed+si.wrongAnswers+si.resetsOfOpen, ShouldEqual, 0)
		So(len(si.misdelivered()), ShouldEqual, 0)
		So(si.served, ShouldEqual, len(si.callers))
	})
}

func TestFlowsFoundByOtherBalancers(t *testing.T) {
	Convey("Open flows are found when the fabric steers their packets to other balancers", t, func() {
		si := newSimulation(2, 3, 6)
		for _, ho := range si.hosts {
			ho.work = 400 * time.Millisecond
		}
		si.load(20, began.Add(6*time.Second))
		for i := range 5 {
			si.after(time.Duration(i+1)*time.Second, func() {
				if i%2 == 0 {
					si.rotation = []int{0, 2}
				} else {
					si.rotation = []int{0, 1, 2}
				}
			})
		}
		si.loss = 0.02
		si.runUntil(began.Add(20 * time.Second))
		So(si.refused+si.failed+si.wrongAnswers+si.resetsOfOpen, ShouldEqual, 0)
		So(len(si.misdelivered()), ShouldEqual, 0)
	})
}

func TestHostCrash(t *testing.T) {
	Convey("When a host crashes together with its agent, openings go to the next host and at most two answers are late", t, func() {
		si := newSimulation(3, 3, 6)
		si.load(200, began.Add(4*time.Second))
		si.after(2*time.Second, func() {
			si.crashHost(0)
			si.stopAgent(0)
		})
		si.runUntil(began.Add(15 * time.Second))
		So(si.refused, ShouldEqual, 0)
		So(si.wrongAnswers+si.resetsOfOpen, ShouldEqual, 0)
		// Only the flows that the crashed host held are lost.
		So(si.failed, ShouldBeLessThanOrEqualTo, flowsPerSlot*simSlots)
		So(si.lateAnswers, ShouldBeLessThanOrEqualTo, 2)
	})
	Convey("A host that crashed beside a running agent soon gets no more openings", t, func() {
		si := newSimulation(4, 3, 6)
		si.load(200, began.Add(4*time.Second))
		si.after(2*time.Second, func() { si.crashHost(0) })
		si.runUntil(began.Add(15 * time.Second))
		So(si.refused+si.wrongAnswers+si.resetsOfOpen, ShouldEqual, 0)
		So(si.failed, ShouldBeLessThanOrEqualTo, flowsPerSlot*simSlots)
		So(si.lateAnswers, ShouldBeLessThanOrEqualTo, 6)
	})
}

// setAgents applies the records of agents.
func setAgents(pl *Placer, list ...Agent) {
	for _, me := range list {
		pl.SetAgent(began, me)
	}
}

func TestReportIsNewerThanRecord(t *testing.T) {
	Convey("A change of one member's record doesn't replace a newer report of another member by its older record", t, func() {
		pl := NewPlacer(began, PlacerSettings{Domain: "a", OpeningTimeout: simOpeningTimeout})
		pl.SetRoutes(began, newSimulation(1, 1, 1).routes)
		first := Agent{Address: netip.MustParseAddrPort("10.2.0.1:7000"), Service: simService, Domain: "a", Slots: 2}
		first.Incarnation = 1
		second := first
		second.Address = netip.MustParseAddrPort("10.2.0.2:7000")
		// The record with the host's state Ready is lost; the report has it.
		setAgents(pl, first, second)
		pl.HandleReport(began, first.Address, Report{State: register.StateReady, Slots: 2})
		second.Sequence++
		second.State = register.StateDraining
		setAgents(pl, first, second)
		list := pl.HandlePacket(began, Packet{Flow: Flow{Caller: netip.MustParseAddrPort("100.64.0.1:1"), Service: simAddress}, Opening: true}, nil)
		So(len(list), ShouldEqual, 1)
		So(list[0].Kind, ShouldEqual, KindForward)
		So(list[0].To, ShouldEqual, first.Address)
	})
}

func TestHostRefuses(t *testing.T) {
	Convey("A host that returns every opening gets few of them although it is idle, and gets flows again when it has recovered", t, func() {
		si := newSimulation(12, 3, 6)
		si.load(300, began.Add(6*time.Second))
		si.after(2*time.Second, func() { si.hosts[0].refusing = true })
		si.after(4*time.Second, func() { si.hosts[0].refusing = false })
		si.runUntil(began.Add(6 * time.Second))
		So(si.refused+si.failed+si.wrongAnswers+si.resetsOfOpen, ShouldEqual, 0)
		So(si.refusals, ShouldBeLessThan, 30)
		before := len(si.hosts[0].flows)
		si.load(300, si.now.Add(time.Second))
		si.runUntil(si.now.Add(time.Second))
		So(len(si.hosts[0].flows), ShouldBeGreaterThan, before)
	})
}

func TestHostResetsFlows(t *testing.T) {
	Convey("A host that accepts flows and resets them soon gets no more, until it has recovered", t, func() {
		si := newSimulation(14, 3, 6)
		si.load(300, began.Add(6*time.Second))
		si.after(2*time.Second, func() { si.hosts[0].breaking = true })
		si.after(4*time.Second, func() { si.hosts[0].breaking = false })
		si.runUntil(began.Add(6 * time.Second))
		So(si.refused+si.failed+si.wrongAnswers+si.resetsOfOpen, ShouldEqual, 0)
		So(si.brokenByHost, ShouldBeLessThan, 30)
		before := len(si.hosts[0].flows)
		si.load(300, si.now.Add(time.Second))
		si.runUntil(si.now.Add(time.Second))
		So(len(si.hosts[0].flows), ShouldBeGreaterThan, before)
	})
}

func TestPacketBeforeConfirmation(t *testing.T) {
	Convey("A packet of a flow that the second host doesn't hold starts a search while the opening there is unconfirmed", t, func() {
		pl := NewPlacer(began, PlacerSettings{Domain: "a", OpeningTimeout: simOpeningTimeout})
		pl.SetRoutes(began, newSimulation(1, 1, 1).routes)
		var agents []Agent
		for i := range 2 {
			ag := Agent{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(i + 1)}), 7000), Service: simService, Domain: "a"}
			ag.State, ag.Slots, ag.Incarnation = register.StateReady, 2, 1
			agents = append(agents, ag)
		}
		setAgents(pl, agents...)
		flow := Flow{Caller: netip.MustParseAddrPort("100.64.0.1:1"), Service: simAddress}
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
		forwarded := pl.HandleFindAnswer(now, first, flow, true)
		So(forwarded[len(forwarded)-1].To, ShouldEqual, first)
	})
}

func TestHostRestart(t *testing.T) {
	Convey("Callers of a host that has restarted and lost their flows are reset at once", t, func() {
		si := newSimulation(13, 2, 2)
		for _, ho := range si.hosts {
			ho.work = 2 * time.Second
		}
		si.load(20, began.Add(150*time.Millisecond))
		si.runUntil(began.Add(time.Second))
		held := len(si.hosts[0].flows)
		So(held, ShouldBeGreaterThan, 0)
		si.crashHost(0)
		si.startHost(0)
		for _, ca := range si.callers {
			si.request(ca, ca.sent, time.Second)
		}
		si.runUntil(si.now.Add(100 * time.Millisecond))
		So(si.refused, ShouldEqual, held)
		So(si.resetsOfOpen, ShouldEqual, 0)
		si.runUntil(si.now.Add(10 * time.Second))
		So(si.wrongAnswers+si.resetsOfOpen, ShouldEqual, 0)
	})
}

func TestAgentRestart(t *testing.T) {
	Convey("Flows that a host holds go on after its agent was restarted", t, func() {
		si := newSimulation(5, 2, 4)
		for _, ho := range si.hosts {
			ho.work = time.Second
		}
		si.load(5, began.Add(3*time.Second))
		si.after(2*time.Second, func() { si.stopAgent(1) })
		si.after(2500*time.Millisecond, func() { si.startAgent(1) })
		si.runUntil(began.Add(15 * time.Second))
		So(si.refused+si.failed+si.wrongAnswers+si.resetsOfOpen, ShouldEqual, 0)
	})
}

func TestAgentOfAnotherServiceHoldsNoFlow(t *testing.T) {
	Convey("A restarted agent neither claims nor delivers flows of an address that has no route to its service", t, func() {
		for _, service := range []string{simService, "ledgerwash"} {
			ga := NewGate(began, GateSettings{Service: service, HeartbeatInterval: simHeartbeat, FlowLifetime: time.Minute})
			ga.SetRoutes(newSimulation(1, 1, 1).routes)
			ga.CheckIn(began, CheckIn{Name: "h", StartedAt: began, Sequence: freshSequence + 1, Service: service, Slots: 2})
			flow := Flow{Caller: netip.MustParseAddrPort("100.64.0.1:1"), Service: simAddress}
			claims := len(ga.HandleFind(began, netip.AddrPort{}, FindRequest{Flow: flow, Acknowledged: 1, Possible: true}))
			list := ga.HandleForwarded(began, ForwardedPacket{Packet: Packet{Flow: flow}, Mode: DeliverTentatively}, nil)
			if service == simService {
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
	Convey("A draining host gets no new flow after drainGrace and keeps the open ones", t, func() {
		si := newSimulation(6, 3, 3)
		si.load(150, began.Add(8*time.Second))
		si.loss = 0.05
		si.after(time.Second, func() { si.drainHost(0) })
		si.after(1500*time.Millisecond, func() { si.drainHost(1) })
		si.runUntil(began.Add(20 * time.Second))
		So(si.openedAfterDrain, ShouldEqual, 0)
		So(si.wrongAnswers+si.resetsOfOpen, ShouldEqual, 0)
	})
	Convey("A host that was draining before its agent was restarted gets no new flow", t, func() {
		si := newSimulation(6, 1, 1)
		si.drainHost(0)
		si.runUntil(began.Add(3 * time.Second))
		si.stopAgent(0)
		si.startAgent(0)
		si.runUntil(si.now.Add(simHeartbeat))
		si.open(1)
		si.runUntil(si.now.Add(time.Second))
		So(si.openedAfterDrain, ShouldEqual, 0)
		So(si.deliveries, ShouldEqual, 0)
	})
	Convey("A draining host that has fallen silent gets no new flow after drainGrace", t, func() {
		ga := NewGate(began, GateSettings{Service: simService, HeartbeatInterval: simHeartbeat, OpeningTimeout: simOpeningTimeout})
		ci := CheckIn{Name: "h", StartedAt: began, Sequence: 1, Service: simService, Slots: 2}
		ga.CheckIn(began, ci)
		ci.Sequence, ci.Draining = 2, true
		ga.CheckIn(began, ci)
		now := began.Add(maxMissedCheckIns * simHeartbeat)
		ga.Tick(now)
		So(ga.Report(now).State, ShouldEqual, register.State(0))
		flow := Flow{Caller: netip.MustParseAddrPort("100.64.0.1:1"), Service: simAddress}
		fp := ForwardedPacket{Packet: Packet{Flow: flow, Opening: true}, Mode: DeliverOrQueue, Started: now, ServiceHash: serviceHash(simService)}
		list := ga.HandleForwarded(now, fp, nil)
		So(list[0].Kind, ShouldEqual, KindDecline)
		So(list[0].Reason, ShouldEqual, ReasonDraining)
	})
	Convey("An opening that no host may take is refused at once", t, func() {
		si := newSimulation(7, 1, 2)
		si.runUntil(began.Add(startupTime + time.Second))
		si.drainHost(0)
		si.drainHost(1)
		si.runUntil(si.now.Add(drainGrace + time.Second))
		si.open(1)
		si.runUntil(si.now.Add(50 * time.Millisecond))
		So(si.refused, ShouldEqual, 1)
		So(si.deliveries, ShouldEqual, 0)
	})
}

func TestRestartOfAllProcesses(t *testing.T) {
	Convey("After a restart of all balancers and agents callers are served again, and less than 5 % of the answers are late", t, func() {
		si := newSimulation(8, 3, 6)
		si.load(400, began.Add(8*time.Second))
		si.after(3*time.Second, func() {
			for i := range si.balancers {
				si.stopBalancer(i)
			}
			for i := range si.hosts {
				si.stopAgent(i)
			}
		})
		si.after(3800*time.Millisecond, func() {
			for i := range si.hosts {
				si.startAgent(i)
			}
			si.rotation = nil
			for i := range si.balancers {
				si.startBalancer(i)
			}
		})
		si.runUntil(began.Add(5500 * time.Millisecond))
		servedBefore, lateBefore := si.served, si.lateAnswers
		si.runUntil(began.Add(8 * time.Second))
		served, late := si.served-servedBefore, si.lateAnswers-lateBefore
		So(si.wrongAnswers+si.resetsOfOpen, ShouldEqual, 0)
		So(late*20, ShouldBeLessThan, served)
		So(served, ShouldBeGreaterThan, 900)
	})
}

func TestOverload(t *testing.T) {
	Convey("Under more load than the hosts can serve, at least 60 % of their capacity goes to answers within the latency target", t, func() {
		si := newSimulation(9, 3, 4)
		// Eight slots with 15 ms a request serve about 530 requests a second.
		si.load(700, began.Add(6*time.Second))
		si.runUntil(began.Add(12 * time.Second))
		// The copies of a queued opening are not sent to other hosts.
		So(si.duplicates(), ShouldEqual, 0)
		inTime := si.served - si.lateAnswers
		So(si.wrongAnswers+si.resetsOfOpen, ShouldEqual, 0)
		So(inTime, ShouldBeGreaterThan, 6*530*6/10)
	})
}

func TestSlowHosts(t *testing.T) {
	Convey("Hosts that have become slow get few flows while others have room, and get flows again when they have recovered", t, func() {
		si := newSimulation(15, 3, 10)
		si.load(450, began.Add(7*time.Second))
		slow := func(work time.Duration) {
			for _, ho := range si.hosts[:3] {
				ho.work = work
			}
		}
		si.after(time.Second, func() { slow(120 * time.Millisecond) })
		si.after(4*time.Second, func() { slow(15 * time.Millisecond) })
		si.runUntil(began.Add(4 * time.Second))
		So(si.refused+si.failed+si.wrongAnswers+si.resetsOfOpen, ShouldEqual, 0)
		// It takes a few flows to find out that a host is slow; after that it gets one
		// every slowRetry.
		So(si.lateAnswers, ShouldBeLessThan, 60)
		si.runUntil(began.Add(6 * time.Second))
		before := si.opened(si.hosts[:3])
		si.runUntil(began.Add(7 * time.Second))
		So(si.opened(si.hosts[:3])-before, ShouldBeGreaterThan, 90)
	})
	Convey("Hosts that are all equally slow share the load", t, func() {
		si := newSimulation(16, 3, 6)
		for _, ho := range si.hosts {
			ho.work = 60 * time.Millisecond
		}
		si.load(100, began.Add(4*time.Second))
		si.runUntil(began.Add(4 * time.Second))
		for _, ho := range si.hosts {
			So(len(ho.flows), ShouldBeGreaterThan, 40)
		}
	})
}

func TestFlowsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		si := drawSimulation(rt)
		si.load(rapid.IntRange(5, 60).Draw(rt, "rate"), began.Add(6*time.Second))
		for range rapid.IntRange(0, 6).Draw(rt, "faults") {
			scheduleFault(rt, si)
		}
		si.runUntil(began.Add(20 * time.Second))
		checkFlows(rt, si)
	})
}

func TestKeptFlowsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		si := drawSimulation(rt)
		si.load(rapid.IntRange(5, 60).Draw(rt, "rate"), began.Add(6*time.Second))
		pause := time.Duration(rapid.IntRange(100, 2000).Draw(rt, "pause")) * time.Millisecond
		si.keepAll(rapid.IntRange(1, 40).Draw(rt, "kept"), began.Add(8*time.Second), pause)
		for range rapid.IntRange(0, 6).Draw(rt, "faults") {
			scheduleFault(rt, si)
		}
		si.runUntil(began.Add(22 * time.Second))
		checkFlows(rt, si)
		for _, ho := range si.hosts {
			if ho.agent && ho.alive && !ho.gate.Idle() {
				rt.Fatalf("agent of %v has %d requests in progress after all callers are done", ho.address, ho.gate.InProgress())
			}
		}
	})
}

// drawSimulation draws a simulation of three balancers and six hosts.
func drawSimulation(rt *rapid.T) *simulation {
	si := newSimulation(rapid.Uint64().Draw(rt, "seed"), 3, 6)
	si.loss = float64(rapid.IntRange(0, 5).Draw(rt, "loss")) / 100
	for _, ho := range si.hosts {
		ho.work = time.Duration(rapid.IntRange(5, 300).Draw(rt, "work")) * time.Millisecond
	}
	return si
}

// checkFlows fails the test if a flow was not kept whole.
func checkFlows(rt *rapid.T, si *simulation) {
	broken := si.misdelivered()
	if si.resetsOfOpen+si.wrongAnswers+si.openedAfterDrain+len(broken) > 0 {
		rt.Fatalf("resets of open flows %d, wrong answers %d, openings after drain %d, packets at other hosts of %v",
			si.resetsOfOpen, si.wrongAnswers, si.openedAfterDrain, broken)
	}
}

// scheduleFault draws a fault, when it begins and when it ends.
func scheduleFault(rt *rapid.T, si *simulation) {
	at := time.Duration(rapid.IntRange(500, 7000).Draw(rt, "at")) * time.Millisecond
	host := rapid.IntRange(0, len(si.hosts)-1).Draw(rt, "host")
	balancer := rapid.IntRange(0, len(si.balancers)-1).Draw(rt, "balancer")
	back := time.Duration(rapid.IntRange(100, 3000).Draw(rt, "back")) * time.Millisecond
	switch rapid.SampledFrom([]string{"crash", "agent", "drain", "balancer", "rotation"}).Draw(rt, "kind") {
	case "crash":
		si.after(at, func() { si.crashHost(host) })
		si.after(at+back, func() { si.startHost(host) })
	case "agent":
		si.after(at, func() { si.stopAgent(host) })
		si.after(at+back, func() { si.startAgent(host) })
	case "drain":
		si.after(at, func() { si.drainHost(host) })
	case "balancer":
		si.after(at, func() { si.stopBalancer(balancer) })
		si.after(at+back, func() {
			if !si.balancers[balancer].live {
				si.rotation = without(si.rotation, balancer)
				si.startBalancer(balancer)
			}
		})
	case "rotation":
		si.after(at, func() { si.rotation = without(si.rotation, balancer) })
		si.after(at+back, func() {
			if si.balancers[balancer].live {
				si.rotation = append(without(si.rotation, balancer), balancer)
			}
		})
	}
}

// without returns the list without the number.
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
	Convey("A balancer that is cut off from all processes refuses openings and is not ready", t, func() {
		si := newSimulation(10, 2, 4)
		si.runUntil(began.Add(startupTime + time.Second))
		si.cut = si.balancers[0]
		si.rotation = []int{0}
		si.load(100, si.now.Add(2*time.Second))
		si.runUntil(si.now.Add(400 * time.Millisecond))
		So(si.balancers[0].placer.Ready(si.now), ShouldBeFalse)
		before := si.refused
		si.runUntil(si.now.Add(500 * time.Millisecond))
		So(si.refused-before, ShouldBeGreaterThan, 30)
		si.cut = nil
		si.runUntil(si.now.Add(1500 * time.Millisecond))
		So(si.balancers[0].placer.Ready(si.now), ShouldBeTrue)
		So(si.resetsOfOpen+si.wrongAnswers, ShouldEqual, 0)
	})
	Convey("A balancer to which other balancers answer parks openings while all agents are down", t, func() {
		si := newSimulation(11, 2, 4)
		si.runUntil(began.Add(startupTime + time.Second))
		for i := range si.hosts {
			si.stopAgent(i)
		}
		si.load(50, si.now.Add(time.Second))
		si.runUntil(si.now.Add(800 * time.Millisecond))
		So(si.refused, ShouldEqual, 0)
		So(si.balancers[0].placer.Ready(si.now), ShouldBeTrue)
	})
}

func TestPools(t *testing.T) {
	Convey("An agent is in the pool of its present service only, until it is removed", t, func() {
		pl := NewPlacer(began, PlacerSettings{Domain: "a", OpeningTimeout: simOpeningTimeout})
		record := func(number byte, sequence uint64, service string) Agent {
			ag := Agent{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, number}), 7000), Service: service, Slots: 2}
			ag.Incarnation, ag.Sequence = 1, sequence
			return ag
		}
		setAgents(pl, record(3, 1, simService), record(1, 1, simService), record(2, 1, ""), record(2, 2, simService))
		So(len(pl.pools), ShouldEqual, 1)
		So(len(pl.pools[simService]), ShouldEqual, 3)
		So(pl.pools[simService][1].address.Addr().String(), ShouldEqual, "10.2.0.2")
		setAgents(pl, record(2, 1, "ledgerwash"))
		So(len(pl.pools[simService]), ShouldEqual, 3)
		pl.RemoveAgent(record(2, 1, "").Address)
		pl.RemoveAgent(record(2, 1, "").Address)
		So(len(pl.pools[simService]), ShouldEqual, 2)
		pl.RemoveAgent(record(1, 1, "").Address)
		pl.RemoveAgent(record(3, 1, "").Address)
		So(len(pl.pools)+len(pl.agents), ShouldEqual, 0)
	})
}
