package dispatch

import (
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// pump fills the free slots of the backend server, first with the requests
// that wait here, then by granting slots to the peers that asked for one.
func (de *Desk) pump(now time.Time) {
	if de.wait(now, ClassDeferrable) <= calmBound {
		de.shedder.calm = now
	}
	for de.free(now) > 0 {
		if !de.fill(now) {
			return
		}
	}
}

// free returns the number of slots that may be used now.
func (de *Desk) free(now time.Time) int {
	if !de.breaker.Allows(now, de.running+len(de.holds)) {
		return 0
	}
	free := de.limiter.Limit(now) - de.running - len(de.holds)
	if de.breaker.Open() {
		return min(free, 1)
	}
	return free
}

// fill uses one free slot. It reports false if nothing wants it.
func (de *Desk) fill(now time.Time) bool {
	order := [...]Class{ClassUrgent, ClassDeferrable}
	if de.credit >= creditLimit {
		order = [...]Class{ClassDeferrable, ClassUrgent}
	}
	for _, cl := range order {
		if jo := de.queues[cl].next((*job).runnable); jo != nil {
			de.charge(cl)
			de.start(now, jo)
			return true
		}
		if de.grant(now, cl) {
			return true
		}
	}
	return false
}

// charge accounts for the start of a request of the class.
func (de *Desk) charge(cl Class) {
	if cl == ClassDeferrable {
		de.credit = 0
		return
	}
	de.credit++
}

// start hands a request to the backend server.
func (de *Desk) start(now time.Time, jo *job) {
	if jo.ledgered && !de.ledger.Start(jo.Ticket.Sequence) {
		de.settle(jo, ledger.Unknown, ReasonTicketSpent, ledger.Answer{})
		return
	}
	jo.stage = stageRunning
	jo.started = now
	jo.local = true
	de.running++
	de.emit(Execute{
		ID:       jo.ID,
		Deadline: jo.Deadline,
		Fresh:    jo.fresh,
		Buffer:   !jo.Repeatable || jo.Origin != OriginCaller,
	})
}

// executed takes the end of an execution.
func (de *Desk) executed(now time.Time, ev Executed) {
	jo, ok := de.jobs[ev.ID]
	if !ok || !jo.local {
		return
	}
	jo.local = false
	de.running--
	de.judgeServer(now, jo, ev.Result)
	jo.away = len(de.peers.takers) > 0
	if jo.stage != stageRunning {
		de.dismiss(jo)
		return
	}
	switch ev.Result {
	case ResultWhole:
		de.settle(jo, ledger.Answered, ReasonNone, ev.Answer)
	case ResultUnreached:
		de.takeBack(now, jo, ReasonServerFailed)
	case ResultRefused:
		de.takeBack(now, jo, ReasonServerRefused)
	case ResultTruncated:
		de.settle(jo, ledger.Unknown, ReasonServerFailed, ledger.Answer{})
	default:
		de.lose(now, jo, failureReason(now, jo))
	}
}

// failureReason tells a server that failed from one whose run the deadline
// ended, whichever of the two the core hears of first.
func failureReason(now time.Time, jo *job) Reason {
	if !now.Before(jo.Deadline) {
		return ReasonDeadline
	}
	return ReasonServerFailed
}

// judgeServer tells the breaker and the limiter how the backend server did.
func (de *Desk) judgeServer(now time.Time, jo *job, re Result) {
	if jo.stage == stageSettled && re != ResultWhole {
		return
	}
	if re == ResultWhole {
		de.limiter.Observe(now, now.Sub(jo.started))
		de.meter.succeeded(now)
	}
	if de.breaker.Observe(now, re != ResultWhole) {
		de.limiter.Restart(now)
	}
}

// takeBack handles an attempt that provably did not run.
func (de *Desk) takeBack(now time.Time, jo *job, reason Reason) {
	if jo.ledgered {
		de.ledger.ReturnToWaiting(jo.Ticket.Sequence)
	}
	de.retry(now, jo, true, reason)
}

// lose handles an attempt that may have run.
func (de *Desk) lose(now time.Time, jo *job, reason Reason) {
	jo.mayHaveRun = true
	if !jo.Repeatable {
		de.settle(jo, ledger.Unknown, reason, ledger.Answer{})
		return
	}
	de.retry(now, jo, false, reason)
}

// delegate hands a request to the peer that granted a slot.
func (de *Desk) delegate(now time.Time, jo *job, peer netip.AddrPort) {
	if jo.ledgered && !de.ledger.Start(jo.Ticket.Sequence) {
		de.settle(jo, ledger.Unknown, ReasonTicketSpent, ledger.Answer{})
		return
	}
	jo.stage = stageRunning
	jo.started = now
	jo.remote = peer
	de.emit(Delegate{ID: jo.ID, Peer: peer, Deadline: jo.Deadline})
}

// delegated takes the response of the peer that was to run a request.
func (de *Desk) delegated(now time.Time, ev Delegated) {
	jo, ok := de.recall(ev.ID, ev.Peer)
	if !ok {
		return
	}
	switch ev.Outcome {
	case ledger.Answered:
		de.settle(jo, ledger.Answered, ReasonNone, ev.Answer)
	case ledger.NotRun:
		de.takeBack(now, jo, ev.Reason)
	default:
		de.lose(now, jo, ev.Reason)
	}
}

// delegateFailed handles a peer that did not respond.
func (de *Desk) delegateFailed(now time.Time, ev DelegateFailed) {
	jo, ok := de.recall(ev.ID, ev.Peer)
	if !ok {
		return
	}
	if ev.Sent {
		de.lose(now, jo, ReasonPeerLost)
		return
	}
	de.takeBack(now, jo, ReasonPeerLost)
}

// recall ends the peer's part in the job. It reports false if the job no
// longer awaits the peer.
func (de *Desk) recall(id RequestID, peer netip.AddrPort) (*job, bool) {
	jo, ok := de.jobs[id]
	if !ok || jo.remote != peer {
		return nil, false
	}
	jo.remote = netip.AddrPort{}
	if jo.stage != stageRunning {
		de.dismiss(jo)
		return nil, false
	}
	return jo, true
}
