package balancer

import (
	"net/netip"

	"corneltiller.dev/corneltiller/internal/protocol/envelope"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// addressEntry names the service of an address and the address's index in it.
type addressEntry struct {
	service register.ServiceID
	index   uint8
}

// addresses maps service addresses to services and back. It is immutable.
type addresses struct {
	version catalog.Version
	entries map[netip.AddrPort]addressEntry
	byID    map[register.ServiceID][]netip.AddrPort
}

func newAddresses(cfg *catalog.Configuration) *addresses {
	ad := &addresses{
		version: cfg.Version,
		entries: make(map[netip.AddrPort]addressEntry),
		byID:    make(map[register.ServiceID][]netip.AddrPort),
	}
	for _, sv := range cfg.Services {
		ad.byID[sv.ID] = sv.Addresses
		for i, address := range sv.Addresses {
			ad.entries[address] = addressEntry{service: sv.ID, index: uint8(i)}
		}
	}
	return ad
}

// fromEnvelope returns the service address that an envelope names by service and
// index. It returns false for one that the configuration lacks.
func (ad *addresses) fromEnvelope(en *envelope.Envelope) (netip.AddrPort, bool) {
	list := ad.byID[en.Service]
	if int(en.AddressIndex) >= len(list) {
		return netip.AddrPort{}, false
	}
	return list[en.AddressIndex], true
}
