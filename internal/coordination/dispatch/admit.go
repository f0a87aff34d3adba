package dispatch

import (
	"time"

	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// The limits of admission, queueing and retries.
const (
	// urgentMaxWait is the longest expected wait at which an urgent request is
	// queued.
	urgentMaxWait = 150 * time.Millisecond
	// deferrableMaxWait is the longest expected wait at which a deferrable
	// request is queued.
	deferrableMaxWait = time.Second
	// overloadMaxWait replaces deferrableMaxWait during overload.
	overloadMaxWait = 50 * time.Millisecond
	// overloadThreshold is the expected wait of a deferrable request up to which
	// the agent is not overloaded.
	overloadThreshold = 60 * time.Millisecond
	// minWaitServiceTimes raises urgentMaxWait and deferrableMaxWait to at least
	// this many mean service times divided by the number of slots, and
	// overloadMaxWait to half of that, so that slow backend servers keep their
	// slots busy.
	minWaitServiceTimes = 4
	// overloadDelay is how long the expected wait of deferrable requests must
	// exceed overloadThreshold without interruption before the agent counts as
	// overloaded.
	overloadDelay = 500 * time.Millisecond
	// retryPause is how long after a refusal for overload no request that may
	// have run is retried.
	retryPause = time.Second
	// fairnessGap is how many more requests another caller must at least have in
	// the queue before its newest one is refused in favour of a new request.
	fairnessGap = 2
	// urgentPerDeferrable is the number of urgent requests started in a row after
	// which a deferrable one goes first.
	urgentPerDeferrable = 9
	// maxAttempts bounds how often a request is handed to a backend server or a
	// peer.
	maxAttempts = 3
)

// overloadDetector distinguishes lasting overload from a burst, and records when
// a request was last refused for overload.
type overloadDetector struct {
	// lastBelowThreshold is the last time at which the expected wait of deferrable
	// requests was at most overloadThreshold.
	lastBelowThreshold time.Time
	// lastRefusal is the last time at which a request was refused for overload;
	// it is zero before the first.
	lastRefusal time.Time
}

// overloaded reports whether the expected wait of deferrable requests has
// exceeded overloadThreshold for longer than overloadDelay.
func (od *overloadDetector) overloaded(now time.Time) bool {
	return now.Sub(od.lastBelowThreshold) > overloadDelay
}

// recordRefusal records that a request was refused for overload.
func (od *overloadDetector) recordRefusal(now time.Time) {
	od.lastRefusal = now
}

// recentlyRefused reports whether a request was refused for overload within the
// last retryPause.
func (od *overloadDetector) recentlyRefused(now time.Time) bool {
	return !od.lastRefusal.IsZero() && now.Sub(od.lastRefusal) < retryPause
}

// admit starts a request in a slot that was reserved for it, queues it or
// refuses it.
func (di *Dispatcher) admit(now time.Time, jo *job) {
	switch {
	case di.drain.closed(now):
		di.settle(jo, ledger.NotRun, ReasonDraining, ledger.Answer{})
	case !now.Add(di.minServiceTime()).Before(jo.Deadline):
		di.settle(jo, ledger.NotRun, ReasonDeadline, ledger.Answer{})
	case jo.Origin == OriginDelegate && di.releaseReservation(jo.Peer) && di.freeSlots(now) > 0:
		di.timers.add(jo.Deadline, jo.ID)
		di.start(now, jo)
	case !di.makeRoom(now, jo):
		di.overload.recordRefusal(now)
		di.settle(jo, ledger.NotRun, ReasonOverloaded, ledger.Answer{})
	default:
		di.enqueue(now, jo)
	}
}

// minServiceTime returns the shortest time that a request is assumed to need,
// half of the mean service time.
func (di *Dispatcher) minServiceTime() time.Duration {
	return di.limiter.Mean() / 2
}

// maxWait returns the longest expected wait at which a request of the class is
// queued.
func (di *Dispatcher) maxWait(now time.Time, cl Class) time.Duration {
	least := minWaitServiceTimes * di.limiter.Mean() / time.Duration(di.settings.Slots)
	switch {
	case cl == ClassUrgent:
		return max(urgentMaxWait, least)
	case di.overload.overloaded(now):
		return max(overloadMaxWait, least/2)
	default:
		return max(deferrableMaxWait, least)
	}
}

// expectedWait returns the expected wait of one more request of the class.
func (di *Dispatcher) expectedWait(now time.Time, cl Class) time.Duration {
	ahead := di.queues[ClassUrgent].length
	if cl == ClassDeferrable {
		ahead += di.queues[ClassDeferrable].length
	}
	limit := di.limiter.Limit(now)
	if di.running+len(di.reservations) < limit && ahead == 0 {
		return 0
	}
	return time.Duration(ahead+1) * di.limiter.Mean() / time.Duration(limit)
}

// makeRoom reports whether the request may be queued. To make room it may
// refuse the newest request of the caller that has the most in the queue.
func (di *Dispatcher) makeRoom(now time.Time, jo *job) bool {
	wait := di.expectedWait(now, jo.Class)
	if now.Add(wait + di.minServiceTime()).After(jo.Deadline) {
		return false
	}
	if wait <= di.maxWait(now, jo.Class) {
		return true
	}
	qu := di.queues[jo.Class]
	caller, most := qu.longestCaller()
	if most < qu.callerLength(jo.Caller)+fairnessGap {
		return false
	}
	displaced := qu.newest(caller)
	if displaced == nil {
		return false
	}
	di.overload.recordRefusal(now)
	di.giveUp(displaced, ReasonOverloaded)
	return true
}

// enqueue puts a request into the queue of its class and sets its timers.
func (di *Dispatcher) enqueue(now time.Time, jo *job) {
	if jo.queueDeadline.IsZero() {
		jo.queueDeadline = now.Add(di.maxWait(now, jo.Class))
		di.timers.add(jo.queueDeadline, jo.ID)
		di.timers.add(jo.Deadline, jo.ID)
	}
	di.queues[jo.Class].push(jo)
}

// retry queues a job again after an attempt that did not answer it, or gives it
// up. Free is true if the attempt provably did not run; any other retry is
// charged to the retry budget.
func (di *Dispatcher) retry(now time.Time, jo *job, free bool, reason Reason) {
	jo.attempts++
	fits := jo.attempts < maxAttempts && now.Add(di.minServiceTime()).Before(jo.Deadline)
	fits = fits && !di.drain.closed(now) && !jo.responded
	if jo.Origin == OriginDelegate || !fits {
		di.giveUp(jo, reason)
		return
	}
	if !free && (di.overload.recentlyRefused(now) || !di.retryBudget.Spend()) {
		di.giveUp(jo, reason)
		return
	}
	jo.queueDeadline = now.Add(di.maxWait(now, jo.Class))
	di.timers.add(jo.queueDeadline, jo.ID)
	di.queues[jo.Class].push(jo)
}
