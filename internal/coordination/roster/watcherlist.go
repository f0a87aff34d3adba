package roster

import (
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/delivery"
)

// Times after which an announcer asks its watchers again or replaces them.
const (
	// confirmationLifetime is how long after its confirmation a watcher counts as
	// knowing the list of watchers. Heartbeats to it carry no list until then.
	confirmationLifetime = 8 * time.Second
	// watcherTimeout is the time within which a watcher must confirm a list that
	// it was sent. It is avoided otherwise.
	watcherTimeout = 4 * time.Second
	// avoidDuration is how long a balancer that did not confirm in time is not
	// chosen again, unless all balancers are avoided.
	avoidDuration = 30 * time.Second
)

// chosenWatcher is a watcher of this node with the state of its confirmation.
type chosenWatcher struct {
	delivery.Peer
	// confirmedUntil is when the last confirmation expires; zero without one.
	confirmedUntil time.Time
	// confirmDeadline is when the watcher is replaced unless it confirms; zero if
	// no confirmation is awaited.
	confirmDeadline time.Time
}

// SetPeers chooses the watchers among the balancers of the view and sends the new
// list to those that no longer watch. The size of the fleet, in members, sets the
// least interval between load announcements.
func (an *Announcer) SetPeers(peers []delivery.Peer, fleetSize int, now time.Time) []Action {
	an.fleetSize = fleetSize
	an.peers = peers
	return an.chooseWatchers(now)
}

// chooseWatchers replaces the watchers if rendezvous hashing over the candidates
// yields others. The new watchers get a heartbeat with the next Tick.
func (an *Announcer) chooseWatchers(now time.Time) []Action {
	chosen := ChooseWatchers(an.subject, an.domain(), an.candidates(now))
	if slices.EqualFunc(chosen, an.watchers, func(pe delivery.Peer, cw chosenWatcher) bool {
		return pe == cw.Peer
	}) {
		return nil
	}
	dismissed := an.watchers
	an.watchers = nil
	for _, pe := range chosen {
		an.watchers = append(an.watchers, chosenWatcher{Peer: pe})
	}
	an.watcherChanges++
	an.nextHeartbeat = now
	an.beat++
	var acts []Action
	for _, cw := range dismissed {
		if !slices.Contains(chosen, cw.Peer) {
			acts = an.sendHeartbeat(acts, cw.Address, true, now)
		}
	}
	return acts
}

// candidates returns the balancers other than this node that are not avoided, or
// all other balancers if every one is avoided.
func (an *Announcer) candidates(now time.Time) []delivery.Peer {
	var all, available []delivery.Peer
	for _, pe := range an.peers {
		if pe.Address == an.control {
			continue
		}
		all = append(all, pe)
		if !now.Before(an.avoidedUntil[pe.Address]) {
			available = append(available, pe)
		}
	}
	if len(available) == 0 {
		return all
	}
	return available
}

// replaceUnconfirmed avoids the watchers that did not confirm the list in time and
// chooses again. The next heartbeats then start watcherTimeout anew for all
// watchers.
func (an *Announcer) replaceUnconfirmed(now time.Time) []Action {
	overdue := false
	for _, cw := range an.watchers {
		if !cw.confirmDeadline.IsZero() && !now.Before(cw.confirmDeadline) {
			an.avoidedUntil[cw.Address] = now.Add(avoidDuration)
			overdue = true
		}
	}
	if !overdue {
		return nil
	}
	acts := an.chooseWatchers(now)
	for ii := range an.watchers {
		an.watchers[ii].confirmDeadline = time.Time{}
	}
	return acts
}

// WatcherChanges returns how often the watchers changed.
func (an *Announcer) WatcherChanges() uint64 {
	return an.watcherChanges
}

// Watchers returns the balancers that watch this node.
func (an *Announcer) Watchers() []delivery.Peer {
	peers := make([]delivery.Peer, 0, len(an.watchers))
	for _, cw := range an.watchers {
		peers = append(peers, cw.Peer)
	}
	return peers
}

// confirm records whether the watcher knows the list of watchers. One that does
// not is sent the list with the next heartbeat.
func (cw *chosenWatcher) confirm(known bool, now time.Time) {
	cw.confirmDeadline = time.Time{}
	cw.confirmedUntil = time.Time{}
	if known {
		cw.confirmedUntil = now.Add(confirmationLifetime)
	}
}
