package carriage

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/evacuation"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// afterStartup is a time at which a Placer created at began has no startup left.
var afterStartup = began.Add(startupTime + time.Second)

func evacuated(revision uint64, domains ...string) evacuation.Set {
	set, _ := evacuation.NewSet(evacuation.Origin{Era: 1, Revision: revision}, domains)
	return set
}

// placerWithDomains returns a Placer in domain a that knows two agents in each of the
// domains.
func placerWithDomains(st PlacerSettings, domains ...string) *Placer {
	st.Domain, st.OpeningTimeout, st.FlowLifetime = "a", simOpeningTimeout, time.Minute
	pl := NewPlacer(began, st)
	pl.SetRoutes(began, newSimulation(1, 1, 1).routes)
	for i, domain := range domains {
		for j := range 2 {
			ag := Agent{
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i), 0, byte(j)}), 7000),
				Service: simService, Domain: domain, State: register.StateReady, Slots: 2,
			}
			ag.Incarnation = 1
			setAgents(pl, ag)
		}
	}
	return pl
}

func openingOf(port uint16) Packet {
	return Packet{Flow: Flow{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), port), Service: simAddress}, Opening: true}
}

func domainOf(pl *Placer, ac Action) string { return pl.agents[ac.To].domain }

// New flows reached hosts of a domain that was about to lose its power.
func TestNoOpeningGoesToAnEvacuatedDomain(t *testing.T) {
	Convey("Openings go to the other domains, and back once the evacuation is taken back", t, func() {
		pl := placerWithDomains(PlacerSettings{}, "a", "b", "c")
		pl.SetEvacuations(afterStartup, evacuated(2, "a", "b"))
		for port := range uint16(50) {
			now := afterStartup.Add(time.Duration(port) * time.Millisecond)
			list := pl.HandlePacket(now, openingOf(1000+port), nil)
			So(list, ShouldHaveLength, 1)
			So(list[0].Kind, ShouldEqual, KindForward)
			So(domainOf(pl, list[0]), ShouldEqual, "c")
			pl.HandleConfirmation(now, list[0].To, list[0].Flow, Report{State: register.StateReady, Slots: 2})
		}
		pl.SetEvacuations(afterStartup, evacuated(3, "b"))
		list := pl.HandlePacket(afterStartup.Add(time.Second), openingOf(2000), nil)
		So(domainOf(pl, list[0]), ShouldEqual, "a")
	})
	Convey("An agent that joins an evacuated domain later gets nothing", t, func() {
		pl := placerWithDomains(PlacerSettings{}, "b")
		pl.SetEvacuations(afterStartup, evacuated(2, "a"))
		ag := Agent{Address: netip.MustParseAddrPort("10.9.0.1:7000"), Service: simService, Domain: "a", State: register.StateReady, Slots: 200}
		pl.SetAgent(afterStartup, ag)
		list := pl.HandlePacket(afterStartup, openingOf(1), nil)
		So(domainOf(pl, list[0]), ShouldEqual, "b")
	})
}

// A copy of an opening is a new packet for the host, also if its agent had confirmed the
// opening.
func TestCopyOfAConfirmedOpeningLeavesTheEvacuatedDomain(t *testing.T) {
	Convey("The copy is placed elsewhere and the flow's further packets follow the caller", t, func() {
		pl := placerWithDomains(PlacerSettings{}, "a", "b")
		pk := openingOf(1)
		list := pl.HandlePacket(afterStartup, pk, nil)
		first := list[0].To
		So(domainOf(pl, list[0]), ShouldEqual, "a")
		pl.HandleConfirmation(afterStartup, first, pk.Flow, Report{State: register.StateReady, Slots: 2})
		pl.SetEvacuations(afterStartup, evacuated(2, "a"))
		pk.Copy = 1
		list = pl.HandlePacket(afterStartup.Add(200*time.Millisecond), pk, nil)
		So(list, ShouldHaveLength, 1)
		So(domainOf(pl, list[0]), ShouldEqual, "b")
	})
	Convey("Packets of an open flow still go to the evacuated domain", t, func() {
		pl := placerWithDomains(PlacerSettings{}, "a", "b")
		pk := openingOf(1)
		list := pl.HandlePacket(afterStartup, pk, nil)
		first := list[0].To
		pl.HandleConfirmation(afterStartup, first, pk.Flow, Report{State: register.StateReady, Slots: 2})
		pl.SetEvacuations(afterStartup, evacuated(2, "a"))
		pk.Opening, pk.Sequence = false, 1
		list = pl.HandlePacket(afterStartup.Add(time.Second), pk, nil)
		So(list, ShouldHaveLength, 1)
		So(list[0].Kind, ShouldEqual, KindForward)
		So(list[0].To, ShouldEqual, first)
	})
}

