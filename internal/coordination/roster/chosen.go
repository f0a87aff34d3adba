package roster

import (
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/delivery"
)

// How an announcer keeps watchers that answer.
const (
	// confirmationLifetime is how long a watcher counts as knowing the list of
	// watchers before it is asked again.
	confirmationLifetime = 8 * time.Second
	// watcherTimeout is how long a watcher may leave the list unconfirmed.
	watcherTimeout = 4 * time.Second
	// avoidance is how long a balancer that did not confirm is not chosen.
	avoidance = 30 * time.Second
)

// watcherLink is a chosen watcher and how long it counts as knowing the list
// of watchers.
type watcherLink struct {
	delivery.Peer
	confirmedUntil time.Time
	// askedUntil is when the watcher is given up; zero if it was not asked.
	askedUntil time.Time
}

// SetPeers chooses the watchers among the balancers that are present, and
// tells those that no longer watch. The fleet's size bounds how often load is
// announced.
func (an *Announcer) SetPeers(peers []delivery.Peer, fleetSize int, now time.Time) []Action {
	an.fleetSize = fleetSize
	an.peers = peers
	return an.choose(now)
}

// choose takes new watchers if the set of candidates demands it.
func (an *Announcer) choose(now time.Time) []Action {
	chosen := ChooseWatchers(an.subject, an.domain(), an.candidates(now))
	if slices.EqualFunc(chosen, an.watchers, func(pe delivery.Peer, wl watcherLink) bool {
		return pe == wl.Peer
	}) {
		return nil
	}
	dismissed := an.watchers
	an.watchers = nil
	for _, pe := range chosen {
		an.watchers = append(an.watchers, watcherLink{Peer: pe})
	}
	an.watcherChanges++
	an.nextHeartbeat = now
	an.beat++
	var acts []Action
	for _, wl := range dismissed {
		if !slices.Contains(chosen, wl.Peer) {
			acts = an.beatTo(acts, wl.Address, true, now)
		}
	}
	return acts
}

// candidates returns the balancers that may be chosen: the other ones that are
// not avoided, or all other ones if none is left.
func (an *Announcer) candidates(now time.Time) []delivery.Peer {
	var all, answering []delivery.Peer
	for _, pe := range an.peers {
		if pe.Address == an.control {
			continue
		}
		all = append(all, pe)
		if !now.Before(an.avoided[pe.Address]) {
			answering = append(answering, pe)
		}
	}
	if len(answering) == 0 {
		return all
	}
	return answering
}

// giveUpSilent avoids the watchers that did not confirm in time.
func (an *Announcer) giveUpSilent(now time.Time) []Action {
	silent := false
	for _, wl := range an.watchers {
		if !wl.askedUntil.IsZero() && !now.Before(wl.askedUntil) {
			an.avoided[wl.Address] = now.Add(avoidance)
			silent = true
		}
	}
	if !silent {
		return nil
	}
	acts := an.choose(now)
	for ii := range an.watchers {
		an.watchers[ii].askedUntil = time.Time{}
	}
	return acts
}

// WatcherChanges counts how often the watchers changed.
func (an *Announcer) WatcherChanges() uint64 {
	return an.watcherChanges
}

// Watchers returns the balancers that watch this node.
func (an *Announcer) Watchers() []delivery.Peer {
	peers := make([]delivery.Peer, 0, len(an.watchers))
	for _, wl := range an.watchers {
		peers = append(peers, wl.Peer)
	}
	return peers
}

// confirm notes the answer of the watcher.
func (wl *watcherLink) confirm(known bool, now time.Time) {
	wl.askedUntil = time.Time{}
	wl.confirmedUntil = time.Time{}
	if known {
		wl.confirmedUntil = now.Add(confirmationLifetime)
	}
}
