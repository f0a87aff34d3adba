package carriage

import (
	"net/netip"
	"time"
)

// isolationTimeout is how long a balancer to which all agents of a service are
// silent waits for the answers of the other balancers before it can count as
// isolated: a few pings.
const isolationTimeout = 120 * time.Millisecond

// isolation distinguishes a balancer that is cut off from the internal network
// from one whose hosts are down: the latter still gets answers from at least
// half of the other balancers. An isolated balancer that callers still reach
// refuses openings at once, so that the callers come back through another
// balancer.
type isolation struct {
	// otherBalancers is the number of other balancers.
	otherBalancers int
	// silentSince is when all agents of a service were first found silent, zero
	// after any suspected agent was heard.
	silentSince time.Time
	// answered are the balancers heard since silentSince.
	answered map[netip.AddrPort]struct{}
}

// SetOtherBalancers sets the number of other balancers.
func (pl *Placer) SetOtherBalancers(count int) { pl.otherBalancers = count }

// HandlePeerAlive handles a message without a report that shows that its sender, an
// agent or another balancer, is alive.
func (pl *Placer) HandlePeerAlive(now time.Time, from netip.AddrPort) []Action {
	pl.actions = pl.actions[:0]
	if ag, ok := pl.agents[from]; ok {
		pl.markAlive(now, ag)
		return pl.actions
	}
	if !pl.silentSince.IsZero() {
		pl.answered[from] = struct{}{}
	}
	return pl.actions
}

// pingBalancers pings the other balancers because all agents of a service are
// silent.
func (pl *Placer) pingBalancers(now time.Time) {
	if pl.silentSince.IsZero() {
		pl.silentSince = now
		pl.answered = make(map[netip.AddrPort]struct{})
	}
	pl.actions = append(pl.actions, Action{Kind: KindPingBalancers})
}

// allSilent reports whether all agents of the service are suspected. Those of evacuated
// domains don't count: they get no openings, by which their silence would show.
func (pl *Placer) allSilent(service string) bool {
	for _, ag := range pl.pools[service] {
		if !ag.suspect && !ag.evacuated {
			return false
		}
	}
	return true
}

// isolated reports whether the balancer is isolated: all agents of a service have
// been silent for isolationTimeout and less than half of the other balancers have
// answered, or there is no other balancer. Within startupTime it reports false, as
// the other processes may be starting too.
func (pl *Placer) isolated(now time.Time) bool {
	if pl.silentSince.IsZero() || now.Before(pl.startup) || now.Sub(pl.silentSince) < isolationTimeout {
		return false
	}
	return 2*len(pl.answered) < max(pl.otherBalancers, 1)
}
