package balancer

import (
	"net/netip"

	"corneltiller.dev/corneltiller/internal/protocol/envelope"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// entry is one service address.
type entry struct {
	service register.ServiceID
	index   uint8
}

// addresses looks up services by address and addresses by service. It is
// immutable.
type addresses struct {
	version catalog.Version
	entries map[netip.AddrPort]entry
	byID    map[register.ServiceID][]netip.AddrPort
}

func newAddresses(cfg *catalog.Configuration) *addresses {
	ad := &addresses{
		version: cfg.Version,
		entries: make(map[netip.AddrPort]entry),
		byID:    make(map[register.ServiceID][]netip.AddrPort),
	}
	for _, sv := range cfg.Services {
		ad.byID[sv.ID] = sv.Addresses
		for i, address := range sv.Addresses {
			ad.entries[address] = entry{service: sv.ID, index: uint8(i)}
		}
	}
	return ad
}

// at returns the address of a service that an envelope names.
func (ad *addresses) at(en *envelope.Envelope) (netip.AddrPort, bool) {
	list := ad.byID[en.Service]
	if int(en.AddressIndex) >= len(list) {
		return netip.AddrPort{}, false
	}
	return list[en.AddressIndex], true
}
