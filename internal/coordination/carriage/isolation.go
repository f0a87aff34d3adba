package carriage

import (
	"net/netip"
	"time"
)

// isolationTimeout is how long a balancer whose agents are all silent waits for
// the other balancers' answers until it takes itself for cut off: a few pings.
const isolationTimeout = 120 * time.Millisecond

// isolation tells a balancer that is cut off from one whose hosts are gone: to
// the latter most other balancers answer. It answers a cut that the callers'
// side doesn't share, where a caller that is refused at once comes back through
// another balancer.
type isolation struct {
	// others is the number of other balancers.
	others int
	// doubted is when all agents of a service first fell silent, zero while one
	// of each service answers.
	doubted time.Time
	// answered are the balancers heard since.
	answered map[netip.AddrPort]struct{}
}

// SetOtherBalancers takes the number of other balancers.
func (pl *Placer) SetOtherBalancers(count int) { pl.others = count }

// HandlePeerAlive takes a sign of life of a process that came without a report.
func (pl *Placer) HandlePeerAlive(now time.Time, from netip.AddrPort) []Action {
	pl.out = pl.out[:0]
	if ag, ok := pl.agents[from]; ok {
		pl.trust(now, ag)
		return pl.out
	}
	if !pl.doubted.IsZero() {
		pl.answered[from] = struct{}{}
	}
	return pl.out
}

// doubt asks the other balancers, as all agents of a service are silent.
func (pl *Placer) doubt(now time.Time) {
	if pl.doubted.IsZero() {
		pl.doubted = now
		pl.answered = make(map[netip.AddrPort]struct{})
	}
	pl.out = append(pl.out, Action{Kind: KindPingBalancers})
}

// silent reports whether all agents of the service are silent.
func (pl *Placer) silent(service string) bool {
	for _, ag := range pl.pools[service] {
		if !ag.suspect {
			return false
		}
	}
	return true
}

// isolated reports whether the balancer is cut off: all agents of a service are
// silent and less than half of the other balancers answer. A balancer that has
// just started may be the first of many that start.
func (pl *Placer) isolated(now time.Time) bool {
	if pl.doubted.IsZero() || now.Before(pl.startup) || now.Sub(pl.doubted) < isolationTimeout {
		return false
	}
	return 2*len(pl.answered) < max(pl.others, 1)
}
