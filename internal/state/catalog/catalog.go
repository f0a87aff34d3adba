// Package catalog holds the accepted configuration: the services, their
// addresses, the backend servers that may serve them, the traffic classes and
// the owner who has the final say.
//
// # Usage
//
//	sv, ok := cfg.ServiceAt(address)
package catalog

import (
	"net/netip"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// Version orders configurations: first by the term of the final say, then by
// the number of the change. An instance never applies a lower version.
type Version struct {
	Term   uint64
	Number uint64
}

// Less reports whether ve is strictly older than other.
func (ve Version) Less(other Version) bool {
	if ve.Term != other.Term {
		return ve.Term < other.Term
	}
	return ve.Number < other.Number
}

// Service is one service of a tenant firm.
type Service struct {
	ID   register.ServiceID
	Name string
	// Firm is the tenant firm that the service belongs to.
	Firm string
	// Addresses are where callers reach the service.
	Addresses []netip.AddrPort
	// Hosts are the address ranges whose hosts may serve the service.
	Hosts []netip.Prefix
}

// Configuration is one accepted, immutable version.
type Configuration struct {
	Version  Version
	Services []Service
}

// ServiceAt returns the service that owns the address.
func (co *Configuration) ServiceAt(address netip.AddrPort) (Service, bool) {
	for _, sv := range co.Services {
		for _, ad := range sv.Addresses {
			if ad == address {
				return sv, true
			}
		}
	}
	return Service{}, false
}
