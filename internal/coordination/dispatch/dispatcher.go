// Package dispatch schedules the requests of one agent: it decides whether, when
// and where each of them runs, and what its caller is told.
//
// A Dispatcher is a state machine without I/O. It takes an event and the time of
// the event, and returns the actions that its driver carries out in their order.
// It uses no socket, clock, goroutine or global randomness.
//
// # Outcomes
//
// Each request ends in at most one Respond, and in exactly one unless it was
// abandoned before. NotRun is used only if the request provably never ran on a
// backend server and never will; Unknown is used whenever it may have run.
//
// # At most once
//
// An unrepeatable request needs a ticket, and only the ticket's home, the agent
// that issued it, decides about the request. The home runs it on its own backend
// server or delegates it to a peer that granted a slot, and tries again only if
// that attempt provably did not run; if the peer's response is lost, the outcome
// is Unknown. Other agents relay the request to the home, or to the agents that
// may have adopted its ledger if it has stopped or does not respond.
//
// # Admission and placement
//
// Urgent requests go before deferrable ones, which are guaranteed a small share.
// A request is refused if its expected wait is too long. While requests are
// queued, the agent keeps probes at a few randomly selected peers. A peer answers
// a probe when it has a free slot and no queued request of its own goes first; it
// reserves that slot for a short time. Only then is a request taken from the queue
// and delegated (late binding).
//
// # Usage
//
//	di := dispatch.NewDispatcher(now, dispatch.Settings{Home: home, Slots: 2})
//	for _, ac := range di.Handle(now, dispatch.Arrived{Request: re}) {
//		carryOut(ac)
//	}
//	timer.Reset(time.Until(di.NextWake()))
package dispatch

import (
	"math/rand/v2"
	"time"

	"corneltiller.dev/corneltiller/internal/state/ledger"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// Settings are the fixed properties of a Dispatcher.
type Settings struct {
	// Home identifies the agent's process as the issuer of tickets.
	Home ledger.Home
	// Service is the service of the agent and its peers.
	Service register.ServiceID
	// Slots is the number of requests that the backend server runs at once.
	Slots int
	// Limits bound the memory of the ledger.
	Limits ledger.Limits
	// Seed, together with the incarnation of Home, seeds the random selection of
	// peers.
	Seed uint64
}

// Dispatcher schedules the requests of one agent. It is not safe for concurrent
// use.
type Dispatcher struct {
	settings Settings
	random   *rand.Rand
	ledger   *ledger.Ledger
	archive  *ledger.Archive
	jobs     map[RequestID]*job
	// ticketOwners holds, by ticket sequence, the job that decides the outcome of
	// each open ticket of this home.
	ticketOwners map[uint64]*job
	queues       [classCount]*fairQueue
	// urgentStarts is the number of urgent requests started since the last
	// deferrable one.
	urgentStarts int
	// running is the number of executions on the agent's own backend server.
	running     int
	limiter     *Limiter
	breaker     Breaker
	retryBudget RetryBudget
	meter       meter
	overload    overloadDetector
	timers      timerHeap
	peers       peerTable
	peerSlots
	drain
	// lastEvent is the time of the last event.
	lastEvent time.Time
	actions   []Action
}

// NewDispatcher returns the Dispatcher of an agent that starts now.
func NewDispatcher(now time.Time, se Settings) *Dispatcher {
	di := &Dispatcher{
		settings:     se,
		random:       rand.New(rand.NewPCG(se.Seed, se.Home.Incarnation)),
		ledger:       ledger.New(se.Home, se.Service, se.Limits),
		archive:      ledger.NewArchive(),
		jobs:         make(map[RequestID]*job),
		ticketOwners: make(map[uint64]*job),
		limiter:      NewLimiter(now, se.Slots),
		meter:        newMeter(now, se.Slots),
		overload:     overloadDetector{lastBelowThreshold: now},
	}
	for cl := range di.queues {
		di.queues[cl] = newFairQueue()
	}
	return di
}

// Handle takes an event that happened now and returns the actions to carry out,
// in their order. The slice is valid until the next call.
func (di *Dispatcher) Handle(now time.Time, ev Event) []Action {
	di.actions = di.actions[:0]
	di.lastEvent = now
	di.meter.advance(now, di.running)
	di.handleEvent(now, ev)
	di.expireTimers(now)
	di.fillSlots(now)
	di.sendProbes(now)
	di.advanceStop(now)
	di.meter.advance(now, di.running)
	return di.actions
}

// handleEvent passes the event to its handler.
func (di *Dispatcher) handleEvent(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case Arrived:
		di.arrived(now, ev.Request)
	case Executed:
		di.executed(now, ev)
	case Abandoned:
		di.abandoned(now, ev.ID)
	case Relayed:
		di.relayed(now, ev)
	case RelayFailed:
		di.relayFailed(now, ev.ID)
	case Delegated:
		di.delegated(now, ev)
	case DelegateFailed:
		di.delegateFailed(now, ev)
	case Probed:
		di.probed(now, ev)
	case Granted:
		di.granted(now, ev)
	case Declined:
		di.releaseReservation(ev.Peer)
	case PeersChanged:
		di.peers.replace(ev.Peers)
	case LoadReported:
		di.meter.report(now, ev)
	case StopRequested:
		di.requestStop(now, ev.Deadline)
	case HandedOver:
		di.handedOver(now, ev)
	case SnapshotReceived:
		di.adoptSnapshot(now, ev.Snapshot)
	case TimerFired:
	}
}

