package carriage

import (
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/absence"
	"corneltiller.dev/corneltiller/internal/state/register"
)

const (
	// earlyDelay is the time from an agent's restart until the flows remembered at it are
	// checked: its host, if it has restarted too, has usually checked in twice by then.
	earlyDelay = 2 * time.Second
	// earlyInterval is the least time between two early resets: 100 a second.
	earlyInterval = 10 * time.Millisecond
	// earlyRetry is the time between two questions of a check to the agents that haven't said
	// Absent, maxEarlyChecks how often questions are sent.
	earlyRetry     = time.Second
	maxEarlyChecks = 5
	// maxEarlyFlows is the number of flows that wait for their check: those of the next 10 s.
	maxEarlyFlows = 1024
)

// earlyCheck is the check of a remembered flow that isn't in use.
type earlyCheck struct {
	flow  *trackedFlow
	agent *agent
	// search collects the answers, nil before the first question.
	search *search
	asked  int
	due    time.Time
}

// earlyResets tells the callers of remembered flows that no host holds any more, before
// they use them again.
type earlyResets struct {
	// restarted are the agents whose flows are to be checked, from a time on.
	restarted []restartedAgent
	checks    []*earlyCheck
	next      time.Time
}

type restartedAgent struct {
	agent *agent
	from  time.Time
}

// noteHostMayBeNew notes that the flows remembered at the agent are to be checked, as its
// host may have restarted or has checked out.
func (pl *Placer) noteHostMayBeNew(from time.Time, ag *agent) {
	pl.early.restarted = slices.DeleteFunc(pl.early.restarted, func(ra restartedAgent) bool { return ra.agent == ag })
	pl.early.restarted = append(pl.early.restarted, restartedAgent{agent: ag, from: from})
}

// noteState notes a change of an agent's state.
func (pl *Placer) noteState(now time.Time, ag *agent, former register.State) {
	if ag.report.State == register.StateGone && former != register.StateGone {
		pl.noteHostMayBeNew(now, ag)
	}
}

// earlyDue returns when checkRemembered is due, zero if nothing is to be checked.
func (pl *Placer) earlyDue() time.Time {
	if len(pl.early.checks) > 0 {
		return pl.early.next
	}
	due := time.Time{}
	for _, ra := range pl.early.restarted {
		if due.IsZero() || ra.from.Before(due) {
			due = ra.from
		}
	}
	if !due.IsZero() && due.Before(pl.early.next) {
		due = pl.early.next
	}
	return due
}

// checkRemembered resets one caller at most and asks about one other flow. Searches for
// flows that are in use come first.
func (pl *Placer) checkRemembered(now time.Time) {
	if due := pl.earlyDue(); due.IsZero() || now.Before(due) {
		return
	}
	pl.early.next = now.Add(earlyInterval)
	pl.early.restarted = slices.DeleteFunc(pl.early.restarted, func(ra restartedAgent) bool {
		if !now.Before(ra.from) {
			pl.collectRemembered(now, ra.agent)
		}
		return !now.Before(ra.from)
	})
	reset, asked := false, len(pl.turns) > 0 || !pl.budget.Open(now)
	pl.early.checks = slices.DeleteFunc(pl.early.checks, func(ec *earlyCheck) bool {
		tf := ec.flow
		switch {
		case pl.isOver(ec):
			return true
		case now.Before(ec.due):
			return false
		case ec.search != nil && pl.isProvedAbsent(now, tf):
			if reset {
				return false
			}
			reset = true
			return pl.resetIfAbsent(now, tf)
		case ec.asked == maxEarlyChecks:
			tf.search = nil
			return true
		case !asked:
			asked = true
			pl.askEarly(now, ec)
		}
		return false
	})
}

// isOver reports whether the check has ended: the flow is in use again, or an agent has
// said that its host may hold it.
func (pl *Placer) isOver(ec *earlyCheck) bool {
	tf := ec.flow
	if pl.flows.peek(tf.flow) != tf || tf.phase != phaseLocated || tf.agent != ec.agent || pl.agents[ec.agent.address] != ec.agent {
		return true
	}
	return tf.search != ec.search
}

// collectRemembered adds checks of the flows that are remembered at the agent, the most
// recently used first.
func (pl *Placer) collectRemembered(now time.Time, ag *agent) {
	for el := pl.flows.order.Back(); el != nil && len(pl.early.checks) < maxEarlyFlows; el = el.Prev() {
		tf := el.Value.(*recentEntry[*trackedFlow]).value
		if tf.phase == phaseLocated && tf.agent == ag && tf.established && !tf.ended && tf.search == nil {
			pl.early.checks = append(pl.early.checks, &earlyCheck{flow: tf, agent: ag, due: now})
		}
	}
}

// askEarly asks the flow's agent and, once it has said Absent, the others that haven't.
// Most agents that were restarted have a host that still holds its flows.
func (pl *Placer) askEarly(now time.Time, ec *earlyCheck) {
	tf := ec.flow
	if ec.search == nil {
		ec.search = &search{turn: -1, early: true, began: now, acknowledged: tf.acknowledged}
		tf.search = ec.search
	}
	ec.asked++
	ec.due = now.Add(earlyRetry)
	if !ec.search.absent.Has(ec.agent.number) {
		pl.sendQuestion(now, tf, ec.agent)
		return
	}
	for _, ag := range pl.mayHold(now, tf) {
		if !ec.search.absent.Has(ag.number) {
			pl.sendQuestion(now, tf, ag)
		}
	}
}

// noteEarlyAnswer notes an agent's answer about a flow that is checked.
func (pl *Placer) noteEarlyAnswer(now time.Time, tf *trackedFlow, ag *agent, an absence.Answer) {
	switch {
	case an == absence.Absent:
		tf.search.absent.Add(ag.number)
	case an == absence.Held || an == absence.Reused || ag != tf.agent && an != absence.Provisional:
		tf.search = nil
		return
	default:
		// The agent may become certain after its host's next check-in.
		return
	}
	if ag == tf.agent || pl.isProvedAbsent(now, tf) {
		for _, ec := range pl.early.checks {
			if ec.search == tf.search {
				ec.due = now
			}
		}
	}
}

// endEarlyCheck ends the check of a flow that is used again.
func (tf *trackedFlow) endEarlyCheck() {
	if tf.search != nil && tf.search.early {
		tf.search = nil
	}
}

// noteAcknowledged keeps the highest number that the caller has acknowledged.
func (tf *trackedFlow) noteAcknowledged(pk Packet) {
	if !pk.Resets && (!tf.established || int32(pk.Acknowledged-tf.acknowledged) > 0) {
		tf.acknowledged = pk.Acknowledged
	}
	tf.ended = tf.ended || pk.Resets || pk.Finishes
}
