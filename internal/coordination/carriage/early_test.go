package carriage

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/absence"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// Callers learned only from their next request that a restarted host had lost their flows, and
// some requests may not be repeated.
func TestEarlyResets(t *testing.T) {
	// loseHost lets callers keep idle flows, and returns the number of those that the first
	// host held when it lost power together with its agent.
	loseHost := func(si *simulation, agents int) int {
		si.keepAll(240, began.Add(40*time.Second), 30*time.Second)
		si.runUntil(began.Add(3 * time.Second))
		So(si.failed+si.refused, ShouldEqual, 0)
		held := len(si.hosts[0].flows)
		So(held, ShouldBeGreaterThan, 10)
		for i := range agents {
			si.stopAgent(i)
			si.after(time.Second, func() { si.startAgent(i) })
		}
		return held
	}
	Convey("Callers of idle flows are told after their host and its agent have restarted", t, func() {
		si := newSimulation(90, 3, 6)
		held := loseHost(si, 1)
		si.crashHost(0)
		si.after(1100*time.Millisecond, func() { si.startHost(0) })
		si.runUntil(si.now.Add(time.Second + earlyDelay))
		So(si.refused, ShouldEqual, 0)
		until := si.now
		for si.refused < held && si.now.Before(until.Add(5*time.Second)) {
			si.runUntil(si.now.Add(10 * time.Millisecond))
		}
		t.Logf("%d idle flows told in %v", si.refused, si.now.Sub(until))
		So(si.refused, ShouldEqual, held)
		So(si.resetsOfOpen+si.wrongAnswers, ShouldEqual, 0)
	})
	Convey("Nobody is reset after a restart of agents beside living hosts", t, func() {
		for _, agents := range []int{1, 6} {
			si := newSimulation(91, 3, 6)
			loseHost(si, agents)
			si.runUntil(began.Add(60 * time.Second))
			So(si.refused+si.failed+si.resetsOfOpen+si.wrongAnswers, ShouldEqual, 0)
		}
	})
	remembered := func() (*Placer, *trackedFlow, time.Time) {
		pl, list := setUpPlacer(simService, simService)
		now := began.Add(viewSettled)
		pl.HandlePacket(now, Packet{Flow: reusedFlow, Sequence: 1001, Length: 100, Acknowledged: 500001}, []byte("data"))
		tf := pl.flows.peek(reusedFlow)
		pl.locate(tf, pl.agents[list[0]])
		pl.HandlePacket(now, Packet{Flow: reusedFlow, Sequence: 1101, Length: 100, Acknowledged: 500601}, []byte("data"))
		pl.HandlePacket(now, Packet{Flow: reusedFlow, Sequence: 1101, Length: 100, Acknowledged: 500001}, []byte("data"))
		return pl, tf, now
	}
	run := func(pl *Placer, now time.Time, answers ...absence.Answer) (resets []Action) {
		for range 800 {
			now = now.Add(10 * time.Millisecond)
			list := append([]Action{}, pl.Tick(now)...)
			for _, ac := range list {
				switch ac.Kind {
				case KindReset:
					resets = append(resets, ac)
				case KindFind:
					an := answers[ac.To.Addr().As4()[3]-1]
					for _, next := range pl.HandleHolders(now, ac.To, ac.Number, []absence.Answer{an}) {
						So(next.Kind, ShouldNotEqual, KindReset)
					}
				}
			}
		}
		return resets
	}
	for i, answers := range [][]absence.Answer{
		{absence.Absent, absence.Absent},
		{absence.Absent, absence.Held},
		{absence.Absent, absence.Possible},
		{absence.Reused, absence.Absent},
		{absence.Absent, absence.Reused},
		{absence.Unknown, absence.Absent},
		{absence.Provisional, absence.Absent},
		{absence.Absent, absence.Provisional},
	} {
		Convey(fmt.Sprintf("A caller is reset only if all agents have said Absent, with the last number acknowledged: %v", answers), t, func() {
			pl, tf, now := remembered()
			pl.noteHostMayBeNew(now, tf.agent)
			resets := run(pl, now, answers...)
			if i > 0 {
				So(resets, ShouldBeEmpty)
				So(pl.flows.peek(reusedFlow), ShouldEqual, tf)
				So(tf.search, ShouldBeNil)
				So(pl.Deadline().IsZero(), ShouldBeTrue)
				return
			}
			So(len(resets), ShouldEqual, 1)
			So(resets[0].Acknowledged, ShouldEqual, 500601)
			So(resets[0].Reason, ShouldEqual, ReasonNotHeld)
			So(pl.flows.peek(reusedFlow), ShouldBeNil)
		})
	}
	Convey("A check ends when the flow is used again", t, func() {
		pl, tf, now := remembered()
		pl.noteHostMayBeNew(now, tf.agent)
		now = now.Add(10 * time.Millisecond)
		asked := append([]Action{}, pl.Tick(now)...)
		So(asked, ShouldNotBeEmpty)
		forwarded := pl.HandlePacket(now, Packet{Flow: reusedFlow, Sequence: 1201, Length: 100, Acknowledged: 500601}, []byte("data"))
		So(kinds(forwarded), ShouldResemble, []Kind{KindForward})
		for _, ac := range asked {
			So(pl.HandleHolders(now, ac.To, ac.Number, []absence.Answer{absence.Absent}), ShouldBeEmpty)
		}
		So(run(pl, now, absence.Absent, absence.Absent), ShouldBeEmpty)
	})
	Convey("The flows of a host that has checked out are checked at once, those that their callers have ended are not", t, func() {
		pl, tf, now := remembered()
		pl.HandleReport(now, tf.agent.address, Report{State: register.StateGone})
		So(len(run(pl, now, absence.Absent, absence.Absent)), ShouldEqual, 1)
		pl, tf, now = remembered()
		pl.HandleReport(now, tf.agent.address, Report{State: register.StateGone})
		So(run(pl, now, absence.Provisional, absence.Absent), ShouldBeEmpty)
		pl, tf, now = remembered()
		pl.HandlePacket(now, Packet{Flow: reusedFlow, Sequence: 1201, Finishes: true, Acknowledged: 500601}, []byte("data"))
		pl.HandleReport(now, tf.agent.address, Report{State: register.StateGone})
		So(run(pl, now, absence.Absent, absence.Absent), ShouldBeEmpty)
	})
}
