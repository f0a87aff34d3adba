package delivery

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// Peer is another node that takes part in the gossip.
type Peer struct {
	// Address is where the peer takes links.
	Address netip.AddrPort
	// Domain is the peer's failure domain.
	Domain string
}

// The overlay of links that one node keeps.
const (
	// LocalNeighbours are chosen inside the failure domain.
	LocalNeighbours = 3
	// CrossNeighbours are chosen in other failure domains.
	CrossNeighbours = 1
	// MaxNeighbours bounds the peers that deltas go to, those included that
	// chose this node.
	MaxNeighbours = 10
	// NeighbourLifetime is how long a neighbour is kept, so that an unlucky
	// overlay does not last.
	NeighbourLifetime = 10 * time.Minute
	// ReverseLifetime is how long a peer counts that chose this node.
	ReverseLifetime = time.Minute
)

// neighbour is a peer that deltas are sent to.
type neighbour struct {
	Peer
	deadline time.Time
	// chosen is false for a peer that chose this node.
	chosen bool
}

// neighbourhood chooses a few peers, most of them in the own failure domain.
type neighbourhood struct {
	self   Peer
	peers  []Peer
	places map[netip.AddrPort]string
	chosen []neighbour
}

// setPeers replaces the set of candidates and drops neighbours that left it, or
// that were chosen before their failure domain was known.
func (nh *neighbourhood) setPeers(peers []Peer) {
	nh.peers = peers
	known := make(map[netip.AddrPort]string, len(peers))
	for _, pe := range peers {
		known[pe.Address] = pe.Domain
	}
	nh.places = known
	nh.chosen = slices.DeleteFunc(nh.chosen, func(ne neighbour) bool {
		domain, ok := known[ne.Address]
		return ne.chosen && (!ok || domain != ne.Domain)
	})
}

// renew drops neighbours whose deadline has passed and chooses new ones.
func (nh *neighbourhood) renew(now time.Time, rng *rand.Rand) {
	nh.chosen = slices.DeleteFunc(nh.chosen, func(ne neighbour) bool {
		return !now.Before(ne.deadline)
	})
	local, cross := 0, 0
	for _, ne := range nh.chosen {
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

// choose adds up to count neighbours from inside or outside the domain.
func (nh *neighbourhood) choose(now time.Time, rng *rand.Rand, count int, inside bool) {
	nh.pick(now, rng, count, func(pe Peer) bool {
		return (pe.Domain == nh.self.Domain) == inside
	})
}

// fill adds neighbours from anywhere when a small fleet offers too few in one
// of the two places.
func (nh *neighbourhood) fill(now time.Time, rng *rand.Rand) {
	chosen := 0
	for _, ne := range nh.chosen {
		if ne.chosen {
			chosen++
		}
	}
	missing := LocalNeighbours + CrossNeighbours - chosen
	nh.pick(now, rng, missing, func(Peer) bool { return true })
}

// attemptsPerPick bounds the random draws for one neighbour.
const attemptsPerPick = 40

// pick adds up to count random peers that satisfy the condition.
func (nh *neighbourhood) pick(now time.Time, rng *rand.Rand, count int, want func(Peer) bool) {
	for ; count > 0; count-- {
		if len(nh.peers) <= len(nh.chosen) && nh.allChosen() {
			return
		}
		for range attemptsPerPick {
			pe := nh.peers[rng.IntN(len(nh.peers))]
			if !want(pe) || pe.Address == nh.self.Address || nh.picked(pe.Address) {
				continue
			}
			nh.adopt(pe, now, rng)
			break
		}
	}
}

// allChosen reports whether no peer is left to choose.
func (nh *neighbourhood) allChosen() bool {
	return !slices.ContainsFunc(nh.peers, func(pe Peer) bool {
		return pe.Address != nh.self.Address && !nh.picked(pe.Address)
	})
}

// adopt adds the peer as a chosen neighbour for a lifetime with some spread.
func (nh *neighbourhood) adopt(pe Peer, now time.Time, rng *rand.Rand) {
	nh.chosen = slices.DeleteFunc(nh.chosen, func(ne neighbour) bool {
		return ne.Address == pe.Address
	})
	lifetime := NeighbourLifetime + time.Duration(rng.Int64N(int64(NeighbourLifetime)))
	nh.chosen = append(nh.chosen, neighbour{Peer: pe, deadline: now.Add(lifetime), chosen: true})
}

// picked reports whether the address is a neighbour that this node chose.
func (nh *neighbourhood) picked(address netip.AddrPort) bool {
	return slices.ContainsFunc(nh.chosen, func(ne neighbour) bool {
		return ne.chosen && ne.Address == address
	})
}

// heard notes a peer that sends gossip to this node, so that it gets deltas.
func (nh *neighbourhood) heard(address netip.AddrPort, now time.Time) {
	deadline := now.Add(ReverseLifetime)
	for ii := range nh.chosen {
		if nh.chosen[ii].Address == address {
			if !nh.chosen[ii].chosen {
				nh.chosen[ii].deadline = deadline
			}
			return
		}
	}
	domain, ok := nh.places[address]
	if !ok || len(nh.chosen) >= MaxNeighbours {
		return
	}
	pe := Peer{Address: address, Domain: domain}
	nh.chosen = append(nh.chosen, neighbour{Peer: pe, deadline: deadline})
}

// random returns one of the neighbours that this node chose.
func (nh *neighbourhood) random(rng *rand.Rand) (Peer, bool) {
	return nh.randomBut(netip.AddrPort{}, rng)
}

// randomBut returns a random neighbour that this node chose, the avoided one only
// if there is no other.
func (nh *neighbourhood) randomBut(avoided netip.AddrPort, rng *rand.Rand) (Peer, bool) {
	var own []Peer
	last, found := Peer{}, false
	for _, ne := range nh.chosen {
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
