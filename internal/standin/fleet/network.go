// Package fleet simulates the membership of a whole fleet: it runs the membership
// cores of many nodes over a simulated network in virtual time, for tests,
// benchmarks and the measurements of the capacity page.
//
// The network delivers each message after a latency. It can lose, duplicate and
// delay messages and block any direction between two nodes. Nodes can crash,
// pause and resume. All random choices derive from one seed, so that a run can be
// reproduced.
//
// # Usage
//
//	fl := fleet.New(fleet.Options{Balancers: 8, Hosts: 50, Seed: 1})
//	fl.Run(5 * time.Second)
//	fl.Crash(fl.Hosts[3])
//	fl.Run(3 * time.Second)
package fleet

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/membership"
)

// event is the arrival of a message at a node or, if tick is set, a tick of the
// node.
type event struct {
	at time.Time
	// order is the position among all events scheduled.
	order   uint64
	to      *Node
	from    netip.AddrPort
	message membership.Message
	tick    bool
}

// eventQueue is a heap of future events, ordered by time, then by the order in
// which they were scheduled.
type eventQueue []*event

func (eq eventQueue) Len() int { return len(eq) }

func (eq eventQueue) Less(ii, jj int) bool {
	if !eq[ii].at.Equal(eq[jj].at) {
		return eq[ii].at.Before(eq[jj].at)
	}
	return eq[ii].order < eq[jj].order
}

func (eq eventQueue) Swap(ii, jj int) { eq[ii], eq[jj] = eq[jj], eq[ii] }

// Push adds an element; called by container/heap.
func (eq *eventQueue) Push(element any) { *eq = append(*eq, element.(*event)) }

// Pop removes the last element; called by container/heap.
func (eq *eventQueue) Pop() any {
	last := len(*eq) - 1
	element := (*eq)[last]
	(*eq)[last] = nil
	*eq = (*eq)[:last]
	return element
}

// Network delivers messages between nodes and schedules their ticks.
type Network struct {
	// Loss is the probability that a copy of a message is lost, Duplicate the
	// probability that a message is sent twice; both are between 0 and 1.
	Loss      float64
	Duplicate float64
	// Jitter is the upper bound of a random delay that is added to the latency of
	// each message, so that messages can overtake each other.
	Jitter time.Duration
	// Blocked, if set, reports whether messages in this direction are dropped.
	Blocked func(from, to *Node) bool

	rng   *rand.Rand
	queue eventQueue
	// scheduled is the number of events scheduled so far.
	scheduled uint64
}

// One-way latencies within a failure domain and between two of them.
const (
	latencyWithinDomain  = 500 * time.Microsecond
	latencyAcrossDomains = 10 * time.Millisecond
)

// send schedules the delivery of a message unless it is blocked or lost.
func (ne *Network) send(from, to *Node, msg membership.Message, now time.Time) {
	if ne.Blocked != nil && ne.Blocked(from, to) {
		return
	}
	copies := 1
	if ne.rng.Float64() < ne.Duplicate {
		copies = 2
	}
	for range copies {
		if ne.rng.Float64() < ne.Loss {
			continue
		}
		latency := latencyWithinDomain
		if from.Domain != to.Domain {
			latency = latencyAcrossDomains
		}
		if ne.Jitter > 0 {
			latency += time.Duration(ne.rng.Int64N(int64(ne.Jitter)))
		}
		ne.schedule(&event{at: now.Add(latency), to: to, from: from.Control, message: msg})
	}
}

// schedule adds an event to the queue.
func (ne *Network) schedule(ev *event) {
	ne.scheduled++
	ev.order = ne.scheduled
	heap.Push(&ne.queue, ev)
}

// next removes and returns the first event that is not after the deadline, or
// returns nil if there is none.
func (ne *Network) next(deadline time.Time) *event {
	if len(ne.queue) == 0 || ne.queue[0].at.After(deadline) {
		return nil
	}
	return heap.Pop(&ne.queue).(*event)
}
