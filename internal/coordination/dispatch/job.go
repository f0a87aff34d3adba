package dispatch

import (
	"container/heap"
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// stage is the progress of a job.
type stage uint8

const (
	// stageQueued waits for a slot here or at a peer.
	stageQueued stage = iota + 1
	// stageDequeued was taken from the queue and is about to be started or
	// delegated.
	stageDequeued
	// stageRunning was handed to the agent's own backend server or to a peer.
	stageRunning
	// stageRelayed awaits the response of the ticket's home or of a successor.
	stageRelayed
	// stageDuplicate awaits the outcome of the job that owns the same ticket.
	stageDuplicate
	// stageSettled has its outcome, but an execution of it may still end.
	stageSettled
)

// delegationGrace is how long after the deadline the response of a peer to a
// delegated unrepeatable request is still awaited.
const delegationGrace = 5 * time.Second

// job is a request in progress.
type job struct {
	Request
	stage   stage
	arrived time.Time
	started time.Time
	// queueDeadline is when the job is refused if it is still queued.
	queueDeadline time.Time
	// nextTicket is the ticket that the response gives to the caller for its next
	// request.
	nextTicket ledger.Ticket
	// ownsTicket is set while the job decides the outcome of an open ticket of
	// this home.
	ownsTicket bool
	// responded is set once the outcome was sent, or once nobody awaits it.
	responded bool
	// local is set while the agent's own backend server runs the job.
	local bool
	// remote is the peer that runs the job, if any.
	remote netip.AddrPort
	// peersOnly is set after an execution here, if there are peers that take new
	// work. The job is then retried at a peer only.
	peersOnly bool
	// mayHaveRun is set if an earlier attempt may have run.
	mayHaveRun bool
	// attempts is the number of attempts that ended without an answer.
	attempts int
	// duplicates are jobs with the same ticket that await this one's outcome.
	duplicates []*job
	// ticketHolders are the agents still to be asked for the ticket's ledger.
	ticketHolders []netip.AddrPort
}

// busy reports whether the agent's own backend server or a peer may still be
// running the job.
func (jo *job) busy() bool {
	return jo.local || jo.remote.IsValid()
}

// delegable reports whether a peer may run the job. A request that was
// delegated here is not delegated again.
func (jo *job) delegable() bool {
	return jo.Origin != OriginDelegate
}

// runnable reports whether the agent's own backend server may run the job.
func (jo *job) runnable() bool {
	return !jo.peersOnly
}

// settle ends the job with the outcome and responds to its sender and to those
// of its duplicates.
func (di *Dispatcher) settle(jo *job, outcome ledger.Outcome, reason Reason, answer ledger.Answer) {
	if jo.stage == stageQueued {
		di.queues[jo.Class].countRemoved(jo)
	}
	if jo.ownsTicket {
		di.closeTicket(jo, outcome, answer)
	}
	jo.stage = stageSettled
	di.respond(jo, Respond{Outcome: outcome, Reason: reason, Held: true, Answer: answer})
	for _, du := range jo.duplicates {
		du.stage = stageSettled
		di.respond(du, Respond{Outcome: outcome, Reason: reason, Held: true, Answer: answer})
		di.forgetIfDone(du)
	}
	jo.duplicates = nil
	di.forgetIfDone(jo)
}

// closeTicket makes the outcome of the job's ticket final in the ledger.
func (di *Dispatcher) closeTicket(jo *job, outcome ledger.Outcome, answer ledger.Answer) {
	switch outcome {
	case ledger.Answered:
		di.ledger.Record(jo.Ticket.Sequence, answer)
	case ledger.NotRun:
		di.ledger.MarkNotRun(jo.Ticket.Sequence)
	default:
		di.ledger.MarkUnknown(jo.Ticket.Sequence)
	}
	jo.ownsTicket = false
	di.drain.changes++
	di.drain.ledgerChanges++
	delete(di.ticketOwners, jo.Ticket.Sequence)
}

// respond sends the outcome to the request's sender unless that was done or
// nobody awaits it.
func (di *Dispatcher) respond(jo *job, re Respond) {
	if jo.responded {
		return
	}
	jo.responded = true
	re.ID = jo.ID
	re.NextTicket = jo.nextTicket
	di.emit(re)
}

// forgetIfDone removes a settled job once none of its executions is in
// progress.
func (di *Dispatcher) forgetIfDone(jo *job) {
	if jo.stage == stageSettled && !jo.busy() {
		delete(di.jobs, jo.ID)
	}
}

// abandoned handles a request whose answer nobody awaits any longer. A queued
// request is settled as NotRun, unless duplicates of it wait. An unrepeatable
// request that was started or delegated goes on, so that a repeat finds its
// answer.
func (di *Dispatcher) abandoned(now time.Time, id RequestID) {
	jo, ok := di.jobs[id]
	if !ok || jo.responded {
		return
	}
	jo.responded = true
	switch jo.stage {
	case stageDuplicate, stageRelayed:
		jo.stage = stageSettled
		di.forgetIfDone(jo)
	case stageQueued:
		if len(jo.duplicates) == 0 {
			di.settle(jo, ledger.NotRun, ReasonCanceled, ledger.Answer{})
		}
	case stageRunning:
		di.cancelExecutions(now, jo)
	}
}

// cancelExecutions cancels the executions of a repeatable job and settles it.
// An unrepeatable job goes on.
func (di *Dispatcher) cancelExecutions(_ time.Time, jo *job) {
	if !jo.Repeatable {
		return
	}
	if jo.local {
		di.emit(Cancel{ID: jo.ID})
	}
	if jo.remote.IsValid() {
		di.emit(Withdraw{ID: jo.ID, Peer: jo.remote})
		jo.remote = netip.AddrPort{}
	}
	di.settle(jo, ledger.Unknown, ReasonCanceled, ledger.Answer{})
}

// jobTimedOut handles a job whose queue deadline or deadline may have passed.
func (di *Dispatcher) jobTimedOut(now time.Time, jo *job) {
	late := !now.Before(jo.Deadline)
	switch jo.stage {
	case stageQueued:
		if late {
			di.giveUp(jo, ReasonDeadline)
		} else if !now.Before(jo.queueDeadline) {
			di.overload.recordRefusal(now)
			di.giveUp(jo, ReasonOverloaded)
		}
	case stageDuplicate, stageRelayed:
		if late {
			jo.stage = stageSettled
			di.respond(jo, Respond{Outcome: ledger.Unknown, Reason: ReasonDeadline})
			di.forgetIfDone(jo)
		}
	case stageRunning:
		if late {
			di.deadlinePassed(now, jo)
		}
	}
}

// deadlinePassed handles a running job whose deadline passed. A repeatable job
// is cancelled. An unrepeatable one stays in progress, so that repeats find its
// answer. On the agent's own backend server it does so until Executed is
// reported; at a peer, which may have crashed, for delegationGrace at most.
func (di *Dispatcher) deadlinePassed(now time.Time, jo *job) {
	di.respond(jo, Respond{Outcome: ledger.Unknown, Reason: ReasonDeadline, Held: true})
	di.cancelExecutions(now, jo)
	if !jo.remote.IsValid() {
		return
	}
	end := jo.Deadline.Add(delegationGrace)
	if now.Before(end) {
		di.timers.add(end, jo.ID)
		return
	}
	jo.remote = netip.AddrPort{}
	di.settle(jo, ledger.Unknown, ReasonPeerLost, ledger.Answer{})
}

// giveUp settles a job that will not be started again: as NotRun, or as Unknown
// if an earlier attempt may have run.
func (di *Dispatcher) giveUp(jo *job, reason Reason) {
	outcome := ledger.NotRun
	if jo.mayHaveRun {
		outcome = ledger.Unknown
	}
	di.settle(jo, outcome, reason, ledger.Answer{})
}

// timer is a time at which jobTimedOut is called for a job.
type timer struct {
	at time.Time
	id RequestID
}

// timerHeap holds the timers in a heap, the earliest first.
type timerHeap struct{ items timerSlice }

// add sets a timer for the job. Earlier timers of the job stay.
func (th *timerHeap) add(at time.Time, id RequestID) {
	heap.Push(&th.items, timer{at: at, id: id})
}

// next returns the time of the earliest timer, or the zero time if there is
// none.
func (th *timerHeap) next() time.Time {
	if len(th.items) == 0 {
		return time.Time{}
	}
	return th.items[0].at
}

// popDue removes the earliest timer if its time has come, and returns its job.
func (th *timerHeap) popDue(now time.Time) (RequestID, bool) {
	if len(th.items) == 0 || now.Before(th.items[0].at) {
		return 0, false
	}
	return heap.Pop(&th.items).(timer).id, true
}

// timerSlice implements heap.Interface.
type timerSlice []timer

// Len returns the number of timers.
func (ti timerSlice) Len() int { return len(ti) }

// Less orders timers by their time.
func (ti timerSlice) Less(i, j int) bool { return ti[i].at.Before(ti[j].at) }

// Swap exchanges two timers.
func (ti timerSlice) Swap(i, j int) { ti[i], ti[j] = ti[j], ti[i] }

// Push appends a timer.
func (ti *timerSlice) Push(x any) { *ti = append(*ti, x.(timer)) }

// Pop removes the last timer.
func (ti *timerSlice) Pop() any {
	last := len(*ti) - 1
	it := (*ti)[last]
	*ti = (*ti)[:last]
	return it
}
