package carriage

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// gateAtWork is a gate with a host that has checked in, and one flow's packets.
type gateAtWork struct {
	*Gate
	now  time.Time
	flow Flow
}

func newGateAtWork() *gateAtWork {
	gw := &gateAtWork{now: began, flow: Flow{Caller: netip.MustParseAddrPort("100.64.0.1:1024"), Service: simAddress}}
	gw.startAgent(true)
	gw.SetRoutes(newSimulation(1, 1, 1).routes)
	gw.CheckIn(gw.now, CheckIn{Name: "h", StartedAt: gw.now, Sequence: 1, Service: simService, Address: simHostAddress, Slots: simSlots})
	return gw
}

// startAgent replaces the gate by that of an agent that starts now, without a check-in.
// First says that no host holds a flow yet.
func (gw *gateAtWork) startAgent(first bool) {
	gw.Gate = NewGate(gw.now, GateSettings{
		Service: simService, HostAddress: simHostAddress, HeartbeatInterval: simHeartbeat, FlowLifetime: time.Minute,
		OpeningTimeout: simOpeningTimeout, FirstStart: first,
	})
}

// restartAgent replaces the gate by that of an agent that was restarted.
func (gw *gateAtWork) restartAgent() { gw.startAgent(false) }

// restartAgentBesideHost is the same, and the host, which is older, has checked in again.
func (gw *gateAtWork) restartAgentBesideHost() {
	gw.restartAgent()
	gw.CheckIn(gw.now, CheckIn{Name: "h", StartedAt: gw.now.Add(-time.Minute), Sequence: 50, Service: simService, Address: simHostAddress, Slots: simSlots})
}

func (gw *gateAtWork) fromCaller(pk Packet) []Action {
	pk.Flow = gw.flow
	return gw.HandleForwarded(gw.now, ForwardedPacket{Packet: pk, Mode: DeliverOrQueue, ServiceHash: serviceHash(simService), Started: gw.now}, nil)
}

func (gw *gateAtWork) fromHost(pk Packet) []Action {
	pk.Flow = gw.flow
	return gw.HandleHostPacket(gw.now, pk, nil)
}

// kinds returns the kinds of the actions.
func kinds(list []Action) []Kind {
	var found []Kind
	for _, ac := range list {
		found = append(found, ac.Kind)
	}
	return found
}

var reusedFlow = Flow{Caller: netip.MustParseAddrPort("100.64.0.1:1024"), Service: simAddress}

// newPlacerWithFlow returns a placer with one agent and its address. The agent has
// confirmed the opening of reusedFlow.
func newPlacerWithFlow() (*Placer, netip.AddrPort) {
	pl := NewPlacer(began, PlacerSettings{Domain: "a", OpeningTimeout: simOpeningTimeout})
	pl.SetRoutes(began, newSimulation(1, 1, 1).routes)
	ag := Agent{Address: netip.MustParseAddrPort("10.2.0.1:7000"), Service: simService, Domain: "a", State: register.StateReady, Slots: 2}
	ag.Incarnation = 1
	setAgents(pl, ag)
	pl.HandlePacket(began, Packet{Flow: reusedFlow, Opening: true, Sequence: 1000}, nil)
	pl.HandleConfirmation(began, ag.Address, reusedFlow, Report{State: register.StateReady, Slots: 2})
	return pl, ag.Address
}

