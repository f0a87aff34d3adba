package carriage

import "time"

// CheckIn takes a host's word about itself. It reports whether the word is
// current; an older one must not be acted on.
func (ga *Gate) CheckIn(now time.Time, ci CheckIn) ([]Action, bool) {
	ga.out = ga.out[:0]
	if ga.known && !ga.presumed && !ga.supersedes(ci) {
		return ga.out, false
	}
	if ga.known && !ga.presumed && !ci.StartedAt.Equal(ga.host.StartedAt) {
		ga.restarted()
	}
	if ga.presumed || !ga.known {
		ga.elder = ga.elder && ci.Sequence > newbornSequence
	}
	if ci.Draining && !ga.host.Draining && ga.known && !ga.presumed {
		// A host that was already leaving when the agent started has no grace.
		ga.drainedAt = now
	}
	ga.refusedUntil = time.Time{}
	ga.known = true
	ga.presumed = false
	ga.gone = false
	ga.host = ci
	ga.sign(now)
	ga.announce(now)
	return ga.out, true
}

// newbornSequence is the number of a host's check-ins up to which it counts as
// just started: some may have failed while its agent started too. Before one is
// acknowledged a host takes no flow.
const newbornSequence = 4

// presumedSlots is taken for the slots of a host that has not checked in.
const presumedSlots = 2

// PresumeHealthy takes that the host of the service answered as healthy and not leaving
// before it has checked in. It lets an agent that was restarted serve at once.
func (ga *Gate) PresumeHealthy(now time.Time, service string) []Action {
	ga.out = ga.out[:0]
	if ga.known || ga.gone {
		return ga.out
	}
	ga.known = true
	ga.presumed = true
	ga.host = CheckIn{Service: service, Slots: presumedSlots}
	ga.sign(now)
	ga.announce(now)
	return ga.out
}

// supersedes reports whether the check-in is newer than the last one.
func (ga *Gate) supersedes(ci CheckIn) bool {
	if !ci.StartedAt.Equal(ga.host.StartedAt) {
		return ci.StartedAt.After(ga.host.StartedAt)
	}
	return ci.Name == ga.host.Name && ci.Sequence > ga.host.Sequence
}

// restarted notes that the flows of the host's former start are lost.
func (ga *Gate) restarted() {
	ga.elder = false
	ga.handshakes = nil
	ga.queue.service = serviceTime{}
	for el := ga.flows.order.Front(); el != nil; {
		next := el.Next()
		ho := el.Value.(*used[*holding]).value
		if ho.stage == stageOpen {
			ga.setWorking(ho, false)
			ho.stage = stageLost
		} else {
			ga.forget(ho)
		}
		el = next
	}
}

// CheckOut takes a host's word that it ends. It reports whether the word is
// current.
func (ga *Gate) CheckOut(now time.Time, name string) ([]Action, bool) {
	ga.out = ga.out[:0]
	if ga.known && !ga.presumed && name != ga.host.Name {
		return ga.out, false
	}
	ga.gone = true
	ga.announce(now)
	return ga.out, true
}

// Drain takes the agent's own stop: no new flow, the open ones go on.
func (ga *Gate) Drain(now time.Time) []Action {
	ga.out = ga.out[:0]
	ga.leaving = true
	ga.announce(now)
	return ga.out
}
