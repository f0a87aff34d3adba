// Package fleet runs the membership cores of many nodes over a fake network in
// virtual time, for tests, benchmarks and the figures of the capacity page.
//
// The network delivers each message after a latency, and can lose, double and
// delay messages, and block any direction between two nodes. Nodes can crash,
// pause and resume. Everything is drawn from one seed, so a run repeats.
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

// delivered is a message on its way, or the tick of a node when it has none.
type delivered struct {
	at      time.Time
	order   uint64
	to      *Node
	from    netip.AddrPort
	message membership.Message
	tick    bool
}

// agenda is a heap of what will happen, by time and order of entry.
type agenda []*delivered

func (ag agenda) Len() int { return len(ag) }

func (ag agenda) Less(ii, jj int) bool {
	if !ag[ii].at.Equal(ag[jj].at) {
		return ag[ii].at.Before(ag[jj].at)
	}
	return ag[ii].order < ag[jj].order
}

func (ag agenda) Swap(ii, jj int) { ag[ii], ag[jj] = ag[jj], ag[ii] }

// Push adds an element; it is called by the heap.
func (ag *agenda) Push(element any) { *ag = append(*ag, element.(*delivered)) }

// Pop removes the last element; it is called by the heap.
func (ag *agenda) Pop() any {
	last := len(*ag) - 1
	element := (*ag)[last]
	(*ag)[last] = nil
	*ag = (*ag)[:last]
	return element
}

// Network carries messages between the nodes.
type Network struct {
	// Loss and Duplicate are shares of the messages between 0 and 1.
	Loss      float64
	Duplicate float64
	// Jitter is the most by which a message is delayed beyond the latency, so
	// that messages overtake each other.
	Jitter time.Duration
	// Blocked, if set, reports whether a direction carries nothing.
	Blocked func(from, to *Node) bool

	rng    *rand.Rand
	agenda agenda
	order  uint64
}

// The latency between failure domains, one way.
const (
	latencyInside = 500 * time.Microsecond
	latencyAcross = 10 * time.Millisecond
)

// send puts a message on its way.
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
		latency := latencyInside
		if from.Domain != to.Domain {
			latency = latencyAcross
		}
		if ne.Jitter > 0 {
			latency += time.Duration(ne.rng.Int64N(int64(ne.Jitter)))
		}
		ne.schedule(&delivered{at: now.Add(latency), to: to, from: from.Control, message: msg})
	}
}

// schedule enters what will happen.
func (ne *Network) schedule(de *delivered) {
	ne.order++
	de.order = ne.order
	heap.Push(&ne.agenda, de)
}

// next takes what happens before the deadline, or returns nil.
func (ne *Network) next(deadline time.Time) *delivered {
	if len(ne.agenda) == 0 || ne.agenda[0].at.After(deadline) {
		return nil
	}
	return heap.Pop(&ne.agenda).(*delivered)
}
