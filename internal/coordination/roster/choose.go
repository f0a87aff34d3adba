package roster

import (
	"net/netip"
	"slices"

	"github.com/dchest/siphash"

	"corneltiller.dev/corneltiller/internal/coordination/delivery"
)

// WatcherCount is how many balancers watch one subject.
const WatcherCount = 3

// candidate is a balancer with its rendezvous rank for one subject.
type candidate struct {
	delivery.Peer
	rank uint64
}

// ChooseWatchers returns up to WatcherCount balancers by rendezvous hashing:
// the highest rank of the subject's own failure domain first, then the highest
// of other domains, each domain once while there are enough.
func ChooseWatchers(su Subject, domain string, peers []delivery.Peer) []delivery.Peer {
	best := bestByDomain(su, peers)
	slices.SortFunc(best, func(aa, bb candidate) int {
		return compareCandidates(domain, aa, bb)
	})
	best = best[:min(len(best), WatcherCount)]
	if len(best) < WatcherCount {
		best = append(best, ranked(su, without(peers, best))...)
		best = best[:min(len(best), WatcherCount)]
	}
	chosen := make([]delivery.Peer, 0, len(best))
	for _, ca := range best {
		chosen = append(chosen, ca.Peer)
	}
	return chosen
}

// bestByDomain returns the highest ranked balancer of each failure domain.
func bestByDomain(su Subject, peers []delivery.Peer) []candidate {
	at := make(map[string]int)
	var best []candidate
	for _, pe := range peers {
		ca := candidate{Peer: pe, rank: rankOf(su, pe.Address)}
		ii, ok := at[pe.Domain]
		switch {
		case !ok:
			at[pe.Domain] = len(best)
			best = append(best, ca)
		case higher(ca, best[ii]) < 0:
			best[ii] = ca
		}
	}
	return best
}

// ranked returns the balancers from the highest rank to the lowest.
func ranked(su Subject, peers []delivery.Peer) []candidate {
	all := make([]candidate, 0, len(peers))
	for _, pe := range peers {
		all = append(all, candidate{Peer: pe, rank: rankOf(su, pe.Address)})
	}
	slices.SortFunc(all, higher)
	return all
}

// without returns the balancers that are not among the chosen.
func without(peers []delivery.Peer, chosen []candidate) []delivery.Peer {
	rest := make([]delivery.Peer, 0, len(peers))
	for _, pe := range peers {
		taken := slices.ContainsFunc(chosen, func(ca candidate) bool {
			return ca.Address == pe.Address
		})
		if !taken {
			rest = append(rest, pe)
		}
	}
	return rest
}

// compareCandidates puts the own domain first and then the higher rank.
func compareCandidates(domain string, aa, bb candidate) int {
	if (aa.Domain == domain) != (bb.Domain == domain) {
		if aa.Domain == domain {
			return -1
		}
		return 1
	}
	return higher(aa, bb)
}

// higher orders by rank, the highest first, and by address among equals.
func higher(aa, bb candidate) int {
	switch {
	case aa.rank > bb.rank:
		return -1
	case aa.rank < bb.rank:
		return 1
	default:
		return aa.Address.Compare(bb.Address)
	}
}

// rankOf returns the rendezvous rank of a balancer for a subject.
func rankOf(su Subject, balancer netip.AddrPort) uint64 {
	var buf [64]byte
	key, _ := su.Address.AppendBinary(buf[:0])
	key = append(key, byte(su.Role))
	key, _ = balancer.AppendBinary(key)
	return siphash.Hash(rankKey0, rankKey1, key)
}
