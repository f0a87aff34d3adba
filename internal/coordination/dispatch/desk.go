// Package dispatch decides about the requests of one agent: whether, when and
// where each of them runs, and what its caller is told.
//
// A Desk is a decision core. It takes an event and the time of the event, and
// returns the actions that the shell carries out in their order. It holds no
// socket, clock, goroutine or global randomness.
//
// # Outcomes
//
// Each request ends in exactly one Respond. NotRun is used only if the request
// was provably never handed to a backend server and never will be; Unknown is
// used whenever it may have run.
//
// # At most once
//
// An unrepeatable request needs a ticket and is decided by the ticket's home
// alone. The home runs it on its own backend server or delegates it to one peer
// that granted a slot; if the peer's response is lost, the outcome is Unknown.
// Other agents relay to the home, or to its successors once it has stopped.
//
// # Admission and placement
//
// Urgent requests go before deferrable ones, which are guaranteed a small share.
// The queue is bounded by the expected waiting time. While requests wait, the
// agent keeps probes at a few peers; a peer answers a probe when it has a slot
// that would otherwise stay idle, and the request that waits first is moved.
//
// # Usage
//
//	de := dispatch.NewDesk(now, dispatch.Settings{Home: home, Slots: 2})
//	for _, ac := range de.Handle(now, dispatch.Arrived{Request: re}) {
//		carryOut(ac)
//	}
//	timer.Reset(de.NextWake())
package dispatch

import (
	"math/rand/v2"
	"time"

	"corneltiller.dev/corneltiller/internal/state/ledger"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// Settings are the fixed properties of a Desk.
type Settings struct {
	Home    ledger.Home
	Service register.ServiceID
	// Slots is the number of requests that the backend server runs at once.
	Slots  int
	Limits ledger.Limits
	// Seed starts the sequence of random choices.
	Seed uint64
}

// Dispatcher decides about the requests of one agent. It is not safe for concurrent
// use.
type Dispatcher struct {
	settings Settings
	random   *rand.Rand
	ledger   *ledger.Ledger
	archive  *ledger.Archive
	jobs     map[RequestID]*job
	// leaders are the jobs that decide about the open tickets of this home.
	leaders map[uint64]*job
	queues  [classCount]*fairQueue
	credit  int
	running int
	limiter *Limiter
	breaker Breaker
	budget  Budget
	meter   meter
	shedder shedder
	timers  timerHeap
	peers   peerTable
	market
	drain
	// latest is the time of the last event.
	latest  time.Time
	actions []Action
}

// NewDispatcher returns the Desk of an agent that starts now.
func NewDispatcher(now time.Time, se Settings) *Dispatcher {
	de := &Dispatcher{
		settings: se,
		random:   rand.New(rand.NewPCG(se.Seed, se.Home.Incarnation)),
		ledger:   ledger.New(se.Home, se.Service, se.Limits),
		archive:  ledger.NewArchive(),
		jobs:     make(map[RequestID]*job),
		leaders:  make(map[uint64]*job),
		limiter:  NewLimiter(now, se.Slots),
		meter:    newMeter(now, se.Slots),
		shedder:  shedder{calm: now},
	}
	for cl := range de.queues {
		de.queues[cl] = newFairQueue()
	}
	return de
}

// Handle takes an event that happened now and returns the actions to carry
// out. The slice is valid until the next call.
func (de *Dispatcher) Handle(now time.Time, ev Event) []Action {
	de.actions = de.actions[:0]
	de.latest = now
	de.meter.advance(now, de.running)
	de.apply(now, ev)
	de.elapse(now)
	de.pump(now)
	de.seek(now)
	de.proceed(now)
	de.meter.advance(now, de.running)
	return de.actions
}

// apply takes the event.
func (de *Dispatcher) apply(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case Arrived:
		de.arrive(now, ev.Request)
	case Executed:
		de.executed(now, ev)
	case Abandoned:
		de.vanish(now, ev.ID)
	case Relayed:
		de.relayed(now, ev)
	case RelayFailed:
		de.relayFailed(now, ev.ID)
	case Delegated:
		de.delegated(now, ev)
	case DelegateFailed:
		de.delegateFailed(now, ev)
	case Probed:
		de.probed(now, ev)
	case Granted:
		de.granted(now, ev)
	case Declined:
		de.release(ev.Peer)
	case PeersChanged:
		de.peers.replace(ev.Peers)
	case LoadReported:
		de.meter.report(now, ev)
	case StopRequested:
		de.stop(now, ev.Deadline)
	case HandedOver:
		de.handedOver(now, ev)
	case SnapshotReceived:
		de.adopt(now, ev.Snapshot)
	case TimerFired:
	}
}

// NextWake returns when Elapsed is due, or the zero time if nothing waits for
// time to pass.
func (de *Dispatcher) NextWake() time.Time {
	next := later(de.latest, de.timers.next(), de.market.next(), de.drain.next(de.latest))
	if de.waiting() > 0 {
		next = earliest(next, later(de.latest, de.breaker.Until(), de.limiter.RampEnd()))
	}
	return next
}

// Load returns the utilisation of the backend server in thousandths.
func (de *Dispatcher) Load() int {
	return de.meter.load()
}

// InProgress reports whether the request may still be executed, relayed or
// delegated, or an execution of it may still end.
func (de *Dispatcher) InProgress(id RequestID) bool {
	_, ok := de.jobs[id]
	return ok
}

// Overloaded reports whether deferrable requests are being shed.
func (de *Dispatcher) Overloaded(now time.Time) bool {
	return de.shedder.overloaded(now)
}

// waiting returns the number of queued requests.
func (de *Dispatcher) waiting() int {
	return de.queues[ClassUrgent].length + de.queues[ClassDeferrable].length
}

// emit appends an action.
func (de *Dispatcher) emit(ac Action) {
	de.actions = append(de.actions, ac)
}

// elapse ends what has timed out.
func (de *Dispatcher) elapse(now time.Time) {
	for {
		id, ok := de.timers.due(now)
		if !ok {
			break
		}
		if jo, found := de.jobs[id]; found {
			de.expire(now, jo)
		}
	}
	de.market.expire(now)
}

// earliest returns the first of the times that are set.
func earliest(times ...time.Time) time.Time {
	var first time.Time
	for _, ti := range times {
		if !ti.IsZero() && (first.IsZero() || ti.Before(first)) {
			first = ti
		}
	}
	return first
}

// later returns the first of the times that come after the latest.
func later(latest time.Time, times ...time.Time) time.Time {
	var first time.Time
	for _, ti := range times {
		if ti.After(latest) {
			first = earliest(first, ti)
		}
	}
	return first
}
