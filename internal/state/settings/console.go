package settings

import "net/netip"

// Console holds the settings of the operators' console.
type Console struct {
	// Platform is the address of the platform's object API.
	Platform netip.AddrPort `need:"yes"`
	// Balancers are control addresses of balancers, any one of which can answer
	// queries about the fleet.
	Balancers []netip.AddrPort
	// Owner is the name of the owner who makes the changes; it may be left out for
	// queries.
	Owner string
	// OwnerKey is the PEM file of the owner's Ed25519 private key.
	OwnerKey string `file:"start"`
	// Keys holds the paths of the key files for connections to balancers.
	Keys Keys
	// History is the file to which typed commands are saved; without it none are
	// saved.
	History string
}

// check adds the faults that tags can't express.
func (co *Console) check(ch *checker) {
	if co.Owner != "" && co.OwnerKey == "" {
		ch.addFault("OwnerKey", "nothing", "the PEM file of the owner's private key, as Owner is set")
	}
	ch.checkReadable("OwnerKey", co.OwnerKey)
	ch.checkKeys(co.Keys)
}
