package dispatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOutcomesRandomly drives four agents through random requests, repeats
// through any agent, parcels that are late, crossed or lost, servers that fail
// before and after running, crashes between any two steps, pauses and planned
// stops, and compares the books after each step.
func TestOutcomesRandomly(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		wo := newWorld(rt, 4)
		agent := func() int {
			at := rapid.IntRange(0, len(wo.agents)-1).Draw(rt, "agent")
			if wo.agents[at].stopped {
				wo.boot(at)
				wo.introduce()
			}
			return at
		}
		class := func() Class { return Class(rapid.IntRange(0, 1).Draw(rt, "class")) }
		placeAt := func(at int, repeatable bool) {
			or := &order{number: len(wo.orders) + 1, repeatable: repeatable}
			wo.orders = append(wo.orders, or)
			wo.open(at, or, OriginCaller, class(), sender{})
			if !repeatable && or.ticket.Valid() {
				wo.open(at, or, OriginCaller, class(), sender{})
			}
		}
		place := func(repeatable bool) { placeAt(agent(), repeatable) }
		deliver := func(lost bool) {
			if len(wo.parcels) == 0 {
				return
			}
			at := rapid.IntRange(0, len(wo.parcels)-1).Draw(rt, "parcel")
			pa := wo.parcels[at]
			wo.parcels = append(wo.parcels[:at:at], wo.parcels[at+1:]...)
			wo.deliver(pa, lost)
		}
		serve := func(rt *rapid.T) {
			if len(wo.executions) == 0 {
				return
			}
			at := rapid.IntRange(0, len(wo.executions)-1).Draw(rt, "execution")
			results := []Result{ResultComplete, ResultComplete, ResultComplete, ResultNotSent, ResultRefused, ResultFailed}
			wo.serve(at, rapid.SampledFrom(results).Draw(rt, "result"))
		}
		steps := map[string]func(*rapid.T){
			"Book":  func(*rapid.T) { place(false) },
			"Book2": func(*rapid.T) { place(false) },
			"Ask":   func(*rapid.T) { place(true) },
			"Burst": func(rt *rapid.T) {
				at := agent()
				for range 6 {
					placeAt(at, rapid.Bool().Draw(rt, "repeatable"))
				}
			},
			"Flush": func(*rapid.T) {
				for range 12 {
					deliver(false)
				}
			},
			"Repeat": func(rt *rapid.T) {
				if len(wo.orders) == 0 {
					return
				}
				or := rapid.SampledFrom(wo.orders).Draw(rt, "order")
				if !or.repeatable && or.ticket.Valid() {
					wo.open(agent(), or, OriginCaller, class(), sender{})
				}
			},
			"Deliver":  func(*rapid.T) { deliver(false) },
			"Deliver2": func(*rapid.T) { deliver(false) },
			"Deliver3": func(*rapid.T) { deliver(false) },
			"Lose": func(rt *rapid.T) {
				deliver(rapid.IntRange(0, 2).Draw(rt, "lost") == 0)
			},
			"LoseAnswer": func(*rapid.T) { wo.loseAnswer() },
			"TimeOut": func(rt *rapid.T) {
				if len(wo.parcels) > 0 {
					wo.timeOut(rapid.IntRange(0, len(wo.parcels)-1).Draw(rt, "late"))
				}
			},
			"Serve":  serve,
			"Serve2": serve,
			"Advance": func(rt *rapid.T) {
				steps := []time.Duration{time.Millisecond, 30 * time.Millisecond, 200 * time.Millisecond, patience}
				wo.now = wo.now.Add(rapid.SampledFrom(steps).Draw(rt, "time"))
				wo.wake()
			},
			"Crash": func(rt *rapid.T) {
				if rapid.IntRange(0, 3).Draw(rt, "crash") == 0 {
					wo.boot(agent())
					wo.introduce()
				}
			},
			"Stop": func(*rapid.T) {
				at := agent()
				wo.handle(at, StopRequested{Deadline: wo.now.Add(5 * time.Second)})
				wo.introduce()
			},
			"Vanish": func(rt *rapid.T) {
				at := agent()
				id := RequestID(rapid.IntRange(0, int(wo.agents[at].lastID)).Draw(rt, "request"))
				if ta, ok := wo.agents[at].tasks[id]; ok && !ta.peer {
					delete(wo.agents[at].tasks, id)
					wo.handle(at, Abandoned{ID: id})
				}
			},
		}
		rt.Repeat(steps)
		settleWorld(wo)
	})
}

// settleWorld lets everything in progress end and audits all books.
func settleWorld(wo *world) {
	for range 50 {
		for len(wo.parcels) > 0 {
			pa := wo.parcels[0]
			wo.parcels = wo.parcels[1:]
			wo.deliver(pa, false)
		}
		for len(wo.executions) > 0 {
			wo.serve(0, ResultComplete)
		}
		wo.now = wo.now.Add(200 * time.Millisecond)
		wo.wake()
	}
	for _, or := range wo.orders {
		wo.audit(or)
	}
	for at, pr := range wo.agents {
		if !pr.stopped && (len(pr.desk.jobs) > 0 || pr.desk.running != 0) {
			wo.rt.Fatalf("agent %d keeps %d jobs and %d executions", at, len(pr.desk.jobs), pr.desk.running)
		}
		if !pr.stopped && len(pr.tasks) > 0 {
			wo.rt.Fatalf("agent %d left %d requests without an outcome", at, len(pr.tasks))
		}
	}
}
