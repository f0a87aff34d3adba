package dispatch

import (
	"time"

	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// arrived admits a new request, or checks its ticket first if it needs one. Each
// request from a caller is assigned a ticket, which the response carries for the
// caller's next request.
func (di *Dispatcher) arrived(now time.Time, re Request) {
	jo := &job{Request: re, arrived: now}
	di.jobs[re.ID] = jo
	if re.Origin == OriginCaller {
		jo.nextTicket = di.ledger.Issue(now)
		di.retryBudget.Earn()
	}
	if re.Repeatable || re.Origin == OriginDelegate {
		di.admit(now, jo)
		return
	}
	di.checkTicket(now, jo)
}

// checkTicket looks up the ticket of an unrepeatable request and admits the
// request, attaches it to an earlier copy, answers it, refuses it or relays it.
func (di *Dispatcher) checkTicket(now time.Time, jo *job) {
	if !jo.Ticket.Valid() {
		di.settle(jo, ledger.NotRun, ReasonTicketRequired, ledger.Answer{})
		return
	}
	op := di.ledger.Open(now, jo.Ticket, jo.Digest)
	if op.Verdict == ledger.VerdictOtherHome {
		op = di.archive.Lookup(jo.Ticket, jo.Digest)
	}
	switch op.Verdict {
	case ledger.VerdictRun:
		jo.ownsTicket = true
		di.ticketOwners[jo.Ticket.Sequence] = jo
		di.admit(now, jo)
	case ledger.VerdictWait:
		di.awaitTicketOwner(now, jo)
	case ledger.VerdictReplay:
		di.settle(jo, ledger.Answered, ReasonNone, op.Answer)
	case ledger.VerdictNotRun:
		di.settle(jo, ledger.NotRun, di.refusalReason(), ledger.Answer{})
	case ledger.VerdictMismatch:
		di.settle(jo, ledger.NotRun, ReasonTicketMismatch, ledger.Answer{})
	case ledger.VerdictUnknown:
		di.settle(jo, ledger.Unknown, ReasonTicketSpent, ledger.Answer{})
	default:
		di.relay(now, jo)
	}
}

// refusalReason returns why a ticket is refused as not run.
func (di *Dispatcher) refusalReason() Reason {
	if di.ledger.Frozen() {
		return ReasonDraining
	}
	return ReasonTicketRefused
}

// awaitTicketOwner lets a duplicate request wait for the outcome of the job
// that owns its ticket.
func (di *Dispatcher) awaitTicketOwner(_ time.Time, jo *job) {
	owner := di.ticketOwners[jo.Ticket.Sequence]
	jo.stage = stageDuplicate
	owner.duplicates = append(owner.duplicates, jo)
	di.timers.add(jo.Deadline, jo.ID)
}

// relay sends a request of a caller to the home of its ticket. A request that
// was relayed here already is not relayed again: this agent responds that it
// does not hold the ledger.
func (di *Dispatcher) relay(now time.Time, jo *job) {
	if jo.Origin != OriginCaller {
		jo.stage = stageSettled
		di.respond(jo, Respond{Outcome: ledger.Unknown, Reason: ReasonHomeLost})
		di.forgetIfDone(jo)
		return
	}
	jo.stage = stageRelayed
	jo.ticketHolders = di.peers.holders(jo.Ticket.Home)
	di.timers.add(jo.Deadline, jo.ID)
	di.relayNext(now, jo)
}

// relayNext relays the request to the next agent that may hold the ledger.
func (di *Dispatcher) relayNext(_ time.Time, jo *job) {
	if len(jo.ticketHolders) == 0 {
		di.settle(jo, ledger.Unknown, ReasonHomeLost, ledger.Answer{})
		return
	}
	ho := jo.ticketHolders[0]
	jo.ticketHolders = jo.ticketHolders[1:]
	di.emit(Relay{ID: jo.ID, Peer: ho, Deadline: jo.Deadline})
}

// relayed handles the response of an agent that a request was relayed to.
func (di *Dispatcher) relayed(now time.Time, ev Relayed) {
	jo, ok := di.jobs[ev.ID]
	if !ok || jo.stage != stageRelayed {
		return
	}
	if !ev.Held {
		di.relayNext(now, jo)
		return
	}
	di.settle(jo, ev.Outcome, ev.Reason, ev.Answer)
}

// relayFailed tries the next agent after one did not respond.
func (di *Dispatcher) relayFailed(now time.Time, id RequestID) {
	if jo, ok := di.jobs[id]; ok && jo.stage == stageRelayed {
		di.relayNext(now, jo)
	}
}
