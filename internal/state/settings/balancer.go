package settings

import "net/netip"

// Balancer holds the settings of a balancer.
type Balancer struct {
	Common
	// Callers is the address on which the fabric's frames arrive.
	Callers netip.AddrPort `need:"yes" listen:"udp"`
	// Hosts is the address on which agents' answers arrive.
	Hosts netip.AddrPort `need:"yes" listen:"udp" announce:"yes"`
	// Fabric is where answers are sent when the fabric wraps datagrams in
	// frames. Without it the balancer takes the services' addresses itself.
	Fabric netip.AddrPort
	// Platform is the address of the platform's object API.
	Platform netip.AddrPort
	// Seeds are the control addresses of balancers to join by.
	Seeds []netip.AddrPort
	// Services are in force until the platform's configuration is read.
	Services []Service
	// Workers is the number of datagram workers for each socket.
	Workers int `min:"1" max:"64"`
}

// check adds the faults that no tag can express.
func (ba *Balancer) check(ch *checker) {
	if !ba.Platform.IsValid() && len(ba.Seeds) == 0 && len(ba.Services) == 0 {
		ch.fault("Platform", "nothing", "one of Platform, Seeds and Services to take the services from")
	}
	ch.checkServices(ba.Services, !ba.Fabric.IsValid())
	ch.checkKeys(ba.Keys)
}
