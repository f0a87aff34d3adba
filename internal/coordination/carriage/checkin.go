package carriage

import "time"

// CheckIn handles a host's check-in, which also ends an ejection. It reports
// whether the check-in is newer than the last one; one that isn't changes nothing.
func (ga *Gate) CheckIn(now time.Time, ci CheckIn) ([]Action, bool) {
	ga.actions = ga.actions[:0]
	if ga.known && !ga.presumed && !ga.supersedes(ci) {
		return ga.actions, false
	}
	if ga.known && !ga.presumed && !ci.StartedAt.Equal(ga.host.StartedAt) {
		ga.hostRestarted(now)
	}
	if ga.presumed || !ga.known {
		ga.hostOlder = ga.hostOlder && !ga.startedTogether(ci)
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
	ga.hostHeard(now)
	ga.announceIfChanged(now)
	ga.serveQueue(now)
	return ga.actions, true
}

const (
	// freshSequence is the highest sequence number of a first check-in at which the
	// host can count as just started: a few may fail while its agent starts.
	freshSequence = 4
	// startSkew is how long before its agent a host may have started to count as
	// started with it.
	startSkew = 500 * time.Millisecond
)

// startedTogether reports whether the host of a first check-in started with the
// agent or after it, so that it holds no flows: a host takes none before a check-in
// is acknowledged. A host that is older may hold flows that an earlier agent
// process admitted, however few check-ins it has sent. Both start times are
// readings of the machine's clock.
func (ga *Gate) startedTogether(ci CheckIn) bool {
	return ci.Sequence <= freshSequence && !ci.StartedAt.Before(ga.started.Add(-startSkew))
}

// presumedSlots is the number of slots assumed for a host that has not checked
// in.
const presumedSlots = 2

// PresumeHealthy handles a health check that found the host of the service healthy
// and not draining. Until the host checks in it is presumed to be ready, so that
// an agent that was restarted can serve at once.
func (ga *Gate) PresumeHealthy(now time.Time, service string) []Action {
	ga.actions = ga.actions[:0]
	if ga.known || ga.gone {
		return ga.actions
	}
	ga.known = true
	ga.presumed = true
	ga.host = CheckIn{Service: service, Slots: presumedSlots}
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

// hostRestarted marks the open flows of the host's previous start as lost, and
// forgets the others and the average service time.
func (ga *Gate) hostRestarted(now time.Time) {
	ga.hostOlder = false
	ga.handshakes = nil
	ga.queue.service, ga.requests = serviceTime{}, serviceTime{}
	ga.expected = loadAverage{}
	for el := ga.flows.order.Front(); el != nil; {
		next := el.Next()
		hf := el.Value.(*recentEntry[*hostFlow]).value
		if hf.stage == stageOpen {
			ga.endProgress(now, hf)
			hf.stage = stageLost
		} else {
			ga.forget(now, hf)
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
