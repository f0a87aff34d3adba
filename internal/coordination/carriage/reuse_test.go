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
	gw.Gate = NewGate(gw.now, GateSettings{HeartbeatInterval: simHeartbeat, FlowLifetime: time.Minute, OpeningTimeout: simOpeningTimeout, FirstStart: true})
	gw.SetRoutes(newSimulation(1, 1, 1).routes)
	gw.CheckIn(gw.now, CheckIn{Name: "h", StartedAt: gw.now, Sequence: 1, Service: simService, Slots: simSlots})
	return gw
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
		gw.CheckIn(gw.now, CheckIn{Name: "h", StartedAt: began, Sequence: 2, Service: simService, Slots: simSlots, Draining: true})
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
	Convey("A balancer takes a reset of the former flow for no answer to the next opening", t, func() {
		pl := NewPlacer(began, PlacerSettings{Domain: "a", OpeningTimeout: simOpeningTimeout})
		pl.SetRoutes(began, newSimulation(1, 1, 1).routes)
		ag := Agent{Address: netip.MustParseAddrPort("10.2.0.1:7000"), Service: simService, Domain: "a", State: register.StateReady, Slots: 2}
		ag.Incarnation = 1
		setAgents(pl, ag)
		flow := Flow{Caller: netip.MustParseAddrPort("100.64.0.1:1024"), Service: simAddress}
		pl.HandlePacket(began, Packet{Flow: flow, Opening: true, Sequence: 1000}, nil)
		pl.HandleConfirmation(began, ag.Address, flow, Report{State: register.StateReady, Slots: 2})
		pl.HandlePacket(began, Packet{Flow: flow, Sequence: 1001}, nil)
		now := began.Add(500 * time.Millisecond)
		So(pl.Idle(), ShouldBeTrue)
		So(kinds(pl.HandlePacket(now, Packet{Flow: flow, Opening: true, Sequence: 900000}, nil)), ShouldResemble, []Kind{KindForward})
		So(pl.Idle(), ShouldBeFalse)
		// The agent returns a late packet of the former flow: the host has lost it.
		list := pl.HandleDecline(now, ag.Address, Packet{Flow: flow, Sequence: 1001}, nil, ReasonHostLost, Report{State: register.StateReady, Slots: 2})
		So(kinds(list), ShouldNotContain, KindReset)
	})
}
