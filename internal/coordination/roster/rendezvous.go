package roster

import (
	"net/netip"
	"slices"

	"github.com/dchest/siphash"

	"corneltiller.dev/corneltiller/internal/coordination/delivery"
)

// WatcherCount is the number of balancers that watch one subject. If there are
// fewer, all of them do.
const WatcherCount = 3

// candidate is a balancer with its rendezvous hash for one subject.
type candidate struct {
	delivery.Peer
	rank uint64
}

// ChooseWatchers returns up to WatcherCount balancers by rendezvous hashing: first
// the one with the highest rank in the failure domain of the subject, then the
// highest ranks of other domains. A domain supplies a second watcher only if there
// are fewer domains than watchers.
func ChooseWatchers(su Subject, domain string, peers []delivery.Peer) []delivery.Peer {
	best := bestByDomain(su, peers)
	slices.SortFunc(best, func(aa, bb candidate) int {
		return compareCandidates(domain, aa, bb)
	})
	best = best[:min(len(best), WatcherCount)]
	if len(best) < WatcherCount {
		best = append(best, rankCandidates(su, excluding(peers, best))...)
		best = best[:min(len(best), WatcherCount)]
	}
	chosen := make([]delivery.Peer, 0, len(best))
	for _, ca := range best {
		chosen = append(chosen, ca.Peer)
	}
	return chosen
}

// bestByDomain returns the balancer with the highest rank in each failure domain.
func bestByDomain(su Subject, peers []delivery.Peer) []candidate {
	position := make(map[string]int)
	var best []candidate
	for _, pe := range peers {
		ca := candidate{Peer: pe, rank: rankOf(su, pe.Address)}
		ii, ok := position[pe.Domain]
		switch {
		case !ok:
			position[pe.Domain] = len(best)
			best = append(best, ca)
		case compareRanks(ca, best[ii]) < 0:
			best[ii] = ca
		}
	}
	return best
}

// rankCandidates returns the balancers in order of their rank, highest first.
func rankCandidates(su Subject, peers []delivery.Peer) []candidate {
	all := make([]candidate, 0, len(peers))
	for _, pe := range peers {
		all = append(all, candidate{Peer: pe, rank: rankOf(su, pe.Address)})
	}
	slices.SortFunc(all, compareRanks)
	return all
}

// excluding returns the balancers that are not among the chosen ones.
func excluding(peers []delivery.Peer, chosen []candidate) []delivery.Peer {
	rest := make([]delivery.Peer, 0, len(peers))
	for _, pe := range peers {
		isChosen := slices.ContainsFunc(chosen, func(ca candidate) bool {
			return ca.Address == pe.Address
		})
		if !isChosen {
			rest = append(rest, pe)
		}
	}
	return rest
}

// compareCandidates orders balancers of the given failure domain first, and then
// by rank, highest first.
func compareCandidates(domain string, aa, bb candidate) int {
	if (aa.Domain == domain) != (bb.Domain == domain) {
		if aa.Domain == domain {
			return -1
		}
		return 1
	}
	return compareRanks(aa, bb)
}

// compareRanks orders by rank, highest first, and by address if the ranks are
// equal.
func compareRanks(aa, bb candidate) int {
	switch {
	case aa.rank > bb.rank:
		return -1
	case aa.rank < bb.rank:
		return 1
	default:
		return aa.Address.Compare(bb.Address)
	}
}

// rankOf returns the rendezvous hash of a balancer for a subject.
func rankOf(su Subject, balancer netip.AddrPort) uint64 {
	var buf [64]byte
	key, _ := su.Address.AppendBinary(buf[:0])
	key = append(key, byte(su.Role))
	key, _ = balancer.AppendBinary(key)
	return siphash.Hash(hashKey0, hashKey1, key)
}
