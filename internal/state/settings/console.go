package settings

import "net/netip"

// Console holds the settings of the operators' console.
type Console struct {
	// Platform is the address of the platform's object API.
	Platform netip.AddrPort `need:"yes"`
	// Balancers are control addresses of balancers, any one of which answers
	// questions about the fleet.
	Balancers []netip.AddrPort
	// Owner is the name under which changes are made; it may be left out for
	// queries.
	Owner string
	// OwnerKey is the PEM file of the owner's Ed25519 private key.
	OwnerKey string `file:"start"`
	// Keys names the key files for links to balancers.
	Keys Keys
	// History is the file that keeps what was typed, none if it is empty.
	History string
}

// check adds the faults that no tag can express.
func (co *Console) check(ch *checker) {
	if co.Owner != "" && co.OwnerKey == "" {
		ch.fault("OwnerKey", "nothing", "the PEM file of the owner's private key, as Owner is set")
	}
	ch.checkReadable("OwnerKey", co.OwnerKey)
	ch.checkKeys(co.Keys)
}
