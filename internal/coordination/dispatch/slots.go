package dispatch

import (
	"net/netip"
	"time"
)

// The limits of probes and reservations.
const (
	// probesPerRequest is the number of probes for each queued request that a
	// peer may run.
	probesPerRequest = 3
	// maxSentProbes bounds the unanswered probes of one agent.
	maxSentProbes = 12
	// probeLifetime is how long a probe stays valid, at the sender and at the
	// receiver.
	probeLifetime = 100 * time.Millisecond
	// reservationTimeout is how long a granted slot is reserved for the peer.
	reservationTimeout = 10 * time.Millisecond
	// maxReceivedProbes bounds the unanswered probes of peers that an agent
	// keeps.
	maxReceivedProbes = 256
)

// peerSlot is a slot that a probe asks for or that is reserved, with the agent
// at the other end.
type peerSlot struct {
	peer   netip.AddrPort
	class  Class
	expiry time.Time
}

// peerSlots holds the slots asked for and reserved between this agent and its
// peers.
type peerSlots struct {
	// sentProbes are the unanswered probes of this agent, the oldest first.
	sentProbes []peerSlot
	// receivedProbes are the unanswered probes of peers, the oldest first.
	receivedProbes []peerSlot
	// reservations are the slots of this agent that are reserved for peers, the
	// oldest first.
	reservations []peerSlot
}

// next returns when the oldest sent probe or reservation expires, or the zero
// time. Received probes need no timer: they only matter when a slot becomes
// free, and expired ones are dropped before.
func (ps *peerSlots) next() time.Time {
	var next time.Time
	if len(ps.sentProbes) > 0 {
		next = ps.sentProbes[0].expiry
	}
	if len(ps.reservations) > 0 {
		next = earliest(next, ps.reservations[0].expiry)
	}
	return next
}

// expire drops the probes and reservations that have expired.
func (ps *peerSlots) expire(now time.Time) {
	ps.sentProbes = unexpired(ps.sentProbes, now)
	ps.receivedProbes = unexpired(ps.receivedProbes, now)
	ps.reservations = unexpired(ps.reservations, now)
}

// unexpired returns the slots that have not expired.
func unexpired(slots []peerSlot, now time.Time) []peerSlot {
	for len(slots) > 0 && !now.Before(slots[0].expiry) {
		slots = slots[1:]
	}
	return slots
}

// removePeer removes the first slot of the peer. It reports whether there was
// one.
func removePeer(slots []peerSlot, peer netip.AddrPort) ([]peerSlot, bool) {
	for at, sl := range slots {
		if sl.peer == peer {
			return append(slots[:at:at], slots[at+1:]...), true
		}
	}
	return slots, false
}

// sendProbes keeps probes at randomly selected peers while there are queued
// requests that a peer may run.
func (di *Dispatcher) sendProbes(now time.Time) {
	waiting := di.queues[ClassUrgent].delegable + di.queues[ClassDeferrable].delegable
	if waiting == 0 || len(di.peers.accepting) == 0 {
		return
	}
	class := ClassDeferrable
	if di.queues[ClassUrgent].delegable > 0 {
		class = ClassUrgent
	}
	wanted := min(probesPerRequest*waiting, maxSentProbes, len(di.peers.accepting))
	for tries := 2 * wanted; tries > 0 && len(di.sentProbes) < wanted; tries-- {
		peer := di.peers.accepting[di.random.IntN(len(di.peers.accepting))]
		if !di.hasProbe(peer) {
			di.sentProbes = append(di.sentProbes, peerSlot{peer: peer, class: class, expiry: now.Add(probeLifetime)})
			di.emit(Probe{Peer: peer, Class: class})
		}
	}
}

// hasProbe reports whether the peer has an unanswered probe of this agent.
func (di *Dispatcher) hasProbe(peer netip.AddrPort) bool {
	for _, pr := range di.sentProbes {
		if pr.peer == peer {
			return true
		}
	}
	return false
}

// probed keeps the probe of a peer until it expires or a slot is free. A
// stopping agent and one with an unhealthy backend server ignore probes.
func (di *Dispatcher) probed(now time.Time, ev Probed) {
	if di.drain.stopping() || di.meter.unhealthy(now) {
		return
	}
	di.receivedProbes, _ = removePeer(di.receivedProbes, ev.Peer)
	if len(di.receivedProbes) >= maxReceivedProbes {
		return
	}
	di.receivedProbes = append(di.receivedProbes, peerSlot{peer: ev.Peer, class: ev.Class, expiry: now.Add(probeLifetime)})
}

// grantSlot reserves a slot for the peer with the oldest probe of the class. It
// reports false if there is none, or if the agent must not take work of peers.
func (di *Dispatcher) grantSlot(now time.Time, cl Class) bool {
	if di.breaker.IsOpen() || di.drain.stopping() {
		return false
	}
	for _, re := range di.receivedProbes {
		if re.class != cl {
			continue
		}
		di.receivedProbes, _ = removePeer(di.receivedProbes, re.peer)
		di.reservations = append(di.reservations, peerSlot{peer: re.peer, class: cl, expiry: now.Add(reservationTimeout)})
		di.emit(Grant{Peer: re.peer, Load: di.Load()})
		return true
	}
	return false
}

// granted delegates the next request to the peer, urgent ones first, or gives
// the slot back if no request is queued that a peer may run.
func (di *Dispatcher) granted(now time.Time, ev Granted) {
	di.sentProbes, _ = removePeer(di.sentProbes, ev.Peer)
	for cl := range di.queues {
		if jo := di.queues[cl].next((*job).delegable); jo != nil {
			di.delegate(now, jo, ev.Peer)
			return
		}
	}
	di.emit(Decline{Peer: ev.Peer})
}

// releaseReservation ends the reservation of a slot for the peer. It reports
// whether there was one.
func (di *Dispatcher) releaseReservation(peer netip.AddrPort) bool {
	var reserved bool
	di.reservations, reserved = removePeer(di.reservations, peer)
	return reserved
}
