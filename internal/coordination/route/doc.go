// Package route selects the host that receives a caller's packet, by weighted
// rendezvous hashing with a chain of hosts that may hold the packet's flow.
//
// It has two parts: a balancer's Table of hosts and an agent's FlowTable of
// flows. Neither uses a socket, a clock or a goroutine; the caller passes in the
// time and carries out the decisions.
//
// # Table
//
// A caller's address is hashed with a secret key into one of BucketCount
// buckets of its service. The hosts of the service are ranked for every bucket
// by weighted rendezvous hashing (Thaler and Ravishankar, 1998); the best one
// that takes new work owns the bucket. The ranking depends on the host records
// alone, so balancers with the same records agree without messages, and a change
// of one host moves only the buckets which that host gains or loses.
//
// Balancers learn of a change at different times. The chain of a packet
// therefore names, after the owner, the hosts that may have owned the bucket
// within the last HolderWindow, as far as MaxChain allows. A host whose share
// changed within that time, or that drains, is unsettled; the other hosts that
// take new work are settled. The possible holders are computed from the highest
// and the lowest weight of the unsettled hosts in that time, so no state is kept
// for a bucket.
//
// # FlowTable
//
// An agent accepts a packet of a flow that its host holds. Otherwise it forwards
// the packet along the chain; the last possible holder returns it to the first
// host, which opens the flow. Each agent on the way keeps a forwarding entry: the
// host to which it sent the flow's packet. Two balancers with different views
// therefore reach the same host, whichever of them has the newer view. The entries
// are refreshed by the flow's packets and may outlive the time for which the chain
// names the host. The first host of a chain, unless it has few flows, offers a new
// flow to the second choice if that one's LoadScore is lower or not known.
//
// # Usage
//
//	ta := route.NewTable(route.DeriveKey(secret), now, hosts)
//	chain := ta.Candidates(service, caller)
//	ta = ta.Next(now, changed) // and again at ta.Deadline()
//
//	fl := route.NewFlowTable(self, key, now, capacity)
//	de := fl.Decide(now, packet)
//	switch de.Action {
//	case route.ActionAccept, route.ActionOpen:
//		deliver(payload)
//	case route.ActionForward:
//		send(de.To, de.Header, payload)
//	case route.ActionDrop:
//		count(de.Reason)
//	}
package route
