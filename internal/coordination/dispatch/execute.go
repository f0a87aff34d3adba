package dispatch

import (
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// fillSlots uses the free slots of the backend server. In each class, queued
// requests go before the probes of peers.
func (di *Dispatcher) fillSlots(now time.Time) {
	if di.expectedWait(now, ClassDeferrable) <= overloadThreshold {
		di.overload.lastBelowThreshold = now
	}
	for di.freeSlots(now) > 0 {
		if !di.fillSlot(now) {
			return
		}
	}
}

// freeSlots returns the number of slots that may be used now. It is at most 1
// while the breaker is open.
func (di *Dispatcher) freeSlots(now time.Time) int {
	if !di.breaker.Allows(now, di.running+len(di.reservations)) {
		return 0
	}
	free := di.limiter.Limit(now) - di.running - len(di.reservations)
	if di.breaker.IsOpen() {
		return min(free, 1)
	}
	return free
}

// fillSlot uses one free slot. It reports false if no queued request and no
// peer needs it.
func (di *Dispatcher) fillSlot(now time.Time) bool {
	order := [...]Class{ClassUrgent, ClassDeferrable}
	if di.urgentStarts >= urgentPerDeferrable {
		order = [...]Class{ClassDeferrable, ClassUrgent}
	}
	for _, cl := range order {
		if jo := di.queues[cl].next((*job).runnable); jo != nil {
			di.countStart(cl)
			di.start(now, jo)
			return true
		}
		if di.grantSlot(now, cl) {
			return true
		}
	}
	return false
}

// countStart counts the urgent requests started since the last deferrable one.
// Slots granted to peers are not counted.
func (di *Dispatcher) countStart(cl Class) {
	if cl == ClassDeferrable {
		di.urgentStarts = 0
		return
	}
	di.urgentStarts++
}

// start hands a request to the backend server.
func (di *Dispatcher) start(now time.Time, jo *job) {
	if jo.ownsTicket && !di.ledger.Start(jo.Ticket.Sequence) {
		di.settle(jo, ledger.Unknown, ReasonTicketSpent, ledger.Answer{})
		return
	}
	jo.stage = stageRunning
	jo.started = now
	jo.local = true
	di.running++
	di.emit(Execute{
		ID:         jo.ID,
		Deadline:   jo.Deadline,
		NextTicket: jo.nextTicket,
		Buffer:     !jo.Repeatable || jo.Origin != OriginCaller,
	})
}

// executed handles the end of an execution.
func (di *Dispatcher) executed(now time.Time, ev Executed) {
	jo, ok := di.jobs[ev.ID]
	if !ok || !jo.local {
		return
	}
	jo.local = false
	di.running--
	di.recordResult(now, jo, ev.Result)
	jo.peersOnly = len(di.peers.accepting) > 0
	if jo.stage != stageRunning {
		di.forgetIfDone(jo)
		return
	}
	switch ev.Result {
	case ResultComplete:
		di.settle(jo, ledger.Answered, ReasonNone, ev.Answer)
	case ResultNotSent:
		di.attemptNotRun(now, jo, ReasonServerFailed)
	case ResultRefused:
		di.attemptNotRun(now, jo, ReasonServerRefused)
	case ResultTruncated:
		di.settle(jo, ledger.Unknown, ReasonServerFailed, ledger.Answer{})
	default:
		di.attemptMayHaveRun(now, jo, failureReason(now, jo))
	}
}

// failureReason distinguishes a backend server that failed from an execution that
// the deadline ended, no matter whether the result or the timer is reported first.
func failureReason(now time.Time, jo *job) Reason {
	if !now.Before(jo.Deadline) {
		return ReasonDeadline
	}
	return ReasonServerFailed
}

// recordResult reports a result to the breaker, the limiter and the meter. If the
// job was settled before, only a complete response counts: any other result may
// come from cancelling the execution.
func (di *Dispatcher) recordResult(now time.Time, jo *job, re Result) {
	if jo.stage == stageSettled && re != ResultComplete {
		return
	}
	if re == ResultComplete {
		di.limiter.Observe(now, now.Sub(jo.started))
		di.meter.succeeded(now)
	}
	if di.breaker.Observe(now, re != ResultComplete) {
		di.limiter.Restart(now)
	}
}

// attemptNotRun handles an attempt that provably did not run.
func (di *Dispatcher) attemptNotRun(now time.Time, jo *job, reason Reason) {
	if jo.ownsTicket {
		di.ledger.ReturnToWaiting(jo.Ticket.Sequence)
	}
	di.retry(now, jo, true, reason)
}

// attemptMayHaveRun handles an attempt that may have run. Only a repeatable
// request may be retried then.
func (di *Dispatcher) attemptMayHaveRun(now time.Time, jo *job, reason Reason) {
	jo.mayHaveRun = true
	if !jo.Repeatable {
		di.settle(jo, ledger.Unknown, reason, ledger.Answer{})
		return
	}
	di.retry(now, jo, false, reason)
}

// delegate hands a request to the peer that granted a slot.
func (di *Dispatcher) delegate(now time.Time, jo *job, peer netip.AddrPort) {
	if jo.ownsTicket && !di.ledger.Start(jo.Ticket.Sequence) {
		di.settle(jo, ledger.Unknown, ReasonTicketSpent, ledger.Answer{})
		return
	}
	jo.stage = stageRunning
	jo.started = now
	jo.remote = peer
	di.emit(Delegate{ID: jo.ID, Peer: peer, Deadline: jo.Deadline})
}

// delegated handles the response of the peer that a request was delegated to.
func (di *Dispatcher) delegated(now time.Time, ev Delegated) {
	jo, ok := di.delegationEnded(ev.ID, ev.Peer)
	if !ok {
		return
	}
	switch ev.Outcome {
	case ledger.Answered:
		di.settle(jo, ledger.Answered, ReasonNone, ev.Answer)
	case ledger.NotRun:
		di.attemptNotRun(now, jo, ev.Reason)
	default:
		di.attemptMayHaveRun(now, jo, ev.Reason)
	}
}

// delegateFailed handles a delegation that brought no response.
func (di *Dispatcher) delegateFailed(now time.Time, ev DelegateFailed) {
	jo, ok := di.delegationEnded(ev.ID, ev.Peer)
	if !ok {
		return
	}
	if ev.Sent {
		di.attemptMayHaveRun(now, jo, ReasonPeerLost)
		return
	}
	di.attemptNotRun(now, jo, ReasonPeerLost)
}

// delegationEnded records that the peer no longer runs the job. It reports
// false if the job does not await that peer, or is settled already.
func (di *Dispatcher) delegationEnded(id RequestID, peer netip.AddrPort) (*job, bool) {
	jo, ok := di.jobs[id]
	if !ok || jo.remote != peer {
		return nil, false
	}
	jo.remote = netip.AddrPort{}
	if jo.stage != stageRunning {
		di.forgetIfDone(jo)
		return nil, false
	}
	return jo, true
}
