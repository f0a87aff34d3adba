package settings

import "net/netip"

// Balancer holds the settings of a balancer.
type Balancer struct {
	Common
	// Callers is the address on which the fabric's frames with callers' datagrams
	// arrive.
	Callers netip.AddrPort `need:"yes" listen:"udp"`
	// Hosts is the address on which agents' answers arrive.
	Hosts netip.AddrPort `need:"yes" listen:"udp" announce:"yes"`
	// Fabric is the address to which answers are sent when the fabric wraps
	// datagrams in frames. Without it the balancer itself listens on the services'
	// addresses.
	Fabric netip.AddrPort
	// Platform is the address of the platform's object API.
	Platform netip.AddrPort
	// Seeds are the control addresses of balancers through which this one joins
	// the others.
	Seeds []netip.AddrPort
	// Services are the services in force until the platform's configuration is
	// read.
	Services []Service
	// Workers is the number of goroutines that process datagrams, for each UDP
	// address listened on.
	Workers int `min:"1" max:"64"`
}

// check adds the faults that tags can't express.
func (ba *Balancer) check(ch *checker) {
	if !ba.Platform.IsValid() && len(ba.Seeds) == 0 && len(ba.Services) == 0 {
		ch.addFault("Platform", "nothing", "one of Platform, Seeds and Services to take the services from")
	}
	ch.checkServices(ba.Services, !ba.Fabric.IsValid())
	ch.checkKeys(ba.Keys)
}
