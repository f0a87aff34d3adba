// Package route decides which backend server host takes a caller's packet.
//
// It has two halves, both pure decision cores: a balancer's Table and an
// agent's FlowTable. Neither holds a socket, a clock or a goroutine.
//
// # Table
//
// A caller's address is hashed with a secret key into one of BucketCount
// buckets of its service. The hosts of the service rank themselves for every
// bucket by weighted rendezvous hashing (Thaler and Ravishankar, 1998); the
// best one that takes new work owns the bucket. The ranking is a function of
// the host records alone, so balancers need no agreement, and a change of one
// host moves only the buckets which that host gains or loses.
//
// Balancers hear of a change at different times. The chain of a packet
// therefore names, after the owner, the hosts that may have owned the bucket
// within the last HolderWindow. They are found from the highest and the lowest
// weight of the hosts that changed in that time; no bucket has state of its own.
//
// # FlowTable
//
// An agent accepts a packet of a flow that it holds. Otherwise it passes the
// packet along the chain; the last candidate hands it back to the first, which
// opens the flow. Each agent on the way keeps a pointer to where it sent the
// flow, so that two balancers with different views, in either direction, reach
// the same host. The pointers are refreshed by the flow's packets and outlive
// the chain. A host under more pressure than its second choice offers a new
// flow to it (late binding).
//
// # Usage
//
//	ta := route.NewTable(route.KeyOf(secret), now, hosts)
//	chain := ta.Candidates(service, caller)
//	ta = ta.Next(now, changed) // and again at ta.Deadline()
//
//	fl := route.NewFlowTable(self, capacity, key)
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
