package carriage

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/absence"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// An agent that takes the message of another host for its own host's says Absent for flows
// that its host holds.
func TestMessagesOfOtherHostsProveNothing(t *testing.T) {
	Convey("A check-out doesn't end the flows of a host that it may not have come from", t, func() {
		for _, presumed := range []bool{false, true} {
			gw := newGateAtWork()
			gw.restartAgent()
			gw.SetRoutes(newSimulation(1, 1, 1).routes)
			if presumed {
				gw.PresumeHealthy(gw.now)
			}
			// A host of another name, which ran before, checks out late.
			gw.CheckOut(gw.now, "former")
			list := gw.HandleFindHolders(gw.now, gw.flow.Caller, 7, []Question{{Flow: gw.flow, Acknowledged: 500001}})
			So(list[0].Answers[0], ShouldNotEqual, absence.Absent)
			So(gw.Report(gw.now).State, ShouldNotEqual, register.StateGone)
			So(gw.Gone(), ShouldBeFalse)
		}
	})
	Convey("A host that was healthy before its first check-in may have got flows from an earlier agent", t, func() {
		gw := newGateAtWork()
		gw.restartAgent()
		gw.SetRoutes(newSimulation(1, 1, 1).routes)
		gw.PresumeHealthy(gw.now)
		pk := gw.open()
		gw.restartAgent()
		gw.SetRoutes(newSimulation(1, 1, 1).routes)
		gw.PresumeHealthy(gw.now)
		gw.CheckIn(gw.now, gw.checkIn(1))
		list := gw.HandleFindHolders(gw.now, gw.flow.Caller, 7, []Question{{Flow: gw.flow, Acknowledged: pk.Acknowledged}})
		So(list[0].Answers[0], ShouldNotEqual, absence.Absent)
	})
	Convey("Another writer's first check-in with an earlier start doesn't make an agent certain for good", t, func() {
		gw := newGateAtWork()
		gw.restartAgent()
		gw.SetRoutes(newSimulation(1, 1, 1).routes)
		ci := gw.checkIn(1)
		ci.Name, ci.StartedAt = "other", gw.now.Add(-time.Hour)
		gw.CheckIn(gw.now, ci)
		gw.CheckIn(gw.now, gw.checkIn(50))
		So(gw.Certain(gw.now), ShouldBeFalse)
	})
}
