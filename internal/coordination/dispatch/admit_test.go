package dispatch

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// singleAgent is a dispatcher without peers, whose backend server finishes a
// request only when finish is called.
type singleAgent struct {
	dispatcher *Dispatcher
	now        time.Time
	lastID     RequestID
	executed   []RequestID
	notRun     map[RequestID]Reason
}

// newSingleAgent returns a dispatcher without peers whose slow start is over.
func newSingleAgent() *singleAgent {
	home := ledger.Home{Host: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1}
	di := NewDispatcher(start, Settings{Home: home, Slots: 2, Limits: ledger.DefaultLimits()})
	return &singleAgent{dispatcher: di, now: start.Add(slowStartTime), notRun: map[RequestID]Reason{}}
}

// handle gives an event to the dispatcher and records the requests that it
// executes and those that it refuses.
func (sa *singleAgent) handle(ev Event) {
	for _, ac := range sa.dispatcher.Handle(sa.now, ev) {
		switch ac := ac.(type) {
		case Execute:
			sa.executed = append(sa.executed, ac.ID)
		case Respond:
			if ac.Outcome == ledger.NotRun {
				sa.notRun[ac.ID] = ac.Reason
			}
		}
	}
}

// arrive gives a new request to the dispatcher and returns its number. Timeout
// is the time to its deadline.
func (sa *singleAgent) arrive(cl Class, caller byte, timeout time.Duration) RequestID {
	sa.lastID++
	sa.handle(Arrived{Request: Request{
		ID: sa.lastID, Class: cl, Caller: netip.AddrFrom4([4]byte{10, 0, 0, caller}),
		Deadline: sa.now.Add(timeout), Repeatable: true,
	}})
	return sa.lastID
}

// finish ends the oldest execution.
func (sa *singleAgent) finish() {
	id := sa.executed[0]
	sa.executed = sa.executed[1:]
	sa.handle(Executed{ID: id, Result: ResultComplete})
}

func TestAdmission(t *testing.T) {
	Convey("Given a dispatcher whose slots are busy", t, func() {
		sa := newSingleAgent()
		sa.arrive(ClassUrgent, 1, time.Minute)
		sa.arrive(ClassUrgent, 1, time.Minute)
		So(len(sa.executed), ShouldEqual, 2)

		Convey("An urgent request goes before deferrable ones", func() {
			sa.arrive(ClassDeferrable, 1, time.Minute)
			urgent := sa.arrive(ClassUrgent, 1, time.Minute)
			sa.finish()
			So(sa.executed[len(sa.executed)-1], ShouldEqual, urgent)
		})

		Convey("A steady stream of urgent requests does not starve a deferrable one", func() {
			deferrable := sa.arrive(ClassDeferrable, 1, time.Minute)
			started := func() bool {
				for range urgentPerDeferrable + 2 {
					sa.arrive(ClassUrgent, 1, time.Minute)
					sa.finish()
					if sa.executed[len(sa.executed)-1] == deferrable {
						return true
					}
				}
				return false
			}()
			So(started, ShouldBeTrue)
		})

		Convey("A request that can't meet its deadline is refused when it arrives", func() {
			for range 4 {
				sa.arrive(ClassUrgent, 1, time.Minute)
			}
			late := sa.arrive(ClassUrgent, 1, initialMean)
			So(sa.notRun, ShouldContainKey, late)
		})

		Convey("A full queue refuses the caller that fills it and takes a request of another caller", func() {
			var last RequestID
			for range 40 {
				last = sa.arrive(ClassUrgent, 1, time.Minute)
			}
			So(sa.notRun[last], ShouldEqual, ReasonOverloaded)
			other := sa.arrive(ClassUrgent, 2, time.Minute)
			So(sa.notRun, ShouldNotContainKey, other)
			sa.finish()
			sa.finish()
			So(sa.executed, ShouldContain, other)
		})

		Convey("A queued request is refused when its queue deadline passes", func() {
			waiting := sa.arrive(ClassUrgent, 1, time.Minute)
			sa.now = sa.dispatcher.NextWake()
			sa.handle(TimerFired{})
			So(sa.notRun[waiting], ShouldEqual, ReasonOverloaded)
		})

		Convey("A stopping dispatcher refuses new requests after the grace period and stops when the last request has ended", func() {
			sa.handle(StopRequested{Deadline: sa.now.Add(time.Minute)})
			sa.now = sa.now.Add(drainGrace)
			late := sa.arrive(ClassUrgent, 1, time.Minute)
			So(sa.notRun[late], ShouldEqual, ReasonDraining)
			So(sa.dispatcher.drain.stopped, ShouldBeFalse)
			sa.finish()
			sa.finish()
			So(sa.dispatcher.drain.stopped, ShouldBeTrue)
		})
	})
}
