package dispatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOutcomesRandomly checks that an unrepeatable request never runs twice,
// that no request with the outcome NotRun ever runs, and that each answer is
// that of a run. Four agents get random requests and repeats, while messages
// are delayed, reordered and lost, backend servers fail before and after the
// run, and agents crash and stop.
func TestOutcomesRandomly(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cl := newCluster(rt, 4)
		agent := func() int {
			at := rapid.IntRange(0, len(cl.agents)-1).Draw(rt, "agent")
			if cl.agents[at].stopped {
				cl.restart(at)
				cl.updatePeers()
			}
			return at
		}
		class := func() Class { return Class(rapid.IntRange(0, 1).Draw(rt, "class")) }
		arriveAt := func(at int, repeatable bool) {
			cr := &callerRequest{number: len(cl.requests) + 1, repeatable: repeatable}
			cl.requests = append(cl.requests, cr)
			cl.arrive(at, cr, OriginCaller, class(), sender{})
			if !repeatable && cr.ticket.Valid() {
				cl.arrive(at, cr, OriginCaller, class(), sender{})
			}
		}
		arrive := func(repeatable bool) { arriveAt(agent(), repeatable) }
		deliver := func(lost bool) {
			if len(cl.messages) == 0 {
				return
			}
			at := rapid.IntRange(0, len(cl.messages)-1).Draw(rt, "message")
			ms := cl.messages[at]
			cl.messages = append(cl.messages[:at:at], cl.messages[at+1:]...)
			cl.deliver(ms, lost)
		}
		step := func(rt *rapid.T) {
			if len(cl.executions) == 0 {
				return
			}
			at := rapid.IntRange(0, len(cl.executions)-1).Draw(rt, "execution")
			results := []Result{ResultComplete, ResultComplete, ResultComplete, ResultNotSent, ResultRefused, ResultFailed}
			cl.stepExecution(at, rapid.SampledFrom(results).Draw(rt, "result"))
		}
		steps := map[string]func(*rapid.T){
			"ArriveUnrepeatable":  func(*rapid.T) { arrive(false) },
			"ArriveUnrepeatable2": func(*rapid.T) { arrive(false) },
			"ArriveRepeatable":    func(*rapid.T) { arrive(true) },
			"Burst": func(rt *rapid.T) {
				at := agent()
				for range 6 {
					arriveAt(at, rapid.Bool().Draw(rt, "repeatable"))
				}
			},
			"Flush": func(*rapid.T) {
				for range 12 {
					deliver(false)
				}
			},
			"Repeat": func(rt *rapid.T) {
				if len(cl.requests) == 0 {
					return
				}
				cr := rapid.SampledFrom(cl.requests).Draw(rt, "request")
				if !cr.repeatable && cr.ticket.Valid() {
					cl.arrive(agent(), cr, OriginCaller, class(), sender{})
				}
			},
			"Deliver":  func(*rapid.T) { deliver(false) },
			"Deliver2": func(*rapid.T) { deliver(false) },
			"Deliver3": func(*rapid.T) { deliver(false) },
			"Lose": func(rt *rapid.T) {
				deliver(rapid.IntRange(0, 2).Draw(rt, "lost") == 0)
			},
			"LoseResponse": func(*rapid.T) { cl.loseResponse() },
			"TimeOut": func(rt *rapid.T) {
				if len(cl.messages) > 0 {
					cl.reportLate(rapid.IntRange(0, len(cl.messages)-1).Draw(rt, "late"))
				}
			},
			"StepExecution":  step,
			"StepExecution2": step,
			"Advance": func(rt *rapid.T) {
				steps := []time.Duration{time.Millisecond, 30 * time.Millisecond, 200 * time.Millisecond, requestTimeout}
				cl.now = cl.now.Add(rapid.SampledFrom(steps).Draw(rt, "time"))
				cl.fireTimers()
			},
			"Crash": func(rt *rapid.T) {
				if rapid.IntRange(0, 3).Draw(rt, "crash") == 0 {
					cl.restart(agent())
					cl.updatePeers()
				}
			},
			"Stop": func(*rapid.T) {
				at := agent()
				cl.handle(at, StopRequested{Deadline: cl.now.Add(5 * time.Second)})
				cl.updatePeers()
			},
			"WaitAbandoned": func(rt *rapid.T) {
				at := agent()
				id := RequestID(rapid.IntRange(0, int(cl.agents[at].lastID)).Draw(rt, "request"))
				if ta, ok := cl.agents[at].tasks[id]; ok && !ta.fromPeer {
					delete(cl.agents[at].tasks, id)
					cl.handle(at, Abandoned{ID: id})
				}
			},
		}
		rt.Repeat(steps)
		finishAll(cl)
	})
}

// finishAll lets everything in progress end, checks all outcomes, and checks
// that no agent keeps a request.
func finishAll(cl *cluster) {
	for range 50 {
		for len(cl.messages) > 0 {
			ms := cl.messages[0]
			cl.messages = cl.messages[1:]
			cl.deliver(ms, false)
		}
		for len(cl.executions) > 0 {
			cl.stepExecution(0, ResultComplete)
		}
		cl.now = cl.now.Add(200 * time.Millisecond)
		cl.fireTimers()
	}
	for _, cr := range cl.requests {
		cl.checkOutcome(cr)
	}
	for at, ag := range cl.agents {
		if !ag.stopped && (len(ag.dispatcher.jobs) > 0 || ag.dispatcher.running != 0) {
			cl.rt.Fatalf("agent %d keeps %d jobs and %d executions", at, len(ag.dispatcher.jobs), ag.dispatcher.running)
		}
		if !ag.stopped && len(ag.tasks) > 0 {
			cl.rt.Fatalf("agent %d left %d requests without an outcome", at, len(ag.tasks))
		}
	}
}
