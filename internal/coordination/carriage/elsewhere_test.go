package carriage

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/absence"
)

// Start times are no proof: an agent that is restarted soon after its host's start takes
// the host for one that has started with it.
func TestStartTimesProveNoAbsence(t *testing.T) {
	Convey("No caller is reset whose flow is at a host that has lost its route, beside a restarted agent", t, func() {
		gw := newGateAtWork()
		pk := gw.open()
		// The host has started at began, 300 ms before the agent. Neither the agent nor the
		// balancer, which were both restarted, knows the former route.
		gw.now = gw.now.Add(300 * time.Millisecond)
		gw.restartAgent()
		gw.SetRoutes(routesTo(2, simOtherService, 1))
		ci := gw.checkIn(2)
		ci.StartedAt = began
		gw.CheckIn(gw.now, ci)
		said := gw.HandleFindHolders(gw.now, gw.flow.Caller, 7, []Question{{Flow: gw.flow, Acknowledged: pk.Acknowledged}})[0].Answers[0]
		So(said, ShouldEqual, absence.Unlikely)
		pl, list := setUpPlacer(simService)
		pl.SetRoutes(began, routesTo(2, simOtherService, 1))
		// The packet is sent to the host, which answers it.
		now := began.Add(viewSettled)
		pk.Flow = gw.flow
		asked := pl.HandlePacket(now, pk, []byte("data"))[0]
		So(asked.Kind, ShouldEqual, KindFind)
		sent := pl.HandleHolders(now, list[0], asked.Number, []absence.Answer{said})
		So(kinds(sent), ShouldResemble, []Kind{KindForward})
		fp := ForwardedPacket{Packet: pk, From: list[0], Mode: sent[0].Mode}
		So(kinds(gw.HandleForwarded(now, fp, sent[0].Data)), ShouldResemble, []Kind{KindDeliver})
		gw.now = now
		So(gw.fromHost(Packet{Sequence: pk.Acknowledged, Acknowledged: pk.Sequence + 100})[0].Kind, ShouldEqual, KindHeld)
		found := pl.HandleFindAnswer(now, list[0], gw.flow, true)
		So(kinds(found), ShouldResemble, []Kind{KindForward})
		So(found[0].Found, ShouldBeTrue)
	})
	Convey("Nor is one whose packet the host hasn't returned yet", t, func() {
		pl, list := setUpPlacer(simService)
		pl.SetRoutes(began, routesTo(2, simOtherService, 1))
		now := began.Add(viewSettled)
		asked := pl.HandlePacket(now, Packet{Flow: reusedFlow, Sequence: 1001, Length: 100, Acknowledged: 500001}, nil)[0]
		pl.HandleHolders(now, list[0], asked.Number, []absence.Answer{absence.Unlikely})
		for range 20 {
			now = now.Add(tentativeWait)
			So(kinds(pl.Tick(now)), ShouldNotContain, KindReset)
		}
	})
}
