// Package carriage implements the layer-4 load balancing of carried flows: it
// chooses a host for each new flow and decides where every packet of a flow is
// sent. A carried flow is a connection from a caller to a backend server whose
// packets are forwarded unchanged; only their headers are read.
//
// Its two state machines, Placer and Gate, use no sockets, clock or goroutines:
// callers pass in the time and perform the returned actions.
//
// # Placer
//
// A balancer's Placer chooses a host for each opening packet: the one with the
// lowest cost, which grows with the work in progress and is higher in other
// failure domains and while a host warms up. An agent confirms each opening as
// soon as its host accepts it, or when it queues it. An opening that is not
// confirmed within ConfirmTimeout goes to the next host at once, and its agent
// is suspected: it is pinged and gets no new flow until it answers. Failures are
// thus detected from the traffic itself. An opening that an agent can't queue is
// refused at once. If no host is left to try, or after maxAttempts attempts, an
// opening waits if a host may become available soon; otherwise it is refused.
//
// A packet of a flow that the balancer doesn't know, because another balancer
// handled the flow before, starts a search: first the flow's candidates are
// asked, then all agents of the service, and the agent of the host that holds
// the flow answers. An agent that was restarted within the lifetime of a flow
// may answer that its host possibly holds it; such hosts are sent the packet
// itself, one after the other, and return it if they don't hold the flow.
//
// # Gate
//
// An agent's Gate is the admission control in front of its host. The agent is
// the first to know whether the host is draining, which service it serves and
// whether it still answers, so an opening that a balancer sends on outdated
// information is declined and tried elsewhere: this costs one more hop, but the
// host gets no flow that it must not take. A packet that opens no flow is
// delivered only if the host is known to hold its flow, or tentatively if the
// balancer asks for it and the host may hold the flow.
//
// # Usage
//
//	pl := carriage.NewPlacer(now, carriage.PlacerSettings{Domain: "a", OpeningTimeout: timeout})
//	perform(pl.SetRoutes(now, routes))
//	for _, ac := range pl.HandlePacket(now, packet, datagram) {
//		perform(ac)
//	}
//	for _, ac := range pl.Tick(now) { // at pl.Deadline()
//		perform(ac)
//	}
package carriage
