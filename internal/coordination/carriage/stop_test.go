package carriage

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// drainAgent starts the shutdown of an agent.
func (si *simulation) drainAgent(i int) {
	ho := si.hosts[i]
	si.performAgent(ho, ho.gate.Drain(si.now))
}

func TestPlannedStopUnderLoad(t *testing.T) {
	// Callers send their openings once, so that only the system can send them again.
	afterBurst := func(seed uint64) *simulation {
		si := newSimulation(seed, 3, 3)
		si.copyTimes = si.copyTimes[:1]
		for number := range 60 {
			si.after(time.Second, func() { si.open(number) })
		}
		si.runUntil(began.Add(1010 * time.Millisecond))
		return si
	}
	Convey("Openings that wait at an agent are placed at other hosts at once when it stops", t, func() {
		si := afterBurst(30)
		waiting := len(si.hosts[0].gate.queue.items)
		So(waiting, ShouldBeGreaterThan, 5)
		si.drainAgent(0)
		So(len(si.hosts[0].gate.queue.items), ShouldEqual, 0)
		si.runUntil(si.now.Add(3 * time.Second))
		So(si.served, ShouldEqual, 60)
	})
	Convey("So they are when the host says that it drains", t, func() {
		si := afterBurst(30)
		So(len(si.hosts[0].gate.queue.items), ShouldBeGreaterThan, 5)
		si.drainHost(0)
		si.runUntil(si.now.Add(3 * time.Second))
		So(si.served, ShouldEqual, 60)
	})
}

func TestRefusalNeedsAllCopies(t *testing.T) {
	Convey("An opening is reset only while all copies that its caller has sent are known here", t, func() {
		for _, seen := range []struct {
			copies []uint32
			age    time.Duration
			reset  bool
		}{
			{[]uint32{0}, 100 * time.Millisecond, true},
			{[]uint32{0}, 195 * time.Millisecond, false},
			{[]uint32{0, 1}, 500 * time.Millisecond, true},
			{[]uint32{0, 1}, 700 * time.Millisecond, false},
			{[]uint32{0, 1, 2}, 700 * time.Millisecond, true},
			{[]uint32{1, 2}, 700 * time.Millisecond, false},
		} {
			pl := NewPlacer(began, PlacerSettings{Domain: "a", OpeningTimeout: simOpeningTimeout})
			tf := &trackedFlow{opened: began, index: -1, unconfirmed: seen.copies[0] > 0}
			for _, number := range seen.copies {
				tf.noteCopy(number)
			}
			pl.SetRoutes(began, newSimulation(1, 1, 1).routes)
			pl.refuseOpening(began.Add(seen.age), tf, ReasonFull)
			want := KindDrop
			if seen.reset {
				want = KindReset
			}
			So(kinds(pl.actions), ShouldResemble, []Kind{want})
		}
	})
}
