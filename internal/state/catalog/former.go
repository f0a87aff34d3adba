package catalog

import (
	"net/netip"
	"slices"
	"time"
)

// FormerService is a service that new flows to an address no longer go to.
type FormerService struct {
	Address netip.AddrPort
	Service string
}

// FormerServices adds to new routes the services that addresses had before, with a
// weight of zero: they get no new flows, and flows may still be open at their hosts. A
// service is left out once no flow that it got can be open any more. It is not safe for
// concurrent use.
type FormerServices struct {
	lifetime time.Duration
	endings  map[FormerService]ending
}

// ending says when the last flow that a former service got has ended at the latest.
type ending struct {
	// version is the one that took the service from the address. The address may have it
	// again for a while, in versions that this process hasn't seen.
	version uint64
	at      time.Time
}

// NewFormerServices returns a FormerServices that knows no former service. The lifetime
// is the longest time that a flow may last.
func NewFormerServices(lifetime time.Duration) *FormerServices {
	return &FormerServices{lifetime: lifetime, endings: make(map[FormerService]ending)}
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
	if previous == nil {
		previous = &Routes{}
	}
	completeAt := now.Add(fs.lifetime)
	merged := *next
	merged.Coverage = next.settle(now, completeAt).join(previous.settle(now, completeAt), previous.Version)
	merged.Addresses = make(map[netip.AddrPort]Route, len(next.Addresses))
	merged.Former = nil
	su := succession{FormerServices: fs, now: now, previous: previous, next: next, endings: make(map[FormerService]ending)}
	for address, ro := range next.Addresses {
		ro.Services = su.services(address, ro.Services)
		merged.Addresses[address] = ro
		merged.noteFormer(address, su.endings)
	}
	fs.endings = su.endings
	return &merged
}

// noteFormer notes by which versions the address has lost its former services.
func (ro *Routes) noteFormer(address netip.AddrPort, endings map[FormerService]ending) {
	for _, ws := range ro.Addresses[address].Services {
		if ws.Weight > 0 {
			continue
		}
		if ro.Former == nil {
			ro.Former = make(map[FormerService]uint64)
		}
		key := FormerService{Address: address, Service: ws.Service}
		ro.Former[key] = endings[key].version
	}
}

// endedBy returns the version that took a service of weight zero from its address, as far as
// is known: that of the routes otherwise.
func (ro *Routes) endedBy(key FormerService) uint64 {
	if version, ok := ro.Former[key]; ok {
		return version
	}
	return ro.Version
}

// succession is the state of one call of Succeed.
type succession struct {
	*FormerServices
	now            time.Time
	previous, next *Routes
	endings        map[FormerService]ending
}

// services returns the services that the next routes give the address, with the former ones.
func (su *succession) services(address netip.AddrPort, next WeightedServices) WeightedServices {
	list := slices.Clip(next)
	for _, ws := range next {
		key := FormerService{Address: address, Service: ws.Service}
		if ws.Weight == 0 {
			su.note(key, su.next.endedBy(key))
		}
	}
	for _, ws := range su.previous.Addresses[address].Services {
		if next.Contains(ws.Service) {
			continue
		}
		key := FormerService{Address: address, Service: ws.Service}
		version := su.next.Version
		if ws.Weight == 0 {
			version = su.previous.endedBy(key)
		}
		if en := su.note(key, version); su.now.Before(en.at) && !next.Names(ws.Service) {
			list = append(list, WeightedService{Service: ws.Service})
		}
	}
	return list
}

// note notes that the version took the service from its address, and returns when its last
// flow has ended. That is known unless an older version did so when it was last heard of.
func (su *succession) note(key FormerService, version uint64) ending {
	en, known := su.endings[key]
	if !known {
		en, known = su.FormerServices.endings[key]
	}
	if !known || en.version < version {
		en = ending{version: version, at: su.now.Add(su.lifetime)}
	}
	su.endings[key] = en
	return en
}
