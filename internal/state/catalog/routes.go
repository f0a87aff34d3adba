package catalog

import (
	"net/netip"
	"time"
)

// Routes is the part of a configuration that the carrying of flows needs:
// which service each address belongs to. It is immutable.
type Routes struct {
	// Version grows with each accepted configuration, by irregular steps.
	Version uint64
	// Addresses are the addresses that callers may open flows to.
	Addresses map[netip.AddrPort]Route
	// HealthPaths are the paths at which the hosts of a service tell their health.
	HealthPaths map[string]string
	// IdleTimeout is how long a flow may be silent before it may be forgotten.
	IdleTimeout time.Duration
}

// Route says where new flows of one address go and what their requests need.
type Route struct {
	// Services are the services that new flows go to.
	Services WeightedServices
	// LatencyTarget is the time within which a caller should have its answer, zero
	// without one.
	LatencyTarget time.Duration
	// Priority orders requests when not all can be served at once: the lowest
	// goes first.
	Priority uint8
}

// WeightedServices names the services that new flows of one address go to.
type WeightedServices []WeightedService

// WeightedService is a service with its share of an address's new flows.
type WeightedService struct {
	Service string
	// Weight is relative to the other services of the same address.
	Weight uint32
}

// Pick returns the service of a flow with that hash, "" if there is none.
func (de WeightedServices) Pick(hash uint64) string {
	total := uint64(0)
	for _, ws := range de {
		total += uint64(ws.Weight)
	}
	if total == 0 {
		return ""
	}
	place := hash % total
	for _, ws := range de {
		if place < uint64(ws.Weight) {
			return ws.Service
		}
		place -= uint64(ws.Weight)
	}
	return ""
}

// Contains reports whether new flows may go to the service.
func (de WeightedServices) Contains(service string) bool {
	for _, ws := range de {
		if ws.Service == service && ws.Weight > 0 {
			return true
		}
	}
	return false
}
