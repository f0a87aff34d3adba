package dispatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// stopBound is the deadline of each stop in these tests.
const stopBound = 20 * time.Second

// withWorld runs the test once in a world of the agents.
func withWorld(t *testing.T, agents int, test func(wo *world)) {
	rapid.Check(t, func(rt *rapid.T) { test(newWorld(rt, agents)) })
}

// booked returns a booking that the agent answered.
func booked(wo *world, at int) *order {
	or := &order{number: len(wo.orders) + 1}
	wo.orders = append(wo.orders, or)
	wo.open(at, or, OriginCaller, ClassUrgent, sender{})
	wo.open(at, or, OriginCaller, ClassUrgent, sender{})
	wo.serve(len(wo.executions)-1, ResultComplete)
	wo.serve(len(wo.executions)-1, ResultComplete)
	return or
}

// deliverAll delivers all parcels in order, those to the dead agent as lost.
func deliverAll(wo *world, dead int) {
	for len(wo.parcels) > 0 {
		pa := wo.parcels[0]
		wo.parcels = wo.parcels[1:]
		wo.deliver(pa, pa.to == dead)
	}
}

// pass lets the time pass in steps while parcels are delivered.
func pass(wo *world, span time.Duration, dead int) {
	for end := wo.now.Add(span); wo.now.Before(end); {
		wo.now = wo.now.Add(handOverPause)
		wo.wake()
		deliverAll(wo, dead)
	}
}

// replayed reports whether a repeat at the agent finds the recorded answer.
func replayed(wo *world, at int, or *order) bool {
	or.answered = false
	wo.open(at, or, OriginCaller, ClassUrgent, sender{})
	deliverAll(wo, -1)
	return or.answered && or.runs == 1
}

func TestHandOver(t *testing.T) {
	Convey("A successor that dies in the hand-over is passed over, and the next one answers repeats", t, func() {
		withWorld(t, 4, func(wo *world) {
			or := booked(wo, 0)
			dead := wo.find(wo.agents[0].desk.peers.heirs(or.ticket.Home)[0])
			wo.handle(0, StopRequested{Deadline: wo.now.Add(stopBound)})
			pass(wo, 5*time.Second, dead)
			if !wo.agents[0].stopped || !wo.agents[0].desk.drain.adopted {
				wo.rt.Fatalf("agent 0 stopped %v, ledger adopted %v", wo.agents[0].stopped, wo.agents[0].desk.drain.adopted)
			}
			wo.boot(dead)
			wo.introduce()
			if !replayed(wo, dead, or) {
				wo.rt.Fatalf("repeat after the stop: answered %v, runs %d", or.answered, or.runs)
			}
		})
	})

	Convey("Two agents that stop at once leave their ledgers to the third", t, func() {
		withWorld(t, 3, func(wo *world) {
			one, two := booked(wo, 0), booked(wo, 1)
			for at := range 2 {
				wo.handle(at, StopRequested{Deadline: wo.now.Add(stopBound)})
			}
			wo.introduce()
			pass(wo, 5*time.Second, -1)
			if !wo.agents[0].stopped || !wo.agents[1].stopped {
				wo.rt.Fatalf("a stop did not end")
			}
			if !replayed(wo, 2, one) || !replayed(wo, 2, two) {
				wo.rt.Fatalf("repeats after both stops: %v, %v", one.answered, two.answered)
			}
		})
	})

	Convey("A successor that stops too hands on what it adopted", t, func() {
		withWorld(t, 3, func(wo *world) {
			or := booked(wo, 0)
			wo.handle(0, StopRequested{Deadline: wo.now.Add(stopBound)})
			wo.introduce()
			pass(wo, 5*time.Second, -1)
			heir := 1
			if len(wo.agents[2].desk.archive.Snapshots()) > 0 {
				heir = 2
			}
			wo.handle(heir, StopRequested{Deadline: wo.now.Add(stopBound)})
			wo.introduce()
			pass(wo, 5*time.Second, -1)
			if !replayed(wo, 3-heir, or) {
				wo.rt.Fatalf("repeat after the second stop: answered %v, runs %d", or.answered, or.runs)
			}
		})
	})

	Convey("After a crash the outcome is Unknown, never a second run", t, func() {
		withWorld(t, 3, func(wo *world) {
			or := booked(wo, 0)
			wo.boot(0)
			wo.introduce()
			for at := range wo.agents {
				if replayed(wo, at, or) || or.notRun || or.runs != 1 {
					wo.rt.Fatalf("repeat after a crash: %+v", or)
				}
			}
		})
	})

	Convey("A stop under full load cuts nothing that can end before its deadline", t, func() {
		withWorld(t, 2, func(wo *world) {
			for range 8 {
				or := &order{number: len(wo.orders) + 1, repeatable: true}
				wo.orders = append(wo.orders, or)
				wo.open(0, or, OriginCaller, ClassUrgent, sender{})
			}
			wo.handle(0, StopRequested{Deadline: wo.now.Add(stopBound)})
			wo.introduce()
			for range 20 {
				deliverAll(wo, -1)
				for len(wo.executions) > 0 {
					wo.serve(0, ResultComplete)
				}
			}
			pass(wo, 5*time.Second, -1)
			for _, or := range wo.orders {
				if !or.answered {
					wo.rt.Fatalf("order %d was cut", or.number)
				}
			}
			if !wo.agents[0].stopped {
				wo.rt.Fatal("the stop did not end")
			}
		})
	})

	Convey("The outcomes have names", t, func() {
		So(ledger.NotRun.String(), ShouldEqual, "NotRun")
		So(ReasonHomeLost.String(), ShouldEqual, "HomeLost")
	})
}
