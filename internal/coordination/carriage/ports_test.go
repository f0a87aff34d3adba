package carriage

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// simReusedPorts is the number from which callers that use their ports again are
// numbered.
const simReusedPorts = 1 << 21

// reopenAll lets callers open a flow for one request each and, after a rest, another
// one from the same ports that they keep for requests with the given mean pause until
// the given time. Both are opened one after the other within a second.
func (si *simulation) reopenAll(count int, rest time.Duration, until time.Time, pause time.Duration) {
	for i := range count {
		at := time.Duration(i) * time.Second / time.Duration(count)
		si.after(at, func() {
			first := si.open(simReusedPorts + i)
			si.after(rest, func() { si.reopen(first.flow, until, pause) })
		})
	}
}

// reopen lets a caller use the port of its former flow again for a flow that it keeps.
// The former flow's caller is taken to be done with it.
func (si *simulation) reopen(flow Flow, until time.Time, pause time.Duration) {
	former := si.callers[flow]
	former.done = true
	if mi := si.misdeliveries[flow]; mi != nil {
		mi.reach(si.now)
		if mi.broken {
			si.brokenFormerly = append(si.brokenFormerly, flow)
		}
		delete(si.misdeliveries, flow)
	}
	si.openFrom(&simCaller{
		flow: flow, openingSequence: former.openingSequence + simSequenceStep, former: former,
		keepsUntil: until, pause: pause,
	})
}

// restartBalancers stops the balancers in turn and starts each again after half a
// second.
func (si *simulation) restartBalancers(first, gap time.Duration) {
	for i := range si.balancers {
		at := first + time.Duration(i)*gap
		si.after(at, func() {
			si.balancers[i].live = false
			si.rotation = without(si.rotation, i)
		})
		si.after(at+500*time.Millisecond, func() { si.startBalancer(i) })
	}
}

// restartAgents stops the agents in turn and starts each again after half a second.
func (si *simulation) restartAgents(first, gap time.Duration) {
	for i := range si.hosts {
		at := first + time.Duration(i)*gap
		si.after(at, func() { si.stopAgent(i) })
		si.after(at+500*time.Millisecond, func() { si.startAgent(i) })
	}
}

// A host that had a port's former flow resets the data of the next one, which another
// host holds, if its agent claims the flow or passes the packets on.
func TestReusedPorts(t *testing.T) {
	check := func(si *simulation) {
		si.runUntil(began.Add(22 * time.Second))
		So(si.resetsByOtherHost+si.resetsOfOpen+si.wrongAnswers, ShouldEqual, 0)
		So(len(si.misdelivered())+len(si.brokenFormerly), ShouldEqual, 0)
		So(si.failed+si.refused, ShouldEqual, 0)
		So(si.served, ShouldBeGreaterThan, 1000)
	}
	Convey("Open flows from reused ports go on while the balancers restart in turn", t, func() {
		si := newSimulation(30, 3, 6)
		si.reopenAll(100, 3*time.Second, began.Add(14*time.Second), time.Second)
		si.restartBalancers(6*time.Second, 1200*time.Millisecond)
		check(si)
	})
	Convey("Open flows from reused ports go on while the agents restart in turn, and then the balancers", t, func() {
		si := newSimulation(31, 3, 6)
		si.reopenAll(100, 3*time.Second, began.Add(14*time.Second), time.Second)
		si.restartAgents(5*time.Second, 700*time.Millisecond)
		si.restartBalancers(10*time.Second, 1200*time.Millisecond)
		check(si)
	})
	Convey("Open flows from reused ports go on when the hosts of the former ones have restarted", t, func() {
		si := newSimulation(32, 3, 6)
		si.reopenAll(100, 3*time.Second, began.Add(14*time.Second), time.Second)
		si.after(2*time.Second, func() {
			for i := range 3 {
				si.crashHost(i)
				si.startHost(i)
			}
		})
		si.restartBalancers(6*time.Second, 1200*time.Millisecond)
		check(si)
	})
}

// Restarts, crashes and changes of the rotation while callers use their ports again.
func TestReusedPortsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		si := drawSimulation(rt)
		rest := time.Duration(rapid.IntRange(1000, 5000).Draw(rt, "rest")) * time.Millisecond
		pause := time.Duration(rapid.IntRange(100, 1500).Draw(rt, "pause")) * time.Millisecond
		si.reopenAll(rapid.IntRange(1, 40).Draw(rt, "ports"), rest, began.Add(9*time.Second), pause)
		for range rapid.IntRange(0, 6).Draw(rt, "faults") {
			scheduleFault(rt, si)
		}
		si.runUntil(began.Add(22 * time.Second))
		checkFlows(rt, si)
		if si.resetsByOtherHost+len(si.brokenFormerly) > 0 {
			rt.Fatalf("resets by other hosts than the flows' own %d, former flows with packets at other hosts %v", si.resetsByOtherHost, si.brokenFormerly)
		}
	})
}
