package dispatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// stopTimeout is the time from each stop in these tests to its deadline.
const stopTimeout = 20 * time.Second

// withCluster runs the test on clusters with the given number of agents, once
// for each check of rapid.
func withCluster(t *testing.T, agents int, test func(cl *cluster)) {
	rapid.Check(t, func(rt *rapid.T) { test(newCluster(rt, agents)) })
}

// answeredRequest returns an unrepeatable request that the agent answered. It
// arrives without a ticket first, and again with the ticket that it got.
func answeredRequest(cl *cluster, at int) *callerRequest {
	cr := &callerRequest{number: len(cl.requests) + 1}
	cl.requests = append(cl.requests, cr)
	cl.arrive(at, cr, OriginCaller, ClassUrgent, sender{})
	cl.arrive(at, cr, OriginCaller, ClassUrgent, sender{})
	cl.stepExecution(len(cl.executions)-1, ResultComplete)
	cl.stepExecution(len(cl.executions)-1, ResultComplete)
	return cr
}

// deliverAll delivers all messages in order. Those to the crashed agent are lost;
// -1 means that no agent has crashed.
func deliverAll(cl *cluster, crashed int) {
	for len(cl.messages) > 0 {
		ms := cl.messages[0]
		cl.messages = cl.messages[1:]
		cl.deliver(ms, ms.to == crashed)
	}
}

// advance lets time pass in steps of handOverPause, in each of which all
// messages are delivered.
func advance(cl *cluster, span time.Duration, crashed int) {
	for end := cl.now.Add(span); cl.now.Before(end); {
		cl.now = cl.now.Add(handOverPause)
		cl.fireTimers()
		deliverAll(cl, crashed)
	}
}

// repeatAnswered reports whether a repeat of the request at the agent is
// answered without a second run.
func repeatAnswered(cl *cluster, at int, cr *callerRequest) bool {
	cr.answered = false
	cl.arrive(at, cr, OriginCaller, ClassUrgent, sender{})
	deliverAll(cl, -1)
	return cr.answered && cr.runs == 1
}

func TestHandOver(t *testing.T) {
	Convey("A successor that crashes during the hand-over is skipped, and the next one answers repeats", t, func() {
		withCluster(t, 4, func(cl *cluster) {
			cr := answeredRequest(cl, 0)
			crashed := cl.find(cl.agents[0].dispatcher.peers.successors(cr.ticket.Home)[0])
			cl.handle(0, StopRequested{Deadline: cl.now.Add(stopTimeout)})
			advance(cl, 5*time.Second, crashed)
			if !cl.agents[0].stopped || !cl.agents[0].dispatcher.drain.adopted {
				cl.rt.Fatalf("agent 0 stopped %v, ledger adopted %v", cl.agents[0].stopped, cl.agents[0].dispatcher.drain.adopted)
			}
			cl.restart(crashed)
			cl.updatePeers()
			if !repeatAnswered(cl, crashed, cr) {
				cl.rt.Fatalf("repeat after the stop: answered %v, runs %d", cr.answered, cr.runs)
			}
		})
	})

	Convey("Two agents that stop at the same time hand their ledgers over to the third", t, func() {
		withCluster(t, 3, func(cl *cluster) {
			one, two := answeredRequest(cl, 0), answeredRequest(cl, 1)
			for at := range 2 {
				cl.handle(at, StopRequested{Deadline: cl.now.Add(stopTimeout)})
			}
			cl.updatePeers()
			advance(cl, 5*time.Second, -1)
			if !cl.agents[0].stopped || !cl.agents[1].stopped {
				cl.rt.Fatalf("a stop did not end")
			}
			if !repeatAnswered(cl, 2, one) || !repeatAnswered(cl, 2, two) {
				cl.rt.Fatalf("repeats after both stops: %v, %v", one.answered, two.answered)
			}
		})
	})

	Convey("A successor that stops later hands the adopted ledger over too", t, func() {
		withCluster(t, 3, func(cl *cluster) {
			cr := answeredRequest(cl, 0)
			cl.handle(0, StopRequested{Deadline: cl.now.Add(stopTimeout)})
			cl.updatePeers()
			advance(cl, 5*time.Second, -1)
			successor := 1
			if len(cl.agents[2].dispatcher.archive.Snapshots()) > 0 {
				successor = 2
			}
			cl.handle(successor, StopRequested{Deadline: cl.now.Add(stopTimeout)})
			cl.updatePeers()
			advance(cl, 5*time.Second, -1)
			if !repeatAnswered(cl, 3-successor, cr) {
				cl.rt.Fatalf("repeat after the second stop: answered %v, runs %d", cr.answered, cr.runs)
			}
		})
	})

	Convey("After a crash a repeat is neither run nor answered, and its outcome is never NotRun", t, func() {
		withCluster(t, 3, func(cl *cluster) {
			cr := answeredRequest(cl, 0)
			cl.restart(0)
			cl.updatePeers()
			for at := range cl.agents {
				if repeatAnswered(cl, at, cr) || cr.notRun || cr.runs != 1 {
					cl.rt.Fatalf("repeat after a crash: %+v", cr)
				}
			}
		})
	})

	Convey("A stop under full load interrupts no request that can end before its deadline", t, func() {
		withCluster(t, 2, func(cl *cluster) {
			for range 8 {
				cr := &callerRequest{number: len(cl.requests) + 1, repeatable: true}
				cl.requests = append(cl.requests, cr)
				cl.arrive(0, cr, OriginCaller, ClassUrgent, sender{})
			}
			cl.handle(0, StopRequested{Deadline: cl.now.Add(stopTimeout)})
			cl.updatePeers()
			for range 20 {
				deliverAll(cl, -1)
				for len(cl.executions) > 0 {
					cl.stepExecution(0, ResultComplete)
				}
			}
			advance(cl, 5*time.Second, -1)
			for _, cr := range cl.requests {
				if !cr.answered {
					cl.rt.Fatalf("request %d was interrupted", cr.number)
				}
			}
			if !cl.agents[0].stopped {
				cl.rt.Fatal("the stop did not end")
			}
		})
	})

	Convey("Outcomes and reasons have names", t, func() {
		So(ledger.NotRun.String(), ShouldEqual, "NotRun")
		So(ReasonHomeLost.String(), ShouldEqual, "HomeLost")
	})
}
