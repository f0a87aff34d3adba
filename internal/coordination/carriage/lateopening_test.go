package carriage

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/absence"
)

// flowInUse is a flow with the numbers that its ends use.
type flowInUse struct {
	*gateAtWork
	opening      Packet
	accepting    Packet
	acknowledged uint32
}

// newFlowInUse returns a flow on which the caller has got the number of bytes in answers.
func newFlowInUse(bytes uint32) *flowInUse {
	fl := &flowInUse{
		gateAtWork: newGateAtWork(),
		opening:    Packet{Opening: true, Sequence: 1000},
		accepting:  Packet{Accepting: true, Sequence: 500000},
	}
	fl.fromCaller(fl.opening)
	fl.fromHost(fl.accepting)
	fl.acknowledged = fl.accepting.Sequence + 1
	fl.answer(bytes)
	return fl
}

// request returns the caller's next packet.
func (fl *flowInUse) request() Packet {
	return Packet{Sequence: fl.opening.Sequence + 1, Length: 100, Acknowledged: fl.acknowledged}
}

// answer lets the host send the number of bytes and the caller acknowledge them.
func (fl *flowInUse) answer(bytes uint32) {
	fl.fromCaller(fl.request())
	const length = 1000
	for range bytes / length {
		fl.fromHost(Packet{Sequence: fl.acknowledged, Length: length})
		fl.acknowledged += length
		fl.fromCaller(Packet{Sequence: fl.opening.Sequence + 101, Acknowledged: fl.acknowledged})
	}
}

// shouldBeHeld checks that the agent claims the flow and delivers its packets.
func (fl *flowInUse) shouldBeHeld() {
	So(fl.Gate.answer(fl.now, Question{Flow: fl.flow, Acknowledged: fl.acknowledged}), ShouldEqual, absence.Held)
	next := Packet{Sequence: fl.opening.Sequence + 101, Length: 100, Acknowledged: fl.acknowledged}
	So(kinds(fl.fromCaller(next)), ShouldResemble, []Kind{KindDeliver})
}

// A late copy of an opening made the agent forget how far the flow had come, so that the
// flow was said to be absent and its caller was reset.
func TestLateCopiesOfOpenings(t *testing.T) {
	for _, bytes := range []uint32{1000, 260000} {
		Convey("A copy of the opening isn't delivered once the flow is in use, and its balancer learns where the flow is", t, func() {
			fl := newFlowInUse(bytes)
			So(kinds(fl.fromCaller(fl.opening)), ShouldResemble, []Kind{KindConfirm})
			fl.shouldBeHeld()
		})
		Convey("A host's answer to a late copy changes nothing about a flow in use", t, func() {
			fl := newFlowInUse(bytes)
			So(kinds(fl.fromHost(fl.accepting)), ShouldContain, KindReturn)
			fl.shouldBeHeld()
		})
		Convey("So does a late copy that the host returns", t, func() {
			fl := newFlowInUse(bytes)
			returned := fl.opening
			returned.Returned = true
			So(kinds(fl.fromHost(returned)), ShouldResemble, []Kind{KindDrop})
			fl.shouldBeHeld()
			So(fl.Report(fl.now).State.TakesNewWork(), ShouldBeTrue)
		})
		Convey("A restarted agent that has learned of the flow from its packets delivers no copy of its opening", t, func() {
			fl := newFlowInUse(bytes)
			fl.restartAgentBesideHost()
			fl.SetRoutes(newSimulation(1, 1, 1).routes)
			fl.answer(1000)
			So(kinds(fl.fromCaller(fl.opening)), ShouldResemble, []Kind{KindConfirm})
			fl.shouldBeHeld()
			So(kinds(fl.fromHost(fl.accepting)), ShouldContain, KindReturn)
			fl.shouldBeHeld()
		})
		Convey("A restarted agent that knows of the late copy only delivers the flow's packets", t, func() {
			fl := newFlowInUse(bytes)
			fl.restartAgentBesideHost()
			fl.SetRoutes(newSimulation(1, 1, 1).routes)
			So(kinds(fl.fromCaller(fl.opening)), ShouldContain, KindDeliver)
			fl.fromHost(fl.accepting)
			fl.answer(1000)
			fl.shouldBeHeld()
		})
	}
	Convey("A copy that the host returns leaves an accepted flow at the host, and its opening goes elsewhere", t, func() {
		fl := newFlowInUse(0)
		gw := newGateAtWork()
		gw.fromCaller(fl.opening)
		gw.fromHost(fl.accepting)
		So(kinds(gw.fromCaller(fl.opening)), ShouldResemble, []Kind{KindDeliver})
		returned := fl.opening
		returned.Returned = true
		So(kinds(gw.fromHost(returned)), ShouldResemble, []Kind{KindDecline})
		So(kinds(gw.fromCaller(fl.request())), ShouldResemble, []Kind{KindDeliver})
		So(gw.Gate.answer(gw.now, Question{Flow: gw.flow, Acknowledged: fl.acknowledged}), ShouldEqual, absence.Held)
	})
	Convey("The opening of another flow between the same addresses is delivered", t, func() {
		fl := newFlowInUse(1000)
		So(kinds(fl.fromCaller(Packet{Opening: true, Sequence: 900000})), ShouldContain, KindDeliver)
		fl.restartAgentBesideHost()
		fl.SetRoutes(newSimulation(1, 1, 1).routes)
		fl.answer(1000)
		So(kinds(fl.fromCaller(Packet{Opening: true, Sequence: 900000})), ShouldContain, KindDeliver)
	})
}

// A balancer that was frozen opened flows whose callers had given up, or had opened them
// through another balancer.
func TestOpeningsThatHaveWaitedTooLong(t *testing.T) {
	for number, age := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		Convey("An opening is placed until its caller gives up, counted from the first copy", t, func() {
			open := func(wait time.Duration) []Kind {
				pl, _ := setUpPlacer(simService)
				pk := Packet{Flow: reusedFlow, Opening: true, Copy: uint32(number), Sequence: 7, Wait: wait}
				return kinds(pl.HandlePacket(began, pk, nil))
			}
			So(open(simOpeningTimeout-age-time.Millisecond), ShouldResemble, []Kind{KindForward})
			So(open(simOpeningTimeout-age), ShouldResemble, []Kind{KindDrop})
			So(open(3*time.Second), ShouldResemble, []Kind{KindDrop})
		})
	}
	Convey("A flow that is known keeps its agent", t, func() {
		pl, address := newPlacerWithFlow()
		late := Packet{Flow: reusedFlow, Opening: true, Sequence: 1000, Copy: 1, Wait: 3 * time.Second}
		So(kinds(pl.HandlePacket(began.Add(4*time.Second), late, nil)), ShouldResemble, []Kind{KindDrop})
		list := pl.HandlePacket(began.Add(5*time.Second), Packet{Flow: reusedFlow, Sequence: 1001}, nil)
		So(kinds(list), ShouldResemble, []Kind{KindForward})
		So(list[0].To, ShouldEqual, address)
	})
}
