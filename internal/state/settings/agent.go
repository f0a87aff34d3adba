package settings

import "net/netip"

// Agent holds the settings of an agent.
type Agent struct {
	Common
	// Datagrams is the address on which datagrams arrive that are wrapped in
	// envelopes.
	Datagrams netip.AddrPort `need:"yes" listen:"udp" announce:"yes"`
	// Service is the number of the service that the backend server serves.
	Service uint32 `min:"1" max:"16777215"`
	// Backend is the HTTP address of the backend server.
	Backend netip.AddrPort `need:"yes"`
	// Slots is the number of requests that the backend server processes at once.
	Slots int `min:"1" max:"1024"`
	// Seeds are the control addresses of balancers to which the agent announces
	// itself.
	Seeds []netip.AddrPort `need:"yes"`
	// Workers is the number of goroutines that process datagrams.
	Workers int `min:"1" max:"64"`
}

// check adds the faults that tags can't express.
func (ag *Agent) check(ch *checker) {
	if ag.Backend.IsValid() && (ag.Backend == ag.Control || ag.Backend == ag.Metrics) {
		ch.addFault("Backend", ag.Backend.String(), "the backend server's address, not one of the agent's own")
	}
	ch.checkKeys(ag.Keys)
}
