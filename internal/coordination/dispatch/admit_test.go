package dispatch

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// single is a desk of one host whose server finishes nothing by itself.
type single struct {
	desk     *Dispatcher
	now      time.Time
	lastID   RequestID
	executed []RequestID
	refused  map[RequestID]Reason
}

// newSingle returns a warm desk without peers.
func newSingle() *single {
	home := ledger.Home{Host: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1}
	de := NewDispatcher(start, Settings{Home: home, Slots: 2, Limits: ledger.DefaultLimits()})
	return &single{desk: de, now: start.Add(rampTime), refused: map[RequestID]Reason{}}
}

// handle gives an event to the desk and notes what it did.
func (si *single) handle(ev Event) {
	for _, ac := range si.desk.Handle(si.now, ev) {
		switch ac := ac.(type) {
		case Execute:
			si.executed = append(si.executed, ac.ID)
		case Respond:
			if ac.Outcome == ledger.NotRun {
				si.refused[ac.ID] = ac.Reason
			}
		}
	}
}

// arrive sends a request and returns its number.
func (si *single) arrive(cl Class, caller byte, patience time.Duration) RequestID {
	si.lastID++
	si.handle(Arrived{Request: Request{
		ID: si.lastID, Class: cl, Caller: netip.AddrFrom4([4]byte{10, 0, 0, caller}),
		Deadline: si.now.Add(patience), Repeatable: true,
	}})
	return si.lastID
}

// finish ends the execution that was started first.
func (si *single) finish() {
	id := si.executed[0]
	si.executed = si.executed[1:]
	si.handle(Executed{ID: id, Result: ResultComplete})
}

func TestAdmission(t *testing.T) {
	Convey("Given a desk whose slots are busy", t, func() {
		si := newSingle()
		si.arrive(ClassUrgent, 1, time.Minute)
		si.arrive(ClassUrgent, 1, time.Minute)
		So(len(si.executed), ShouldEqual, 2)

		Convey("An urgent request goes before deferrable ones", func() {
			si.arrive(ClassDeferrable, 1, time.Minute)
			urgent := si.arrive(ClassUrgent, 1, time.Minute)
			si.finish()
			So(si.executed[len(si.executed)-1], ShouldEqual, urgent)
		})

		Convey("A steady stream of urgent requests does not starve a deferrable one", func() {
			deferrable := si.arrive(ClassDeferrable, 1, time.Minute)
			started := func() bool {
				for range creditLimit + 2 {
					si.arrive(ClassUrgent, 1, time.Minute)
					si.finish()
					if si.executed[len(si.executed)-1] == deferrable {
						return true
					}
				}
				return false
			}()
			So(started, ShouldBeTrue)
		})

		Convey("A request that can't meet its deadline is refused at once", func() {
			for range 4 {
				si.arrive(ClassUrgent, 1, time.Minute)
			}
			late := si.arrive(ClassUrgent, 1, firstEstimate)
			So(si.refused, ShouldContainKey, late)
		})

		Convey("A full queue refuses the caller that fills it, and another caller gets in", func() {
			var last RequestID
			for range 40 {
				last = si.arrive(ClassUrgent, 1, time.Minute)
			}
			So(si.refused[last], ShouldEqual, ReasonOverloaded)
			other := si.arrive(ClassUrgent, 2, time.Minute)
			So(si.refused, ShouldNotContainKey, other)
			si.finish()
			si.finish()
			So(si.executed, ShouldContain, other)
		})

		Convey("A queued request is refused when its bound passes", func() {
			waiting := si.arrive(ClassUrgent, 1, time.Minute)
			si.now = si.desk.NextWake()
			si.handle(TimerFired{})
			So(si.refused[waiting], ShouldEqual, ReasonOverloaded)
		})

		Convey("A stopping desk refuses new requests after the grace and ends when the last is done", func() {
			si.handle(StopRequested{Deadline: si.now.Add(time.Minute)})
			si.now = si.now.Add(drainGrace)
			late := si.arrive(ClassUrgent, 1, time.Minute)
			So(si.refused[late], ShouldEqual, ReasonDraining)
			So(si.desk.drain.stopped, ShouldBeFalse)
			si.finish()
			si.finish()
			So(si.desk.drain.stopped, ShouldBeTrue)
		})
	})
}
