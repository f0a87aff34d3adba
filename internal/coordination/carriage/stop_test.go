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
	overloaded := func(seed uint64) *simulation {
		si := newSimulation(seed, 3, 3)
		si.copyTimes = si.copyTimes[:1]
		for _, ho := range si.hosts {
			ho.work = 60 * time.Millisecond
		}
		si.load(110, began.Add(3*time.Second))
		si.runUntil(began.Add(3 * time.Second))
		return si
	}
	Convey("Openings that wait at an agent are placed at other hosts when it stops", t, func() {
		si := overloaded(30)
		So(len(si.hosts[0].gate.queue.items), ShouldBeGreaterThan, 3)
		waiting := len(si.hosts[0].gate.queue.items)
		failed, refused := si.failed, si.refused
		si.drainAgent(0)
		So(len(si.hosts[0].gate.queue.items), ShouldEqual, 0)
		si.runUntil(si.now.Add(20 * time.Millisecond))
		So(len(si.hosts[1].gate.queue.items)+len(si.hosts[2].gate.queue.items)+si.refused-refused, ShouldBeGreaterThanOrEqualTo, waiting)
		si.runUntil(si.now.Add(3 * time.Second))
		So(si.failed, ShouldEqual, failed)
	})
	Convey("So they are when the host says that it drains", t, func() {
		si := overloaded(30)
		So(len(si.hosts[0].gate.queue.items), ShouldBeGreaterThan, 3)
		failed := si.failed
		si.drainHost(0)
		si.runUntil(si.now.Add(3 * time.Second))
		So(si.failed, ShouldEqual, failed)
	})
}