// NextWake returns when TimerFired is due, or the zero time if no timer is set.
func (di *Dispatcher) NextWake() time.Time {
	next := earliestAfter(di.lastEvent, di.timers.next(), di.peerSlots.next(), di.drain.next(di.lastEvent))
	if di.queued() > 0 {
		next = earliest(next, earliestAfter(di.lastEvent, di.breaker.TrialTime(), di.limiter.SlowStartEnd()))
	}
	return next
}

// Load returns the utilisation of the backend server in thousandths.
func (di *Dispatcher) Load() int {
	return di.meter.load()
}

// InProgress reports whether the request has no outcome yet, or an execution of
// it may still end.
func (di *Dispatcher) InProgress(id RequestID) bool {
	_, ok := di.jobs[id]
	return ok
}

// Overloaded reports whether the expected wait of deferrable requests has been
// too long for a while. They are then queued only if it is short.
func (di *Dispatcher) Overloaded(now time.Time) bool {
	return di.overload.overloaded(now)
}

// queued returns the number of queued requests.
func (di *Dispatcher) queued() int {
	return di.queues[ClassUrgent].length + di.queues[ClassDeferrable].length
}

// emit appends an action.
func (di *Dispatcher) emit(ac Action) {
	di.actions = append(di.actions, ac)
}

// expireTimers handles the timers, probes and reservations that are due.
func (di *Dispatcher) expireTimers(now time.Time) {
	for {
		id, ok := di.timers.popDue(now)
		if !ok {
			break
		}
		if jo, found := di.jobs[id]; found {
			di.jobTimedOut(now, jo)
		}
	}
	di.peerSlots.expire(now)
}

// earliest returns the earliest of the times that are not zero, or the zero
// time.
func earliest(times ...time.Time) time.Time {
	var first time.Time
	for _, ti := range times {
		if !ti.IsZero() && (first.IsZero() || ti.Before(first)) {
			first = ti
		}
	}
	return first
}

// earliestAfter returns the earliest of the times that come after latest, or the
// zero time.
func earliestAfter(latest time.Time, times ...time.Time) time.Time {
	var first time.Time
	for _, ti := range times {
		if ti.After(latest) {
			first = earliest(first, ti)
		}
	}
	return first
}
