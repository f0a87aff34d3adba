package carriage

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/absence"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// Each case resets the caller of a flow whose host lives.
func TestNoResetWhileTheHostLives(t *testing.T) {
	settled := began.Add(viewSettled)
	packet := Packet{Flow: reusedFlow, Sequence: 1001, Length: 100, Acknowledged: 500001}
	// A packet of a later flow between the same addresses, which another balancer has placed.
	later := Packet{Flow: reusedFlow, Sequence: 9000001, Length: 100, Acknowledged: 7000001}
	absent := []absence.Answer{absence.Absent}

	Convey("An answer to a former process's question isn't taken for one to a new question", t, func() {
		former, list := setUpPlacer(simService)
		late := former.HandlePacket(settled, packet, nil)[0].Number
		restarted := settled.Add(50 * time.Millisecond)
		pl := NewPlacer(restarted, PlacerSettings{Domain: "a", OpeningTimeout: simOpeningTimeout, FlowLifetime: time.Minute})
		pl.SetRoutes(restarted, newSimulation(1, 1, 1).routes)
		pl.MembersListed(restarted)
		ag := Agent{Address: list[0], Service: simService, Domain: "a", State: register.StateReady, Slots: 2}
		ag.Incarnation = 1
		setAgents(pl, ag)
		now := restarted.Add(viewSettled)
		So(kinds(pl.HandlePacket(now, later, nil)), ShouldResemble, []Kind{KindFind})
		So(pl.HandleHolders(now, list[0], late, absent), ShouldBeEmpty)
		So(pl.flows.peek(reusedFlow).search.absent.Len(), ShouldEqual, 0)
	})
	Convey("Answers about a former flow don't count for one whose packet arrives during the search", t, func() {
		pl, list := setUpPlacer(simService)
		asked := pl.HandlePacket(settled, packet, nil)[0].Number
		pl.HandlePacket(settled.Add(time.Millisecond), later, nil)
		So(kinds(pl.HandleHolders(settled.Add(2*time.Millisecond), list[0], asked, absent)), ShouldNotContain, KindReset)
	})
	Convey("Late answers about a former flow don't count in the next search", t, func() {
		pl, list := setUpPlacer(simService)
		asked := pl.HandlePacket(settled, packet, nil)[0].Number
		now := settled
		for tf := pl.flows.peek(reusedFlow); tf.phase == phaseSearching; {
			now = pl.Deadline()
			pl.Tick(now)
		}
		now = now.Add(lostPause)
		near := packet
		near.Sequence, near.Acknowledged = near.Sequence+500, later.Acknowledged
		pl.HandlePacket(now, near, nil)
		So(kinds(pl.HandleHolders(now, list[0], asked, absent)), ShouldNotContain, KindReset)
		So(pl.flows.peek(reusedFlow).search.absent.Len(), ShouldEqual, 0)
	})
	Convey("An agent whose host has started again after its check-out is asked, if that report was lost", t, func() {
		pl, list := setUpPlacer(simService, simService)
		pl.HandleReport(settled, list[1], Report{State: register.StateGone})
		result := searchResult(pl, settled, map[netip.AddrPort]absence.Answer{list[0]: absence.Absent, list[1]: absence.Held})
		So(kinds(result), ShouldResemble, []Kind{KindForward})
	})
	Convey("No caller is reset while such an agent's host works on its request", t, func() {
		pl, list := setUpPlacer(simService)
		pl.HandleReport(settled, list[0], Report{State: register.StateGone})
		asked := pl.HandlePacket(settled, packet, nil)
		So(kinds(pl.HandleHolders(settled, list[0], asked[0].Number, []absence.Answer{absence.Possible})), ShouldResemble, []Kind{KindForward})
		// The host answers the request after 200 ms.
		for now := settled; now.Before(settled.Add(200 * time.Millisecond)); now = now.Add(time.Millisecond) {
			So(kinds(pl.Tick(now)), ShouldNotContain, KindReset)
		}
	})
	Convey("No caller is reset by a balancer whose routes are older than an agent's", t, func() {
		// The address was given to another service, whose host has got the flow.
		pl, list := setUpPlacer(simService, simOtherService)
		now := began.Add(time.Minute)
		pl.HandleReport(now, list[1], Report{State: register.StateReady, Slots: 2, Version: pl.routes.Version + 1})
		result := searchResult(pl, now, map[netip.AddrPort]absence.Answer{list[0]: absence.Absent, list[1]: absence.Held})
		So(kinds(result), ShouldNotContain, KindReset)
	})
}
