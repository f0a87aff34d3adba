package carriage

import "net/netip"

const (
	// nearCandidates and farCandidates are the numbers of hosts of the balancer's
	// own failure domain and of the others among which a new flow is placed
	// first. A few are as good as all for the load, and a search has few to ask.
	nearCandidates = 3
	farCandidates  = 2
	// strangerCost is what a host costs that isn't a candidate, in shares of a
	// host: it takes a flow only when all candidates are busy.
	strangerCost = 1.0
)

// candidates are the hosts that rank first for a flow. All balancers of a failure
// domain find the same ones, whatever else they know.
type candidates struct {
	near [nearCandidates]*agent
	far  [farCandidates]*agent
}

// candidatesOf ranks the agents of a service for a flow by rendezvous hashing.
func (pl *Placer) candidatesOf(flow Flow, service string) candidates {
	var ca candidates
	var nearRanks [nearCandidates]uint64
	var farRanks [farCandidates]uint64
	hash := flow.Hash()
	for _, ag := range pl.pools[service] {
		rank := mix(hash ^ ag.seed)
		if ag.domain == pl.domain {
			insert(ca.near[:], nearRanks[:], ag, rank)
		} else {
			insert(ca.far[:], farRanks[:], ag, rank)
		}
	}
	return ca
}

// insert keeps the agents of the highest ranks in order.
func insert(agents []*agent, ranks []uint64, ag *agent, rank uint64) {
	for i := range agents {
		if agents[i] == nil || rank > ranks[i] {
			agents[i], ag = ag, agents[i]
			ranks[i], rank = rank, ranks[i]
			if ag == nil {
				return
			}
		}
	}
}

func (ca *candidates) contains(ag *agent) bool {
	for _, it := range ca.near {
		if it == ag {
			return true
		}
	}
	for _, it := range ca.far {
		if it == ag {
			return true
		}
	}
	return false
}

// list returns the candidates.
func (ca *candidates) list() []*agent {
	var list []*agent
	for _, ag := range ca.near {
		if ag != nil {
			list = append(list, ag)
		}
	}
	for _, ag := range ca.far {
		if ag != nil {
			list = append(list, ag)
		}
	}
	return list
}

// mix spreads a number evenly (the finalizer of splitmix64).
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// seedOf returns the number from which an agent's rank for every flow follows.
func seedOf(address netip.AddrPort) uint64 {
	return Flow{Caller: address, Service: address}.Hash()
}