func TestReusedAddresses(t *testing.T) {
	// serve opens a flow with the sequence numbers, serves one request on it and
	// lets the host end it.
	serve := func(gw *gateAtWork, caller, host uint32) {
		gw.fromCaller(Packet{Opening: true, Sequence: caller})
		gw.fromHost(Packet{Accepting: true, Sequence: host})
		gw.fromCaller(Packet{Sequence: caller + 1, Length: 100, Acknowledged: host + 1})
		gw.fromHost(Packet{Sequence: host + 1, Length: 600, Finishes: true})
		gw.fromCaller(Packet{Sequence: caller + 101, Acknowledged: host + 601, Finishes: true})
	}
	Convey("A late copy of the former flow's answer doesn't count as an answer of the next flow", t, func() {
		gw := newGateAtWork()
		serve(gw, 1000, 500000)
		gw.now = gw.now.Add(2 * time.Second)
		gw.fromCaller(Packet{Opening: true, Sequence: 900000})
		gw.fromHost(Packet{Accepting: true, Sequence: 7000})
		gw.fromCaller(Packet{Sequence: 900001, Length: 100, Acknowledged: 7001})
		So(gw.InProgress(), ShouldEqual, 1)
		gw.fromHost(Packet{Sequence: 500001, Length: 600, Finishes: false})
		So(gw.InProgress(), ShouldEqual, 1)
		gw.fromHost(Packet{Sequence: 7001, Length: 600})
		So(gw.InProgress(), ShouldEqual, 0)
	})
	Convey("A late packet of the former caller doesn't end the next flow's handshake", t, func() {
		gw := newGateAtWork()
		serve(gw, 1000, 500000)
		gw.now = gw.now.Add(2 * time.Second)
		gw.fromCaller(Packet{Opening: true, Sequence: 900000})
		late := Packet{Sequence: 1001, Length: 100, Acknowledged: 500001}
		So(kinds(gw.fromCaller(late)), ShouldResemble, []Kind{KindDecline})
		gw.fromHost(Packet{Accepting: true, Sequence: 7000})
		So(kinds(gw.fromCaller(late)), ShouldResemble, []Kind{KindDecline})
		So(kinds(gw.fromCaller(Packet{Sequence: 900001, Length: 100, Acknowledged: 7001})), ShouldResemble, []Kind{KindDeliver})
		So(gw.InProgress(), ShouldEqual, 1)
	})
	Convey("The next flow between the same addresses is refused by a host that leaves", t, func() {
		gw := newGateAtWork()
		serve(gw, 1000, 500000)
		gw.now = gw.now.Add(time.Second)
		gw.CheckIn(gw.now, CheckIn{Name: "h", StartedAt: began, Sequence: 2, Service: simService, Address: simHostAddress, Slots: simSlots, Draining: true})
		gw.now = gw.now.Add(drainGrace + time.Second)
		list := gw.fromCaller(Packet{Opening: true, Sequence: 900000})
		So(kinds(list), ShouldResemble, []Kind{KindDecline})
		So(list[0].Reason, ShouldEqual, ReasonDraining)
	})
	Convey("A copy of the opening of an open flow is delivered, also while its host leaves", t, func() {
		gw := newGateAtWork()
		gw.fromCaller(Packet{Opening: true, Sequence: 1000})
		gw.fromHost(Packet{Accepting: true, Sequence: 7000})
		gw.now = gw.now.Add(200 * time.Millisecond)
		So(kinds(gw.fromCaller(Packet{Opening: true, Sequence: 1000, Copy: 1})), ShouldResemble, []Kind{KindDeliver})
	})
	Convey("An agent whose host has ended a flow claims and takes no packets of the next one, which is elsewhere", t, func() {
		gw := newGateAtWork()
		serve(gw, 1000, 500000)
		balancer := netip.MustParseAddrPort("10.1.0.1:7000")
		next := Packet{Sequence: 900001, Length: 100, Acknowledged: 7000001}
		So(gw.HandleFind(gw.now, balancer, FindRequest{Flow: gw.flow, Acknowledged: next.Acknowledged, Possible: true}), ShouldBeEmpty)
		list := gw.fromCaller(next)
		So(kinds(list), ShouldResemble, []Kind{KindDecline})
		So(list[0].Reason, ShouldEqual, ReasonNotHeld)
		// Late packets of the ended flow are still the host's to answer.
		So(kinds(gw.HandleFind(gw.now, balancer, FindRequest{Flow: gw.flow, Acknowledged: 500602})), ShouldResemble, []Kind{KindHeld})
		So(kinds(gw.fromCaller(Packet{Sequence: 1101, Acknowledged: 500602, Finishes: true})), ShouldResemble, []Kind{KindDeliver})
	})
	Convey("An agent whose host has restarted has no flow reset that the port opened elsewhere since", t, func() {
		gw := newGateAtWork()
		serve(gw, 1000, 500000)
		gw.now = gw.now.Add(time.Second)
		gw.CheckIn(gw.now, CheckIn{Name: "h", StartedAt: gw.now, Sequence: 1, Service: simService, Address: simHostAddress, Slots: simSlots})
		next := Packet{Sequence: 900001, Length: 100, Acknowledged: 7000001}
		So(gw.HandleFind(gw.now, gw.flow.Caller, FindRequest{Flow: gw.flow, Acknowledged: next.Acknowledged}), ShouldBeEmpty)
		list := gw.fromCaller(next)
		So(kinds(list), ShouldResemble, []Kind{KindDecline})
		So(list[0].Reason, ShouldEqual, ReasonNotHeld)
		late := Packet{Sequence: 1101, Length: 100, Acknowledged: 500601}
		So(kinds(gw.fromCaller(late)), ShouldResemble, []Kind{KindDeliver})
		late.Returned = true
		So(gw.fromHost(late)[0].Reason, ShouldEqual, ReasonHostLost)
		// The former flow is lost, and still the next one is not reset.
		So(gw.fromCaller(next)[0].Reason, ShouldEqual, ReasonNotHeld)
	})
	Convey("A restarted agent keeps the reset of an ended flow from the caller, whose next flow is elsewhere", t, func() {
		gw := newGateAtWork()
		gw.restartAgentBesideHost()
		next := Packet{Sequence: 900001, Length: 100, Acknowledged: 7000001}
		So(kinds(gw.fromCaller(next)), ShouldResemble, []Kind{KindDeliver})
		So(kinds(gw.fromHost(Packet{Resets: true, Sequence: 7000001})), ShouldResemble, []Kind{KindDrop})
		So(kinds(gw.fromCaller(next)), ShouldResemble, []Kind{KindDecline})
		So(gw.InProgress(), ShouldEqual, 0)
	})
	Convey("A late packet of the former flow keeps no packets from the host that holds the next one", t, func() {
		gw := newGateAtWork()
		gw.restartAgentBesideHost()
		late := Packet{Sequence: 1101, Length: 100, Acknowledged: 500601}
		So(kinds(gw.fromCaller(late)), ShouldResemble, []Kind{KindDeliver})
		late.Returned = true
		So(kinds(gw.fromHost(late)), ShouldResemble, []Kind{KindDecline})
		So(kinds(gw.fromCaller(Packet{Sequence: 900001, Length: 100, Acknowledged: 7000001})), ShouldResemble, []Kind{KindDeliver})
	})
	Convey("A balancer that knows the former flow's agent searches for the next flow's", t, func() {
		pl, address := newPlacerWithFlow()
		pl.HandlePacket(began, Packet{Flow: reusedFlow, Sequence: 1001, Length: 100}, nil)
		now := began.Add(2 * time.Second)
		list := pl.HandlePacket(now, Packet{Flow: reusedFlow, Sequence: 900001, Length: 100, Acknowledged: 7000001}, nil)
		So(kinds(list), ShouldResemble, []Kind{KindFind})
		So(kinds(pl.HandleFindAnswer(now, address, reusedFlow, true)), ShouldResemble, []Kind{KindForward})
		So(kinds(pl.HandlePacket(now, Packet{Flow: reusedFlow, Sequence: 900101}, nil)), ShouldResemble, []Kind{KindForward})
	})
	Convey("A late packet of the former flow doesn't keep a queued opening from going to another host", t, func() {
		pl, address := newPlacerWithFlow()
		late := Packet{Flow: reusedFlow, Sequence: 900001, Length: 100}
		So(kinds(pl.HandlePacket(began, late, nil)), ShouldResemble, []Kind{KindDrop})
		list := pl.HandleDecline(began, address, Packet{Flow: reusedFlow, Opening: true, Sequence: 1000}, nil, ReasonDraining, Report{State: register.StateDraining, Slots: 2})
		So(kinds(list), ShouldNotBeEmpty)
	})
	Convey("A balancer takes a reset of the former flow for no answer to the next opening", t, func() {
		pl, address := newPlacerWithFlow()
		pl.HandlePacket(began, Packet{Flow: reusedFlow, Sequence: 1001}, nil)
		now := began.Add(500 * time.Millisecond)
		So(pl.Idle(), ShouldBeTrue)
		So(kinds(pl.HandlePacket(now, Packet{Flow: reusedFlow, Opening: true, Sequence: 900000}, nil)), ShouldResemble, []Kind{KindForward})
		So(pl.Idle(), ShouldBeFalse)
		// The agent returns a late packet of the former flow: the host has lost it.
		list := pl.HandleDecline(now, address, Packet{Flow: reusedFlow, Sequence: 1001}, nil, ReasonHostLost, Report{State: register.StateReady, Slots: 2})
		So(kinds(list), ShouldNotContain, KindReset)
	})
}