// A balancer that hasn't heard of an evacuation must not try each host of the domain.
func TestAgentsOwnEvacuationCostsOneHop(t *testing.T) {
	Convey("After one decline the opening goes to another domain", t, func() {
		pl := placerWithDomains(PlacerSettings{}, "a", "b")
		list := pl.HandlePacket(afterStartup, openingOf(1), nil)
		So(domainOf(pl, list[0]), ShouldEqual, "a")
		list = pl.HandleDecline(afterStartup, list[0].To, openingOf(1), nil, ReasonEvacuated, Report{State: register.StateDraining, Slots: 2})
		So(list, ShouldHaveLength, 1)
		So(list[0].Kind, ShouldEqual, KindForward)
		So(domainOf(pl, list[0]), ShouldEqual, "b")
	})
	Convey("An opening that every domain declines is refused as evacuated", t, func() {
		pl := placerWithDomains(PlacerSettings{}, "a", "b")
		list := pl.HandlePacket(afterStartup, openingOf(1), nil)
		for range 2 {
			list = pl.HandleDecline(afterStartup, list[0].To, openingOf(1), nil, ReasonEvacuated, Report{State: register.StateDraining, Slots: 2})
		}
		So(list, ShouldHaveLength, 1)
		So(list[0].Kind, ShouldEqual, KindReset)
		So(list[0].Reason, ShouldEqual, ReasonEvacuated)
	})
}

// Openings that no host may take must not wait until their callers give up.
func TestOpeningsAreRefusedAtOnceWhenAllIsEvacuated(t *testing.T) {
	refused := func(pl *Placer) Reason {
		list := pl.HandlePacket(afterStartup, openingOf(1), nil)
		So(list, ShouldHaveLength, 1)
		So(list[0].Kind, ShouldEqual, KindReset)
		return list[0].Reason
	}
	Convey("All domains are evacuated", t, func() {
		pl := placerWithDomains(PlacerSettings{}, "a", "b")
		pl.SetEvacuations(afterStartup, evacuated(2, "a", "b"))
		So(refused(pl), ShouldEqual, ReasonEvacuated)
	})
	Convey("The hosts of the other domain are leaving for good", t, func() {
		pl := placerWithDomains(PlacerSettings{}, "a", "b")
		pl.SetEvacuations(afterStartup, evacuated(2, "a"))
		for address, ag := range pl.agents {
			if ag.domain == "b" {
				pl.HandleReport(afterStartup, address, Report{State: register.StateGone, Slots: 2})
			}
		}
		So(refused(pl), ShouldEqual, ReasonEvacuated)
	})
	Convey("A silent agent of an evacuated domain gives no hope", t, func() {
		pl := placerWithDomains(PlacerSettings{}, "a")
		for _, ag := range pl.agents {
			pl.suspectAgent(afterStartup, ag)
		}
		pl.SetOtherBalancers(1)
		pl.answered = map[netip.AddrPort]struct{}{addressOfBalancer: {}}
		pl.SetEvacuations(afterStartup, evacuated(2, "a"))
		So(refused(pl), ShouldEqual, ReasonEvacuated)
	})
	Convey("A domain that isn't evacuated may have a host soon: the opening waits", t, func() {
		pl := placerWithDomains(PlacerSettings{}, "a", "b")
		pl.SetEvacuations(afterStartup, evacuated(2, "a"))
		for address, ag := range pl.agents {
			if ag.domain == "b" {
				pl.HandleReport(afterStartup, address, Report{Slots: 2})
			}
		}
		list := pl.HandlePacket(afterStartup, openingOf(1), nil)
		So(list[0].Kind, ShouldEqual, KindPark)
	})
}

var addressOfBalancer = netip.MustParseAddrPort("10.8.0.1:7000")

// A balancer that was just started must not place openings before it knows what is
// evacuated.
func TestOpeningsWaitForTheFirstSet(t *testing.T) {
	Convey("Openings wait, and are placed as soon as a set is known", t, func() {
		pl := placerWithDomains(PlacerSettings{AwaitEvacuations: true}, "a", "b")
		So(pl.Ready(afterStartup), ShouldBeFalse)
		list := pl.HandlePacket(afterStartup, openingOf(1), nil)
		So(list[0].Kind, ShouldEqual, KindPark)
		So(pl.Tick(pl.Deadline()), ShouldBeEmpty)
		list = pl.SetEvacuations(afterStartup.Add(300*time.Millisecond), evacuated(2, "a"))
		So(list, ShouldHaveLength, 1)
		So(list[0].Kind, ShouldEqual, KindForward)
		So(domainOf(pl, list[0]), ShouldEqual, "b")
		So(pl.Ready(afterStartup), ShouldBeTrue)
	})
	Convey("One whose caller is about to give up is dropped, as while the routes are unknown", t, func() {
		pl := placerWithDomains(PlacerSettings{AwaitEvacuations: true}, "a")
		pk := openingOf(1)
		pl.HandlePacket(afterStartup, pk, nil)
		for copyNumber, at := range map[uint32]time.Duration{1: 200 * time.Millisecond, 2: 600 * time.Millisecond} {
			pk.Copy = copyNumber
			pl.HandlePacket(afterStartup.Add(at), pk, nil)
		}
		list := pl.Tick(afterStartup.Add(simOpeningTimeout))
		So(list, ShouldHaveLength, 1)
		So(list[0].Kind, ShouldEqual, KindDrop)
	})
	Convey("Without the setting nothing waits", t, func() {
		pl := placerWithDomains(PlacerSettings{}, "a")
		So(pl.HandlePacket(afterStartup, openingOf(1), nil)[0].Kind, ShouldEqual, KindForward)
	})
}

