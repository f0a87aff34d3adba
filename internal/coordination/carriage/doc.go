// Package carriage decides where the packets of carried flows go. A carried
// flow is opened by a caller's packet and ends at a backend server; the system
// passes its packets on and reads only their heads.
//
// It has two decision cores without sockets, clock or goroutines.
//
// # Placer
//
// A balancer's Placer picks a host for each opening packet: the one with the
// least work in progress, its own failure domain first. It answers the load of
// uneven hosts, hosts that warm up and hosts that die: an agent confirms each
// opening as soon as its host accepts it, and an opening that is not confirmed
// within ConfirmTimeout goes to the next host at once. The silent agent is
// pinged and gets no new flow until it answers, so the traffic itself is the
// failure detector. An opening that every host declined is refused at once.
//
// A packet of a flow that the balancer doesn't know (it was steered by another
// balancer before) starts a search: the flow's candidates are asked, then all
// agents of the service, and the holder answers. An agent that has
// restarted lately answers that it may hold the flow; such hosts get the packet
// itself, one after the other, and return what they don't hold.
//
// # Gate
//
// An agent's Gate is the last hop. It knows first whether its host is leaving,
// which service it serves and whether it still answers, so a balancer with an
// old view costs a hop and never a promise. Only packets of flows that the host
// is known to hold are handed over.
//
// # Usage
//
//	pl := carriage.NewPlacer(now, carriage.PlacerSettings{Domain: "a", OpeningTimeout: patience})
//	perform(pl.SetRoutes(now, routes))
//	for _, ac := range pl.Arrive(now, packet, datagram) {
//		perform(ac)
//	}
//	for _, ac := range pl.Tick(now) { // at pl.Deadline()
//		perform(ac)
//	}
package carriage
