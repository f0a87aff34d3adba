package delivery

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// Peer is a node that takes part in gossip.
type Peer struct {
	// Address is where the peer accepts connections.
	Address netip.AddrPort
	// Domain is the peer's failure domain.
	Domain string
}

// The neighbours of one node.
const (
	// LocalNeighbours is how many neighbours a node chooses in its own failure
	// domain.
	LocalNeighbours = 3
	// CrossNeighbours is how many it chooses in other failure domains.
	CrossNeighbours = 1
	// MaxNeighbours is the number of neighbours at which no further peer is added
	// for having chosen this node.
	MaxNeighbours = 10
	// NeighbourLifetime is the least time for which a chosen neighbour that
	// remains a candidate is kept; jitter adds up to as much again. Neighbours
	// change so that a poorly connected overlay does not last.
	NeighbourLifetime = 10 * time.Minute
	// ReverseLifetime is how long after its last message a peer that chose this
	// node stays a neighbour.
	ReverseLifetime = time.Minute
)

// neighbour is a peer that deltas are sent to.
type neighbour struct {
	Peer
	deadline time.Time
	// chosen is true if this node chose the peer, false if only the peer chose
	// this node.
	chosen bool
}

// neighbourhood chooses a few peers as neighbours, most of them in this node's
// own failure domain.
type neighbourhood struct {
	self Peer
	// peers are the candidates, domains their failure domains.
	peers   []Peer
	domains map[netip.AddrPort]string
	// current are the neighbours.
	current []neighbour
}

// setPeers replaces the candidates. It drops chosen neighbours that are no longer
// among them or whose failure domain is another than when they were chosen.
func (nh *neighbourhood) setPeers(peers []Peer) {
	nh.peers = peers
	known := make(map[netip.AddrPort]string, len(peers))
	for _, pe := range peers {
		known[pe.Address] = pe.Domain
	}
	nh.domains = known
	nh.current = slices.DeleteFunc(nh.current, func(ne neighbour) bool {
		domain, ok := known[ne.Address]
		return ne.chosen && (!ok || domain != ne.Domain)
	})
}

// renew drops neighbours whose deadline has passed and chooses others instead.
func (nh *neighbourhood) renew(now time.Time, rng *rand.Rand) {
	nh.current = slices.DeleteFunc(nh.current, func(ne neighbour) bool {
		return !now.Before(ne.deadline)
	})
	local, cross := 0, 0
	for _, ne := range nh.current {
		switch {
		case !ne.chosen:
		case ne.Domain == nh.self.Domain:
			local++
		default:
			cross++
		}
	}
	nh.choose(now, rng, LocalNeighbours-local, true)
	nh.choose(now, rng, CrossNeighbours-cross, false)
	nh.fill(now, rng)
}

// choose adds up to count neighbours, from this node's failure domain if inside
// is set, else from the others.
func (nh *neighbourhood) choose(now time.Time, rng *rand.Rand, count int, inside bool) {
	nh.pick(now, rng, count, func(pe Peer) bool {
		return (pe.Domain == nh.self.Domain) == inside
	})
}

// fill adds neighbours of any failure domain when there are too few candidates
// inside or outside this node's own.
func (nh *neighbourhood) fill(now time.Time, rng *rand.Rand) {
	chosen := 0
	for _, ne := range nh.current {
		if ne.chosen {
			chosen++
		}
	}
	missing := LocalNeighbours + CrossNeighbours - chosen
	nh.pick(now, rng, missing, func(Peer) bool { return true })
}

// attemptsPerPick bounds the random draws for one neighbour. If none of them
// fits, the next call of renew tries again.
const attemptsPerPick = 40

// pick adds up to count random peers that satisfy the condition.
func (nh *neighbourhood) pick(now time.Time, rng *rand.Rand, count int, want func(Peer) bool) {
	for ; count > 0; count-- {
		if len(nh.peers) <= len(nh.current) && nh.allChosen() {
			return
		}
		for range attemptsPerPick {
			pe := nh.peers[rng.IntN(len(nh.peers))]
			if !want(pe) || pe.Address == nh.self.Address || nh.hasChosen(pe.Address) {
				continue
			}
			nh.add(pe, now, rng)
			break
		}
	}
}

// allChosen reports whether every candidate but this node is chosen already.
func (nh *neighbourhood) allChosen() bool {
	return !slices.ContainsFunc(nh.peers, func(pe Peer) bool {
		return pe.Address != nh.self.Address && !nh.hasChosen(pe.Address)
	})
}

// add makes the peer a chosen neighbour for NeighbourLifetime plus jitter.
func (nh *neighbourhood) add(pe Peer, now time.Time, rng *rand.Rand) {
	nh.current = slices.DeleteFunc(nh.current, func(ne neighbour) bool {
		return ne.Address == pe.Address
	})
	lifetime := NeighbourLifetime + time.Duration(rng.Int64N(int64(NeighbourLifetime)))
	nh.current = append(nh.current, neighbour{Peer: pe, deadline: now.Add(lifetime), chosen: true})
}

// hasChosen reports whether the address is a neighbour that this node chose.
func (nh *neighbourhood) hasChosen(address netip.AddrPort) bool {
	return slices.ContainsFunc(nh.current, func(ne neighbour) bool {
		return ne.chosen && ne.Address == address
	})
}

// addReverse makes a candidate that sent gossip to this node a neighbour, so that
// deltas are sent to it. It extends the time for which such a peer is a neighbour
// and does not change a neighbour that this node chose.
func (nh *neighbourhood) addReverse(address netip.AddrPort, now time.Time) {
	deadline := now.Add(ReverseLifetime)
	for ii := range nh.current {
		if nh.current[ii].Address == address {
			if !nh.current[ii].chosen {
				nh.current[ii].deadline = deadline
			}
			return
		}
	}
	domain, ok := nh.domains[address]
	if !ok || len(nh.current) >= MaxNeighbours {
		return
	}
	pe := Peer{Address: address, Domain: domain}
	nh.current = append(nh.current, neighbour{Peer: pe, deadline: deadline})
}

// random returns a random neighbour that this node chose.
func (nh *neighbourhood) random(rng *rand.Rand) (Peer, bool) {
	return nh.randomExcept(netip.AddrPort{}, rng)
}

// randomExcept returns a random neighbour that this node chose, the avoided one
// only if there is no other.
func (nh *neighbourhood) randomExcept(avoided netip.AddrPort, rng *rand.Rand) (Peer, bool) {
	var own []Peer
	last, found := Peer{}, false
	for _, ne := range nh.current {
		switch {
		case !ne.chosen:
		case ne.Address == avoided:
			last, found = ne.Peer, true
		default:
			own = append(own, ne.Peer)
		}
	}
	if len(own) == 0 {
		return last, found
	}
	return own[rng.IntN(len(own))], true
}
