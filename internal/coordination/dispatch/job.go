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
	// stageChosen just left the queue.
	stageChosen
	// stageRunning was handed to the own backend server or to a peer.
	stageRunning
	// stageRelayed awaits the ticket's home.
	stageRelayed
	// stageFollowing awaits the job with the same ticket.
	stageFollowing
	// stageSettled has its outcome, while an execution may still end.
	stageSettled
)

// peerGrace is how long past the deadline a peer's answer is awaited.
const peerGrace = 5 * time.Second

// job is a request that this agent has not finished with.
type job struct {
	Request
	stage   stage
	arrived time.Time
	started time.Time
	// bound is when the job must have left the queue.
	bound time.Time
	fresh ledger.Ticket
	// ledgered jobs decide about an open ticket of this home.
	ledgered bool
	// responded is set once the request's sender has its outcome.
	responded bool
	// local is set while the own backend server runs the job.
	local bool
	// remote is the peer that runs the job, if any.
	remote netip.AddrPort
	// away keeps the job from running here again.
	away bool
	// mayHaveRun is set if an earlier attempt may have run.
	mayHaveRun bool
	attempts   int
	followers  []*job
	// homes are the agents still to be asked for the ticket's ledger.
	homes []netip.AddrPort
}

// busy reports whether an execution of the job may still end.
func (jo *job) busy() bool {
	return jo.local || jo.remote.IsValid()
}

// movable reports whether a peer may run the job.
func (jo *job) movable() bool {
	return jo.Origin != OriginDelegate
}

// runnable reports whether the own backend server may run the job.
func (jo *job) runnable() bool {
	return !jo.away
}

// settle ends the job with the outcome and tells everyone who awaits it.
func (de *Desk) settle(jo *job, outcome ledger.Outcome, reason Reason, answer ledger.Answer) {
	if jo.stage == stageQueued {
		de.queues[jo.Class].forget(jo)
	}
	if jo.ledgered {
		de.conclude(jo, outcome, answer)
	}
	jo.stage = stageSettled
	de.respond(jo, Respond{Outcome: outcome, Reason: reason, Held: true, Answer: answer})
	for _, fo := range jo.followers {
		fo.stage = stageSettled
		de.respond(fo, Respond{Outcome: outcome, Reason: reason, Held: true, Answer: answer})
		de.dismiss(fo)
	}
	jo.followers = nil
	de.dismiss(jo)
}

// conclude makes the outcome final in the ledger.
func (de *Desk) conclude(jo *job, outcome ledger.Outcome, answer ledger.Answer) {
	switch outcome {
	case ledger.Answered:
		de.ledger.Record(jo.Ticket.Sequence, answer)
	case ledger.NotRun:
		de.ledger.MarkNotRun(jo.Ticket.Sequence)
	default:
		de.ledger.MarkUnknown(jo.Ticket.Sequence)
	}
	jo.ledgered = false
	de.drain.content++
	de.drain.number++
	delete(de.leaders, jo.Ticket.Sequence)
}

// respond tells the request's sender its outcome, once.
func (de *Desk) respond(jo *job, re Respond) {
	if jo.responded {
		return
	}
	jo.responded = true
	re.ID = jo.ID
	re.Fresh = jo.fresh
	de.emit(re)
}

// dismiss forgets a settled job once none of its executions can end any more.
func (de *Desk) dismiss(jo *job) {
	if jo.stage == stageSettled && !jo.busy() {
		delete(de.jobs, jo.ID)
	}
}

// vanish handles a caller that went away. An unrepeatable request that was
// handed over goes on, so that a repeat finds its answer.
func (de *Desk) vanish(now time.Time, id RequestID) {
	jo, ok := de.jobs[id]
	if !ok || jo.responded {
		return
	}
	jo.responded = true
	switch jo.stage {
	case stageFollowing, stageRelayed:
		jo.stage = stageSettled
		de.dismiss(jo)
	case stageQueued:
		if len(jo.followers) == 0 {
			de.settle(jo, ledger.NotRun, ReasonCanceled, ledger.Answer{})
		}
	case stageRunning:
		de.abandon(now, jo)
	}
}

