package carriage

import (
	"math"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// evaluations returns the evaluations of the service's hosts by address.
func evaluations(pl *Placer, tf *trackedFlow) map[netip.AddrPort]evaluation {
	ra := pl.rank(began, tf, pl.medianOf(began, tf.service))
	list := make(map[netip.AddrPort]evaluation)
	for i := range ra.pool {
		ev := ra.hostAt(i)
		list[ev.agent.address] = ev
	}
	return list
}

// It guards against a host that is passed over for a wrong reason, or ranked although
// it must not get the opening.
func TestRankingSkips(t *testing.T) {
	Convey("Tried and suspected hosts and those that don't take flows are skipped, draining hosts cost most", t, func() {
		pl := newBenchPlacer(8)
		pool := pl.pools[simService]
		tf := &trackedFlow{flow: benchFlow(1), service: simService}
		tried, suspected, gone, silent, draining := pool[0], pool[1], pool[2], pool[3], pool[4]
		tf.tried = []netip.AddrPort{tried.address}
		suspected.suspect = true
		gone.report.State = register.StateGone
		silent.report.State = 0
		draining.report.State = register.StateDraining
		list := evaluations(pl, tf)
		So(list, ShouldHaveLength, len(pool))
		So(list[tried.address].skip, ShouldEqual, skipTried)
		So(list[suspected.address].skip, ShouldEqual, skipSuspected)
		So(list[gone.address].skip, ShouldEqual, skipState)
		So(list[silent.address].skip, ShouldEqual, skipState)
		So(list[draining.address].skip, ShouldEqual, skipNone)
		So(list[draining.address].cost, ShouldBeGreaterThan, drainingCost)
		for _, ag := range pool[5:] {
			So(list[ag.address].skip, ShouldEqual, skipNone)
			So(list[ag.address].cost, ShouldBeLessThan, drainingCost)
		}
	})
	Convey("A host that declined the opening as busy is ranked again once maxOffers hosts have", t, func() {
		pl := newBenchPlacer(4)
		pool := pl.pools[simService]
		tf := &trackedFlow{flow: benchFlow(1), service: simService}
		tf.tried = []netip.AddrPort{pool[0].address, pool[1].address, pool[2].address}
		tf.busy = tf.tried[:maxOffers-1]
		So(evaluations(pl, tf)[pool[0].address].skip, ShouldEqual, skipTried)
		tf.busy = tf.tried[:maxOffers]
		list := evaluations(pl, tf)
		So(list[pool[0].address].skip, ShouldEqual, skipNone)
		So(list[pool[1].address].skip, ShouldEqual, skipNone)
		So(list[pool[2].address].skip, ShouldEqual, skipTried)
	})
}

// It guards against a ranking that disagrees with the choice made from it.
func TestChoiceIsOfLeastCost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pl := newBenchPlacer(rapid.IntRange(1, 30).Draw(rt, "hosts"))
		tf := &trackedFlow{flow: benchFlow(rapid.IntRange(0, 999).Draw(rt, "flow")), service: simService}
		for _, ag := range pl.pools[simService] {
			ag.suspect = rapid.IntRange(0, 3).Draw(rt, "suspect") == 0
			ag.report.State = register.State(rapid.IntRange(0, int(register.StateGone)).Draw(rt, "state"))
			ag.report.Slots = rapid.Uint16Range(0, 4).Draw(rt, "slots")
			ag.report.ServiceTime = time.Duration(rapid.IntRange(0, 3).Draw(rt, "time")) * 30 * time.Millisecond
			ag.sent = rapid.IntRange(0, 3).Draw(rt, "sent")
			if rapid.IntRange(0, 3).Draw(rt, "tried") == 0 && len(tf.tried) < maxAttempts {
				tf.tried = append(tf.tried, ag.address)
			}
		}
		tf.busy = tf.tried[:min(len(tf.tried), rapid.IntRange(0, maxOffers).Draw(rt, "busy"))]
		chosen := pl.choose(began, tf)
		least := math.Inf(1)
		list := evaluations(pl, tf)
		for _, ev := range list {
			if ev.skip == skipNone {
				least = min(least, ev.cost)
			}
		}
		switch {
		case chosen == nil && !math.IsInf(least, 1):
			rt.Fatalf("no host was chosen, though one has cost %v", least)
		case chosen != nil && (list[chosen.address].skip != skipNone || list[chosen.address].cost != least):
			rt.Fatalf("%s was chosen: skip reason %d, cost %v, while the least cost is %v",
				chosen.address, list[chosen.address].skip, list[chosen.address].cost, least)
		}
	})
}

// It guards against an allocation by the ranking for each opening.
func TestChoiceDoesNotAllocate(t *testing.T) {
	Convey("The choice of a host allocates nothing while the median is cached", t, func() {
		pl := newBenchPlacer(50)
		tf := &trackedFlow{flow: benchFlow(1), service: simService}
		So(testing.AllocsPerRun(100, func() { pl.choose(began, tf) }), ShouldEqual, 0)
	})
}
