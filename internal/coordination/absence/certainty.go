package absence

import "time"

// firstSequence is the sequence number of a host's first check-in after its start. It
// counts attempts, so an agent that receives it was there before the host took a flow.
const firstSequence = 1

// Certainty follows whether the process of an agent has admitted all flows that its host
// holds. Start times of host and agent are not compared with each other, because some
// machines' clocks are off by seconds.
type Certainty struct {
	lifetime time.Duration
	// fromStart says that the host held no flow when the process first heard of it.
	fromStart bool
	// firstStart is the start of the host that checked in first, zero before and if the
	// whole system started for the first time.
	firstStart time.Time
	// repeated says that a further check-in of that start has followed.
	repeated bool
	// since is when the process began to know all flows that were opened later.
	since time.Time
}

// NewCertainty returns the certainty of an agent that starts now. A flow lasts for the
// lifetime at most. WholeSystem says that the whole system starts for the first time, so
// that no host holds a flow.
func NewCertainty(now time.Time, lifetime time.Duration, wholeSystem bool) Certainty {
	return Certainty{lifetime: lifetime, fromStart: wholeSystem, since: now}
}

// Certain reports whether the agent knows all flows that its host may hold: those of the
// host's present start, or those opened within a flow's lifetime.
func (ce *Certainty) Certain(now time.Time) bool {
	return ce.fromStart || now.Sub(ce.since) >= ce.lifetime
}

// Repeated reports whether the certainty doesn't rely on a single check-in, which may have
// been another writer's. A check-in of the agent's own host would have come before the next
// one of the same start.
func (ce *Certainty) Repeated(now time.Time) bool {
	return ce.Certain(now) && (ce.firstStart.IsZero() || ce.repeated || now.Sub(ce.since) >= ce.lifetime)
}

// FirstCheckIn notes the first check-in that the process has received. A host takes no
// flow before its first check-in is acknowledged, unless this process presumed it to be
// healthy and admitted the flow itself.
//
// The check-ins of later starts make no agent certain: one of another writer can't be told
// from them, and an agent that has missed flows of a living host must not forget so.
func (ce *Certainty) FirstCheckIn(startedAt time.Time, sequence uint64) {
	if !ce.fromStart && sequence == firstSequence {
		ce.fromStart = true
		ce.firstStart = startedAt
	}
}

// NextCheckIn notes a check-in that the agent takes after others.
func (ce *Certainty) NextCheckIn(startedAt time.Time) {
	ce.EarlierCheckIn(startedAt)
	ce.repeated = ce.repeated || !ce.firstStart.IsZero() && startedAt.Equal(ce.firstStart)
}

// EarlierCheckIn notes a check-in of a host that started at the given time, which the
// agent refuses as older or takes instead of a later one. If it started before the host
// that checked in first, that check-in may have been another writer's, and the host is
// older than the agent.
func (ce *Certainty) EarlierCheckIn(startedAt time.Time) {
	if !ce.firstStart.IsZero() && startedAt.Before(ce.firstStart) {
		ce.fromStart = false
		ce.firstStart = time.Time{}
		ce.repeated = false
	}
}

// LaterStart notes a check-in with the given sequence number that is the first received of
// another start. If it isn't the first that the host has sent, the agent may have missed
// that one because it is younger than the host, and the check-in that made it certain was
// another writer's.
func (ce *Certainty) LaterStart(sequence uint64) {
	if !ce.firstStart.IsZero() && sequence != firstSequence {
		ce.fromStart = false
		ce.firstStart = time.Time{}
	}
}

// Dropped notes that the agent has forgotten a flow that its host may still hold. The
// agent is certain again after a flow's lifetime.
func (ce *Certainty) Dropped(now time.Time) {
	ce.fromStart = false
	ce.firstStart = time.Time{}
	ce.repeated = false
	ce.since = now
}
