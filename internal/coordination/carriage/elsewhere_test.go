package carriage

import (
	"net/netip"
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
		pl, list := setUpPlacer(simService)
		pl.SetRoutes(began, routesTo(2, simOtherService, 1))
		result := searchResult(pl, began.Add(viewSettled), map[netip.AddrPort]absence.Answer{list[0]: said})
		So(kinds(result), ShouldNotContain, KindReset)
	})
}
