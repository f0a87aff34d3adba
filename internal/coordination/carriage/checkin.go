package carriage

import (
	"time"

	"github.com/go-faster/errors"
)

var (
	// ErrOtherHost means that a check-in names another service or address than those of
	// the agent's host.
	ErrOtherHost = errors.New("check-in of another host")
	// ErrOldCheckIn means that a check-in is older than the last one.
	ErrOldCheckIn = errors.New("check-in older than the last one")
)

// CheckIn handles a host's check-in, which also ends an ejection. It returns
// ErrOtherHost or ErrOldCheckIn for a check-in that changes nothing.
func (ga *Gate) CheckIn(now time.Time, ci CheckIn) ([]Action, error) {
	ga.actions = ga.actions[:0]
	if ci.Service != ga.service || ci.Address != ga.hostAddress {
		return ga.actions, ErrOtherHost
	}
	if ga.known && !ga.presumed && !ga.supersedes(ci) && !ga.outlives(now, ci) {
		ga.refused, ga.refusedAt = ci, now
		ga.certainty.EarlierCheckIn(ci.StartedAt)
		return ga.actions, ErrOldCheckIn
	}
	if ga.known && !ga.presumed && !ci.StartedAt.Equal(ga.host.StartedAt) {
		ga.hostRestarted(now)
		ga.certainty.LaterStart(ci.Sequence)
	}
	if ga.presumed || !ga.known {
		ga.hostOlder = ga.hostOlder && !ga.startedTogether(ci)
		if !ga.presumed {
			// A host that was healthy before its first check-in may have got flows from an
			// earlier process that presumed so too.
			ga.certainty.FirstCheckIn(ci.StartedAt, ci.Sequence)
		}
	} else {
		ga.certainty.NextCheckIn(ci.StartedAt)
	}
	if ci.Draining && !ga.host.Draining && ga.known && !ga.presumed {
		// drainStart stays zero for a host that was draining before the agent
		// started, so drainGrace doesn't apply to it.
		ga.drainStart = now
	}
	ga.ejectedUntil = time.Time{}
	ga.known = true
	ga.presumed = false
	ga.gone = false
	ga.host = ci
	ga.presumedCold = time.Time{}
	ga.checkedIn = now
	ga.hostHeard(now)
	ga.announceIfChanged(now)
	ga.serveQueue(now)
	return ga.actions, nil
}

const (
	// freshSequence is the highest sequence number of a first check-in at which the
	// host can count as just started: a few may fail while its agent starts.
	freshSequence = 4
	// startSkew is how long before its agent a host may have started to count as
	// started with it.
	startSkew = 500 * time.Millisecond
)

// startedTogether reports whether the host of a first check-in seems to have started
// with the agent or after it, so that it holds no flows: a host takes none before a
// check-in is acknowledged. A host that is older may hold flows that an earlier agent
// process admitted, however few check-ins it has sent. Both start times are
// readings of the machine's clock, which may have been set in between.
func (ga *Gate) startedTogether(ci CheckIn) bool {
	return ci.Sequence <= freshSequence && !ci.StartedAt.Before(ga.started.Add(-startSkew))
}

// presumedSlots is the number of slots assumed for a host that has not checked
// in.
const presumedSlots = 2

// PresumeHealthy handles a health check that found the host healthy and not draining.
// Until the host checks in it is presumed to be ready, so that an agent that was
// restarted can serve at once.
func (ga *Gate) PresumeHealthy(now time.Time) []Action {
	ga.actions = ga.actions[:0]
	if ga.known || ga.gone {
		return ga.actions
	}
	ga.known = true
	ga.presumed = true
	ga.host = CheckIn{Service: ga.service, Slots: presumedSlots}
	ga.presumeCold(now)
	ga.hostHeard(now)
	ga.announceIfChanged(now)
	return ga.actions
}

// supersedes reports whether the check-in is newer than the last one: of a later
// start of the host, or of the same start under the same name with a higher
// sequence number.
func (ga *Gate) supersedes(ci CheckIn) bool {
	if !ci.StartedAt.Equal(ga.host.StartedAt) {
		return ci.StartedAt.After(ga.host.StartedAt)
	}
	return ci.Name == ga.host.Name && ci.Sequence > ga.host.Sequence
}

// outlives reports whether the check-in is one of a host that goes on checking in while
// the one that checked in last, which started later by its own word, is silent. Then a
// clock was set back, or the last check-in was not the host's. Late check-ins of a
// former start arrive together and don't count.
func (ga *Gate) outlives(now time.Time, ci CheckIn) bool {
	last := ga.refused
	repeated := ci.Name == last.Name && ci.StartedAt.Equal(last.StartedAt) && ci.Sequence > last.Sequence
	return repeated && now.Sub(ga.refusedAt) >= ga.heartbeat/2 && now.Sub(ga.checkedIn) >= maxMissedCheckIns*ga.heartbeat
}

// hostRestarted forgets the flows that the host's previous start had neither accepted nor
// returned, and the average service time. The others are kept without a request in
// progress: the host returns their next packets if it doesn't hold them, and only its word
// ends a flow. One that it has returned it doesn't hold after a restart either.
func (ga *Gate) hostRestarted(now time.Time) {
	ga.hostOlder = false
	ga.handshakes = nil
	ga.queue.service, ga.requests = serviceTime{}, serviceTime{}
	ga.expected = loadAverage{}
	for el := ga.flows.order.Front(); el != nil; {
		next := el.Next()
		hf := el.Value.(*recentEntry[*hostFlow]).value
		switch hf.stage {
		case stagePending, stageTentative:
			ga.forget(now, hf)
		default:
			ga.endProgress(now, hf)
		}
		el = next
	}
}

// CheckOut handles a host's message that it stops. It reports false and changes
// nothing if a host of another name has checked in.
func (ga *Gate) CheckOut(now time.Time, name string) ([]Action, bool) {
	ga.actions = ga.actions[:0]
	if ga.known && !ga.presumed && name != ga.host.Name {
		return ga.actions, false
	}
	ga.gone = true
	ga.announceIfChanged(now)
	return ga.actions, true
}

// Drain starts the shutdown of the agent: its host gets no new flows, openings that
// wait are declined, and packets of its open flows are still delivered.
func (ga *Gate) Drain(now time.Time) []Action {
	ga.actions = ga.actions[:0]
	ga.agentDraining = true
	ga.announceIfChanged(now)
	ga.serveQueue(now)
	return ga.actions
}
