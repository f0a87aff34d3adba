package carriage

import "net/netip"

const (
	// localCandidates and remoteCandidates are the numbers of hosts of the
	// balancer's own failure domain and of all others that are preferred for a new
	// flow. A few of them balance the load as well as all hosts would, and a search
	// starts with few messages.
	localCandidates  = 3
	remoteCandidates = 2
	// nonCandidateCost is added to the cost of a host that isn't a candidate; 1 is
	// the cost of a host with all slots taken. Such a host gets a flow only when
	// every candidate is busy, slow or unavailable.
	nonCandidateCost = 1.0
)

// candidates are the agents that rank first for a flow. All balancers of a
// failure domain that know the same agents compute the same candidates, whatever
// they know of the hosts' load and state.
type candidates struct {
	local  [localCandidates]*agent
	remote [remoteCandidates]*agent
}

// candidatesOf ranks the agents of a service for a flow by rendezvous hashing.
func (pl *Placer) candidatesOf(flow Flow, service string) candidates {
	var ca candidates
	var localRanks [localCandidates]uint64
	var remoteRanks [remoteCandidates]uint64
	hash := flow.Hash()
	for _, ag := range pl.pools[service] {
		rank := mix(hash ^ ag.seed)
		if ag.domain == pl.domain {
			insert(ca.local[:], localRanks[:], ag, rank)
		} else {
			insert(ca.remote[:], remoteRanks[:], ag, rank)
		}
	}
	return ca
}

// insert inserts an agent into a list that keeps the agents of the highest ranks,
// the highest first.
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
	for _, it := range ca.local {
		if it == ag {
			return true
		}
	}
	for _, it := range ca.remote {
		if it == ag {
			return true
		}
	}
	return false
}

// list returns the candidates, those of the balancer's own failure domain first.
func (ca *candidates) list() []*agent {
	var list []*agent
	for _, ag := range ca.local {
		if ag != nil {
			list = append(list, ag)
		}
	}
	for _, ag := range ca.remote {
		if ag != nil {
			list = append(list, ag)
		}
	}
	return list
}

// mix spreads a number evenly over 64 bits; it is the finalizer of splitmix64.
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// seedOf returns the number that is combined with a flow's hash to rank the agent
// of the address for the flow.
func seedOf(address netip.AddrPort) uint64 {
	return Flow{Caller: address, Service: address}.Hash()
}
