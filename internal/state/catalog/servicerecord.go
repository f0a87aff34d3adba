package catalog

import (
	"net/netip"
	"slices"
)

// ServiceRecord says which services each address has, and which it had while their flows
// may be open. It outlives all processes: after they have ended at once, the routes in
// force don't say where older flows are. It is immutable.
type ServiceRecord struct {
	// Version is that of the routes that were recorded.
	Version uint64
	// Services are the names of the services by address.
	Services map[netip.AddrPort][]string
}

// NewServiceRecord returns the record of the routes with their former services.
func NewServiceRecord(ro *Routes) *ServiceRecord {
	sr := &ServiceRecord{Version: ro.Version, Services: make(map[netip.AddrPort][]string, len(ro.Addresses))}
	for address, route := range ro.Addresses {
		for _, ws := range route.Services {
			sr.Services[address] = append(sr.Services[address], ws.Service)
		}
	}
	return sr
}

// Covers reports whether the record names all services of the routes. A nil record covers
// none.
func (sr *ServiceRecord) Covers(ro *Routes) bool {
	if sr == nil {
		return false
	}
	for address, route := range ro.Addresses {
		for _, ws := range route.Services {
			if !slices.Contains(sr.Services[address], ws.Service) {
				return false
			}
		}
	}
	return true
}

// Routes returns the record as routes that get no new flows, nil for a nil record. They
// are the previous routes for FormerServices.Succeed.
func (sr *ServiceRecord) Routes() *Routes {
	if sr == nil {
		return nil
	}
	ro := &Routes{Version: sr.Version, Coverage: Coverage{From: sr.Version}, Addresses: make(map[netip.AddrPort]Route, len(sr.Services))}
	for address, names := range sr.Services {
		var services WeightedServices
		for _, name := range names {
			services = append(services, WeightedService{Service: name})
		}
		ro.Addresses[address] = Route{Services: services}
	}
	return ro
}