// abandon cancels the executions of a repeatable job that nobody awaits.
func (de *Desk) abandon(_ time.Time, jo *job) {
	if !jo.Repeatable {
		return
	}
	if jo.local {
		de.emit(Cancel{ID: jo.ID})
	}
	if jo.remote.IsValid() {
		de.emit(Withdraw{ID: jo.ID, Peer: jo.remote})
		jo.remote = netip.AddrPort{}
	}
	de.settle(jo, ledger.Unknown, ReasonCanceled, ledger.Answer{})
}

// expire handles a job whose bound or deadline came.
func (de *Desk) expire(now time.Time, jo *job) {
	late := !now.Before(jo.Deadline)
	switch jo.stage {
	case stageQueued:
		if late {
			de.giveUp(jo, ReasonDeadline)
		} else if !now.Before(jo.bound) {
			de.shedder.shed(now)
			de.giveUp(jo, ReasonOverloaded)
		}
	case stageFollowing, stageRelayed:
		if late {
			jo.stage = stageSettled
			de.respond(jo, Respond{Outcome: ledger.Unknown, Reason: ReasonDeadline})
			de.dismiss(jo)
		}
	case stageRunning:
		if late {
			de.overrun(now, jo)
		}
	}
}

// overrun handles a running job whose deadline passed. The answer of an
// unrepeatable one is awaited further, for its repeats; that of a peer only for
// a while, because the peer may be gone.
func (de *Desk) overrun(now time.Time, jo *job) {
	de.respond(jo, Respond{Outcome: ledger.Unknown, Reason: ReasonDeadline, Held: true})
	de.abandon(now, jo)
	if !jo.remote.IsValid() {
		return
	}
	end := jo.Deadline.Add(peerGrace)
	if now.Before(end) {
		de.timers.add(end, jo.ID)
		return
	}
	jo.remote = netip.AddrPort{}
	de.settle(jo, ledger.Unknown, ReasonPeerLost, ledger.Answer{})
}

// giveUp settles a job that does not run, or not again.
func (de *Desk) giveUp(jo *job, reason Reason) {
	outcome := ledger.NotRun
	if jo.mayHaveRun {
		outcome = ledger.Unknown
	}
	de.settle(jo, outcome, reason, ledger.Answer{})
}

// timer is a time at which a job is looked at.
type timer struct {
	at time.Time
	id RequestID
}

// timerHeap holds the timers with the earliest first.
type timerHeap struct{ items timers }

// add sets a further timer.
func (th *timerHeap) add(at time.Time, id RequestID) {
	heap.Push(&th.items, timer{at: at, id: id})
}

// next returns the earliest time, or the zero time.
func (th *timerHeap) next() time.Time {
	if len(th.items) == 0 {
		return time.Time{}
	}
	return th.items[0].at
}

// due removes and returns a timer whose time came.
func (th *timerHeap) due(now time.Time) (RequestID, bool) {
	if len(th.items) == 0 || now.Before(th.items[0].at) {
		return 0, false
	}
	return heap.Pop(&th.items).(timer).id, true
}

// timers implements heap.Interface.
type timers []timer

// Len returns the number of timers.
func (ti timers) Len() int { return len(ti) }

// Less orders timers by their time.
func (ti timers) Less(i, j int) bool { return ti[i].at.Before(ti[j].at) }

// Swap exchanges two timers.
func (ti timers) Swap(i, j int) { ti[i], ti[j] = ti[j], ti[i] }

// Push appends a timer.
func (ti *timers) Push(x any) { *ti = append(*ti, x.(timer)) }

// Pop removes the last timer.
func (ti *timers) Pop() any {
	last := len(*ti) - 1
	it := (*ti)[last]
	*ti = (*ti)[:last]
	return it
}
