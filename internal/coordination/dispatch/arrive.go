package dispatch

import (
	"time"

	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// arrive takes a request.
func (de *Desk) arrive(now time.Time, re Request) {
	jo := &job{Request: re, arrived: now}
	de.jobs[re.ID] = jo
	if re.Origin == OriginCaller {
		jo.fresh = de.ledger.Issue(now)
		de.budget.Earn()
	}
	if re.Repeatable || re.Origin == OriginDelegate {
		de.admit(now, jo)
		return
	}
	de.present(now, jo)
}

// present checks the ticket of an unrepeatable request.
func (de *Desk) present(now time.Time, jo *job) {
	if !jo.Ticket.Valid() {
		de.settle(jo, ledger.NotRun, ReasonTicketRequired, ledger.Answer{})
		return
	}
	op := de.ledger.Open(now, jo.Ticket, jo.Digest)
	if op.Verdict == ledger.VerdictOtherHome {
		op = de.archive.Lookup(jo.Ticket, jo.Digest)
	}
	switch op.Verdict {
	case ledger.VerdictRun:
		jo.ledgered = true
		de.leaders[jo.Ticket.Sequence] = jo
		de.admit(now, jo)
	case ledger.VerdictWait:
		de.follow(now, jo)
	case ledger.VerdictReplay:
		de.settle(jo, ledger.Answered, ReasonNone, op.Answer)
	case ledger.VerdictNotRun:
		de.settle(jo, ledger.NotRun, de.refusal(), ledger.Answer{})
	case ledger.VerdictMismatch:
		de.settle(jo, ledger.NotRun, ReasonTicketMismatch, ledger.Answer{})
	case ledger.VerdictUnknown:
		de.settle(jo, ledger.Unknown, ReasonTicketSpent, ledger.Answer{})
	default:
		de.relay(now, jo)
	}
}

// refusal returns why a ticket is refused as not run.
func (de *Desk) refusal() Reason {
	if de.ledger.Frozen() {
		return ReasonDraining
	}
	return ReasonTicketRefused
}

// follow lets a repeat await the job that holds its ticket.
func (de *Desk) follow(_ time.Time, jo *job) {
	leader := de.leaders[jo.Ticket.Sequence]
	jo.stage = stageFollowing
	leader.followers = append(leader.followers, jo)
	de.timers.add(jo.Deadline, jo.ID)
}

// relay sends a request with the ticket of another home there.
func (de *Desk) relay(now time.Time, jo *job) {
	if jo.Origin != OriginCaller {
		jo.stage = stageSettled
		de.respond(jo, Respond{Outcome: ledger.Unknown, Reason: ReasonHomeLost})
		de.dismiss(jo)
		return
	}
	jo.stage = stageRelayed
	jo.homes = de.peers.holders(jo.Ticket.Home)
	de.timers.add(jo.Deadline, jo.ID)
	de.relayNext(now, jo)
}

// relayNext asks the next agent that may hold the ledger.
func (de *Desk) relayNext(_ time.Time, jo *job) {
	if len(jo.homes) == 0 {
		de.settle(jo, ledger.Unknown, ReasonHomeLost, ledger.Answer{})
		return
	}
	ho := jo.homes[0]
	jo.homes = jo.homes[1:]
	de.emit(Relay{ID: jo.ID, Peer: ho, Deadline: jo.Deadline})
}

// relayed takes the response of an agent that was asked.
func (de *Desk) relayed(now time.Time, ev Relayed) {
	jo, ok := de.jobs[ev.ID]
	if !ok || jo.stage != stageRelayed {
		return
	}
	if !ev.Held {
		de.relayNext(now, jo)
		return
	}
	de.settle(jo, ev.Outcome, ev.Reason, ev.Answer)
}

// relayFailed goes on with the next agent after one did not respond.
func (de *Desk) relayFailed(now time.Time, id RequestID) {
	if jo, ok := de.jobs[id]; ok && jo.stage == stageRelayed {
		de.relayNext(now, jo)
	}
}
