package catalog

import (
	"net/netip"
	"slices"
	"time"
)

// Routes is the part of a configuration that forwarding flows needs: to which
// services the flows to each address go. It is immutable.
type Routes struct {
	// Version grows with each accepted configuration, not necessarily by one.
	Version uint64
	Coverage
	// Addresses are the addresses that callers may open flows to.
	Addresses map[netip.AddrPort]Route
	// Former are the versions by which addresses have lost the services that they name with
	// a weight of zero. One that isn't there may have been lost by this version.
	Former map[FormerService]uint64
	// HealthPaths are the HTTP paths at which hosts report their health, by the
	// name of their service.
	HealthPaths map[string]string
	// IdleTimeout is how long a flow may be idle before its state may be removed.
	IdleTimeout time.Duration
	// WarmUps are the limits of the services whose hosts can take only a part of their
	// usual rate while they are cold, by the service's name. It is nil if none has one.
	WarmUps map[string]WarmUp
}

// The greatest values of a WarmUp. Greater ones come from a faulty configuration.
const (
	MaxWarmUpDuration  = time.Hour
	MaxWarmUpPerSecond = 100_000
)

// WarmUp is the limit of a service's hosts while they are cold.
type WarmUp struct {
	// Duration is how long a host is cold after it starts, zero if unknown.
	Duration time.Duration
	// PerSecond is the number of requests that a cold host can take in a second.
	PerSecond float64
}

// IsValid reports whether the warm-up sets a limit within the greatest values.
func (wu WarmUp) IsValid() bool {
	return wu.PerSecond > 0 && wu.PerSecond <= MaxWarmUpPerSecond && wu.Duration >= 0 && wu.Duration <= MaxWarmUpDuration
}

// WithWarmUpsOf returns the routes, with the warm-up limits of the others of the same
// version if it has none itself.
func (ro *Routes) WithWarmUpsOf(other *Routes) *Routes {
	if len(ro.WarmUps) > 0 || len(other.WarmUps) == 0 {
		return ro
	}
	merged := *ro
	merged.WarmUps = other.WarmUps
	return &merged
}

// Route says which services get the new flows to one address, and how urgent
// their requests are.
type Route struct {
	// Services are the services that new flows go to and, with a weight of zero, those
	// that may only hold older flows.
	Services WeightedServices
	// LatencyTarget is the time within which a caller should get its answer; zero
	// means that there is no target.
	LatencyTarget time.Duration
	// Priority orders requests when not all can be served at once: the lowest
	// value is served first.
	Priority uint8
}

// WeightedServices are the services among which the new flows to one address
// are divided.
type WeightedServices []WeightedService

// WeightedService is a service with its share of the new flows to an address.
type WeightedService struct {
	Service string
	// Weight is relative to the other services of the same address.
	Weight uint32
}

// Pick returns the service for a flow with that hash, in proportion to the
// weights, or "" if no service has a weight above zero.
func (ws WeightedServices) Pick(hash uint64) string {
	total := uint64(0)
	for _, sv := range ws {
		total += uint64(sv.Weight)
	}
	if total == 0 {
		return ""
	}
	offset := hash % total
	for _, sv := range ws {
		if offset < uint64(sv.Weight) {
			return sv.Service
		}
		offset -= uint64(sv.Weight)
	}
	return ""
}

// Names reports whether the service gets new flows or may hold older ones: one of
// weight zero gets none.
func (ws WeightedServices) Names(service string) bool {
	return slices.ContainsFunc(ws, func(sv WeightedService) bool { return sv.Service == service })
}

// Contains reports whether the service may get new flows.
func (ws WeightedServices) Contains(service string) bool {
	for _, sv := range ws {
		if sv.Service == service && sv.Weight > 0 {
			return true
		}
	}
	return false
}
