package dispatch

import (
	"time"

	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// The bounds of the queue.
const (
	// urgentBound is the longest expected wait of an urgent request.
	urgentBound = 150 * time.Millisecond
	// deferrableBound is the longest expected wait of a deferrable request.
	deferrableBound = time.Second
	// shedBound replaces deferrableBound under overload.
	shedBound = 50 * time.Millisecond
	// calmBound is the expected wait of a deferrable request below which the
	// agent is not overloaded.
	calmBound = 60 * time.Millisecond
	// boundServices is the least bound in service times, so that slow backend
	// servers keep their slots busy.
	boundServices = 4
	// overloadDelay is how long deferrable requests must wait without a pause
	// before the agent counts as overloaded.
	overloadDelay = 500 * time.Millisecond
	// overloadMemory is how long a shed request keeps retries away.
	overloadMemory = time.Second
	// fairnessGap is how many more requests another caller must have in the
	// queue to lose one in favour of a newcomer.
	fairnessGap = 2
	// creditLimit is the number of urgent starts that earn a deferrable one.
	creditLimit = 9
	// maxAttempts bounds how often a request is handed over.
	maxAttempts = 3
)

// shedder tells lasting overload from a burst.
type shedder struct {
	// calm is the last time at which no deferrable request waited.
	calm time.Time
	// last is the last time at which a request was shed.
	last time.Time
}

// overloaded reports whether deferrable requests have waited without a pause.
func (sh *shedder) overloaded(now time.Time) bool {
	return now.Sub(sh.calm) > overloadDelay
}

// shed accounts for a request that was refused for the length of the queue.
func (sh *shedder) shed(now time.Time) {
	sh.last = now
}

// recent reports whether a request was shed a short while ago.
func (sh *shedder) recent(now time.Time) bool {
	return !sh.last.IsZero() && now.Sub(sh.last) < overloadMemory
}

// admit queues a request or refuses it at once.
func (de *Dispatcher) admit(now time.Time, jo *job) {
	switch {
	case de.drain.closed(now):
		de.settle(jo, ledger.NotRun, ReasonDraining, ledger.Answer{})
	case !now.Add(de.leastTime()).Before(jo.Deadline):
		de.settle(jo, ledger.NotRun, ReasonDeadline, ledger.Answer{})
	case jo.Origin == OriginDelegate && de.release(jo.Peer) && de.free(now) > 0:
		de.timers.add(jo.Deadline, jo.ID)
		de.start(now, jo)
	case !de.room(now, jo):
		de.shedder.shed(now)
		de.settle(jo, ledger.NotRun, ReasonOverloaded, ledger.Answer{})
	default:
		de.enqueue(now, jo)
	}
}

// leastTime is the time that a request needs at the least.
func (de *Dispatcher) leastTime() time.Duration {
	return de.limiter.Mean() / 2
}

// bound returns the longest expected wait of the class.
func (de *Dispatcher) bound(now time.Time, cl Class) time.Duration {
	least := boundServices * de.limiter.Mean() / time.Duration(de.settings.Slots)
	switch {
	case cl == ClassUrgent:
		return max(urgentBound, least)
	case de.shedder.overloaded(now):
		return max(shedBound, least/2)
	default:
		return max(deferrableBound, least)
	}
}

// wait returns the expected wait of a further request of the class.
func (de *Dispatcher) wait(now time.Time, cl Class) time.Duration {
	ahead := de.queues[ClassUrgent].length
	if cl == ClassDeferrable {
		ahead += de.queues[ClassDeferrable].length
	}
	limit := de.limiter.Limit(now)
	if de.running+len(de.holds) < limit && ahead == 0 {
		return 0
	}
	return time.Duration(ahead+1) * de.limiter.Mean() / time.Duration(limit)
}

// room reports whether the request fits into the queue. It may displace the
// newest request of a caller that has many more in it.
func (de *Dispatcher) room(now time.Time, jo *job) bool {
	wait := de.wait(now, jo.Class)
	if now.Add(wait + de.leastTime()).After(jo.Deadline) {
		return false
	}
	if wait <= de.bound(now, jo.Class) {
		return true
	}
	qu := de.queues[jo.Class]
	caller, most := qu.longest()
	if most < qu.waiting(jo.Caller)+fairnessGap {
		return false
	}
	victim := qu.newest(caller)
	if victim == nil {
		return false
	}
	de.shedder.shed(now)
	de.giveUp(victim, ReasonOverloaded)
	return true
}

// enqueue puts a request into the queue of its class.
func (de *Dispatcher) enqueue(now time.Time, jo *job) {
	if jo.bound.IsZero() {
		jo.bound = now.Add(de.bound(now, jo.Class))
		de.timers.add(jo.bound, jo.ID)
		de.timers.add(jo.Deadline, jo.ID)
	}
	de.queues[jo.Class].push(jo)
}

// retry queues a job again after an attempt that did not answer it, or ends it
// with the outcome that the attempts allow.
func (de *Dispatcher) retry(now time.Time, jo *job, free bool, reason Reason) {
	jo.attempts++
	fits := jo.attempts < maxAttempts && now.Add(de.leastTime()).Before(jo.Deadline)
	fits = fits && !de.drain.closed(now) && !jo.responded
	if jo.Origin == OriginDelegate || !fits {
		de.giveUp(jo, reason)
		return
	}
	if !free && (de.shedder.recent(now) || !de.budget.Spend()) {
		de.giveUp(jo, reason)
		return
	}
	jo.bound = now.Add(de.bound(now, jo.Class))
	de.timers.add(jo.bound, jo.ID)
	de.queues[jo.Class].push(jo)
}
