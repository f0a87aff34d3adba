package catalog

import (
	"net/netip"
	"slices"
	"time"
)

// FormerServices adds to new routes the services that addresses had before, with a
// weight of zero: they get no new flows, and flows may still be open at their hosts. A
// service is left out once no flow that it got can be open any more. It is not safe for
// concurrent use.
type FormerServices struct {
	lifetime time.Duration
	// until is when the last flow of a former service has ended at the latest.
	until map[formerService]time.Time
}

// formerService is a service that new flows to an address no longer go to.
type formerService struct {
	address netip.AddrPort
	service string
}

// NewFormerServices returns a FormerServices that knows no former service. The lifetime
// is the longest time that a flow may last.
func NewFormerServices(lifetime time.Duration) *FormerServices {
	return &FormerServices{lifetime: lifetime, until: make(map[formerService]time.Time)}
}

// Begin returns the coverage of routes of the version that were just read, and of all that
// are read after them without skipping a version.
func (fs *FormerServices) Begin(now time.Time, version uint64) Coverage {
	return Coverage{From: version, CompleteAt: now.Add(fs.lifetime)}
}

// Succeed returns the next routes with the former services of their addresses. The
// previous routes are those that it returned last, nil before the first, or those that
// another process has of the same version, or older ones that the process didn't have
// before. An address that the next routes lack is gone with its flows.
func (fs *FormerServices) Succeed(now time.Time, previous, next *Routes) *Routes {
	completeAt := now.Add(fs.lifetime)
	merged := *next
	merged.Coverage = next.settle(now, completeAt)
	if previous == nil {
		return &merged
	}
	merged.Coverage = merged.join(previous.settle(now, completeAt), previous.Version)
	merged.Addresses = make(map[netip.AddrPort]Route, len(next.Addresses))
	until := make(map[formerService]time.Time)
	for address, ro := range next.Addresses {
		for _, ws := range previous.Addresses[address].Services {
			if ro.Services.Contains(ws.Service) {
				continue
			}
			key := formerService{address: address, service: ws.Service}
			end, known := fs.until[key]
			if ws.Weight > 0 || !known {
				end = now.Add(fs.lifetime)
			}
			until[key] = end
			if now.Before(end) && !ro.Services.Names(ws.Service) {
				ro.Services = append(slices.Clip(ro.Services), WeightedService{Service: ws.Service})
			}
		}
		merged.Addresses[address] = ro
	}
	fs.until = until
	return &merged
}