// The agent is the last hop: a balancer with an old set must not get an opening through.
func TestGateOfAnEvacuatedDomain(t *testing.T) {
	checkIn := CheckIn{Name: "i-1", StartedAt: began, Sequence: 1, Service: simService, Address: simHostAddress, Slots: 1}
	open := func(ga *Gate, port uint16, mode DeliveryMode) []Action {
		return ga.HandleForwarded(began, ForwardedPacket{
			Packet: openingOf(port), From: addressOfBalancer, Mode: mode, Started: began, ServiceHash: serviceHash(simService),
		}, []byte{1})
	}
	newGate := func() *Gate {
		ga := NewGate(began, GateSettings{
			Service: simService, HostAddress: simHostAddress, HeartbeatInterval: time.Second, FlowLifetime: time.Minute,
			OpeningTimeout: simOpeningTimeout, FirstStart: true,
		})
		ga.SetRoutes(newSimulation(1, 1, 1).routes)
		ga.CheckIn(began, checkIn)
		return ga
	}
	kinds := func(list []Action) string {
		text := ""
		for _, ac := range list {
			text += fmt.Sprintf("%d/%s ", ac.Kind, ac.Reason)
		}
		return text
	}
	Convey("Openings are declined in every mode, the queue is emptied, open flows go on", t, func() {
		ga := newGate()
		So(kinds(open(ga, 1, DeliverOrQueue)), ShouldEqual, fmt.Sprintf("%d/None ", KindDeliver))
		So(kinds(open(ga, 2, DeliverOrQueue)), ShouldEqual, fmt.Sprintf("%d/None ", KindDeliver))
		So(kinds(open(ga, 3, DeliverOrQueue)), ShouldEqual, fmt.Sprintf("%d/Busy ", KindConfirm))
		accepted := Packet{Flow: openingOf(1).Flow, Accepting: true, Sequence: 500}
		ga.HandleHostPacket(began, accepted, nil)

		list := ga.SetEvacuated(began, true)
		So(kinds(list), ShouldEqual, fmt.Sprintf("%d/None %d/Evacuated ", KindAnnounce, KindDecline))
		So(list[1].Flow, ShouldResemble, openingOf(3).Flow)
		So(ga.Report(began).State, ShouldEqual, register.StateDraining)
		So(ga.HostState(began), ShouldEqual, register.StateReady)
		for _, mode := range []DeliveryMode{DeliverIfFree, DeliverOrQueue, DeliverTentatively} {
			So(kinds(open(ga, 4, mode)), ShouldEqual, fmt.Sprintf("%d/Evacuated ", KindDecline))
		}
		// Copies of openings that the host knows are openings as well.
		So(kinds(open(ga, 1, DeliverOrQueue)), ShouldEqual, fmt.Sprintf("%d/Evacuated ", KindDecline))
		So(kinds(open(ga, 2, DeliverOrQueue)), ShouldEqual, fmt.Sprintf("%d/Evacuated ", KindDecline))
		// The caller completes the handshake that the host had accepted before.
		next := Packet{Flow: openingOf(1).Flow, Sequence: 1, Acknowledged: 501, Length: 10}
		list = ga.HandleForwarded(began, ForwardedPacket{Packet: next, From: addressOfBalancer, Mode: DeliverOrQueue}, []byte{1})
		So(kinds(list), ShouldEqual, fmt.Sprintf("%d/None ", KindDeliver))

		So(kinds(ga.SetEvacuated(began, true)), ShouldEqual, "")
		So(kinds(ga.SetEvacuated(began, false)), ShouldEqual, fmt.Sprintf("%d/None ", KindAnnounce))
		So(ga.Report(began).State, ShouldEqual, register.StateReady)
	})
	Convey("A host that is draining takes nothing as the last resort, one that is gone stays gone", t, func() {
		ga := newGate()
		draining := checkIn
		draining.Sequence, draining.Draining = 2, true
		ga.CheckIn(began, draining)
		ga.SetEvacuated(began, true)
		So(kinds(open(ga, 1, DeliverOrQueue)), ShouldEqual, fmt.Sprintf("%d/Evacuated ", KindDecline))
		ga.CheckOut(began, "i-1")
		So(ga.Report(began).State, ShouldEqual, register.StateGone)
	})
	Convey("A host that starts in an evacuated domain is never announced as ready", t, func() {
		ga := newGate()
		ga.SetEvacuated(began, true)
		restarted := checkIn
		restarted.StartedAt = began.Add(time.Second)
		ga.CheckIn(began.Add(time.Second), restarted)
		So(ga.Report(began.Add(time.Second)).State, ShouldEqual, register.StateDraining)
	})
}
