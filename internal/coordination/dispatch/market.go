package dispatch

import (
	"net/netip"
	"time"
)

// The behaviour of probes.
const (
	// probeFan is the number of probes for each waiting request.
	probeFan = 3
	// probeLimit bounds the probes that one agent keeps at its peers.
	probeLimit = 12
	// probeLife is how long a probe stays valid at both ends.
	probeLife = 100 * time.Millisecond
	// holdTime is how long a granted slot is held.
	holdTime = 10 * time.Millisecond
	// askerLimit bounds the probes that an agent keeps for its peers.
	askerLimit = 256
)

// tender is a probe or a held slot with the peer at its other end.
type tender struct {
	peer   netip.AddrPort
	class  Class
	expiry time.Time
}

// market holds the slots asked for and granted between the agents.
type market struct {
	// probes are what this agent asked for, the oldest first.
	probes []tender
	// askers are the peers that asked this agent, the oldest first.
	askers []tender
	// holds are the slots granted to peers, the oldest first.
	holds []tender
}

// next returns when the oldest probe or hold ends.
func (ma *market) next() time.Time {
	var next time.Time
	if len(ma.probes) > 0 {
		next = ma.probes[0].expiry
	}
	if len(ma.holds) > 0 {
		next = earliest(next, ma.holds[0].expiry)
	}
	return next
}

// expire drops what has timed out.
func (ma *market) expire(now time.Time) {
	ma.probes = fresh(ma.probes, now)
	ma.askers = fresh(ma.askers, now)
	ma.holds = fresh(ma.holds, now)
}

// fresh returns the tenders that have not expired.
func fresh(tenders []tender, now time.Time) []tender {
	for len(tenders) > 0 && !now.Before(tenders[0].expiry) {
		tenders = tenders[1:]
	}
	return tenders
}

// remove takes the first tender of the peer out. It reports whether there was
// one.
func remove(tenders []tender, peer netip.AddrPort) ([]tender, bool) {
	for at, te := range tenders {
		if te.peer == peer {
			return append(tenders[:at:at], tenders[at+1:]...), true
		}
	}
	return tenders, false
}

// seek keeps probes at some peers while requests wait that may move.
func (de *Dispatcher) seek(now time.Time) {
	waiting := de.queues[ClassUrgent].movable + de.queues[ClassDeferrable].movable
	if waiting == 0 || len(de.peers.takers) == 0 {
		return
	}
	class := ClassDeferrable
	if de.queues[ClassUrgent].movable > 0 {
		class = ClassUrgent
	}
	wanted := min(probeFan*waiting, probeLimit, len(de.peers.takers))
	for tries := 2 * wanted; tries > 0 && len(de.probes) < wanted; tries-- {
		peer := de.peers.takers[de.random.IntN(len(de.peers.takers))]
		if !de.asked(peer) {
			de.probes = append(de.probes, tender{peer: peer, class: class, expiry: now.Add(probeLife)})
			de.emit(Probe{Peer: peer, Class: class})
		}
	}
}

// asked reports whether a probe is out at the peer.
func (de *Dispatcher) asked(peer netip.AddrPort) bool {
	for _, pr := range de.probes {
		if pr.peer == peer {
			return true
		}
	}
	return false
}

// probed keeps the probe of a peer until a slot is free for it.
func (de *Dispatcher) probed(now time.Time, ev Probed) {
	if de.drain.stopping() || de.meter.distrusted(now) {
		return
	}
	de.askers, _ = remove(de.askers, ev.Peer)
	if len(de.askers) >= askerLimit {
		return
	}
	de.askers = append(de.askers, tender{peer: ev.Peer, class: ev.Class, expiry: now.Add(probeLife)})
}

// grant holds a slot for the peer that asked first for the class.
func (de *Dispatcher) grant(now time.Time, cl Class) bool {
	if de.breaker.Open() || de.drain.stopping() {
		return false
	}
	for _, as := range de.askers {
		if as.class != cl {
			continue
		}
		de.askers, _ = remove(de.askers, as.peer)
		de.holds = append(de.holds, tender{peer: as.peer, class: cl, expiry: now.Add(holdTime)})
		de.emit(Grant{Peer: as.peer, Load: de.Load()})
		return true
	}
	return false
}

// granted moves the request that waits first to the peer, or declines.
func (de *Dispatcher) granted(now time.Time, ev Granted) {
	de.probes, _ = remove(de.probes, ev.Peer)
	for cl := range de.queues {
		if jo := de.queues[cl].next((*job).movable); jo != nil {
			de.delegate(now, jo, ev.Peer)
			return
		}
	}
	de.emit(Decline{Peer: ev.Peer})
}

// release ends the hold of a slot for the peer. It reports whether there was
// one.
func (de *Dispatcher) release(peer netip.AddrPort) bool {
	var held bool
	de.holds, held = remove(de.holds, peer)
	return held
}
