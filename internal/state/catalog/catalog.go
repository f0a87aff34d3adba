// Package catalog defines the configuration of the load balancer: the services,
// their addresses, the backend servers that may serve them, the traffic classes,
// and the owner who may change the configuration at present. It checks a
// configuration before it is accepted and describes how two of them differ.
//
// # Usage
//
//	sv, ok := cfg.ServiceAt(address)
//	after := cfg.Clone()
//	after.Services[0].Classes = classes
//	if err := after.Check(); err != nil {
//		return err
//	}
//	lines := catalog.Difference(cfg, after)
package catalog

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// Version orders configurations: first by term, then by the number of the
// change. An instance never applies a version lower than the one it has.
type Version struct {
	// Term is the term in which the change was made; see Say.
	Term uint64
	// Number is the number of the change.
	Number uint64
}

// Less reports whether ve is strictly older than other.
func (ve Version) Less(other Version) bool {
	return ve.Compare(other) < 0
}

// Compare returns -1, 0 or +1 as ve is older than, equal to or newer than other.
func (ve Version) Compare(other Version) int {
	if ve.Term != other.Term {
		return cmp.Compare(ve.Term, other.Term)
	}
	return cmp.Compare(ve.Number, other.Number)
}

// String returns the version as shown to operators: term, dot, number.
func (ve Version) String() string {
	return fmt.Sprintf("%d.%d", ve.Term, ve.Number)
}

// Class is one traffic class of a service.
type Class struct {
	Name string
	// Urgent traffic is served first; other traffic is deferrable and is shed
	// first under overload.
	Urgent bool
	// Paths are the request path prefixes that belong to the class. A class
	// without any gets the requests that match no other class of the service.
	Paths []string `json:",omitempty"`
	// Limit is the number of requests that one host may have in progress or
	// queued for the class; zero means no limit.
	Limit uint32 `json:",omitempty"`
	// Weight is the class's share relative to the classes of the same urgency.
	Weight uint16
}

// Service is one service of a tenant firm.
type Service struct {
	ID   register.ServiceID
	Name string
	// Firm is the tenant firm that the service belongs to.
	Firm string
	// Addresses are the addresses at which callers reach the service.
	Addresses []netip.AddrPort
	// Hosts are the address ranges of the hosts that may serve the service.
	Hosts   []netip.Prefix
	Classes []Class `json:",omitempty"`
}

// MayServe reports whether a host at the address may serve the service.
func (sv *Service) MayServe(host netip.Addr) bool {
	for _, ra := range sv.Hosts {
		if ra.Contains(host) {
			return true
		}
	}
	return false
}

// HostRule is what operators set for the hosts in a range, in addition to what
// the hosts announce about themselves.
type HostRule struct {
	Hosts netip.Prefix
	// Draining keeps new work from the hosts.
	Draining bool `json:",omitempty"`
	// Weight scales the announced weight in percent; register.FullWeight
	// leaves it unchanged.
	Weight uint16
}

// Retirement is an address that was removed from a service. Another service may
// get it once every live instance has the version Since, or a newer one, in
// force; until then an instance may still send flows to the address to the old
// service. The old service itself may get the address back at any time.
type Retirement struct {
	Address netip.AddrPort
	// Service is the last service that had the address.
	Service register.ServiceID
	// Since is the version that removed the address.
	Since Version
}

// Configuration is one version of the configuration. It is immutable once it is
// accepted; changes are made to a Clone.
type Configuration struct {
	Version Version
	// Services are in ascending order of their IDs.
	Services []Service
	Rules    []HostRule `json:",omitempty"`
	// Retired are the addresses that other services may not get yet.
	Retired []Retirement `json:",omitempty"`
	// Say records which owner may change the configuration, and in which term.
	Say Say
	// Owners are the owners that are known, with their public keys.
	Owners []Owner
	// Calendar lists, in ascending order of time, from when on which owner is to
	// hold the say.
	Calendar []Turn `json:",omitempty"`
	// NextService is the lowest service number never assigned.
	NextService register.ServiceID
}

// ServiceAt returns the service that has the address.
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

// Service returns the service of that name, or nil if there is none. Changes
// through the pointer change the configuration.
func (co *Configuration) Service(name string) *Service {
	for i := range co.Services {
		if co.Services[i].Name == name {
			return &co.Services[i]
		}
	}
	return nil
}

// ServiceByID returns the service with the ID.
func (co *Configuration) ServiceByID(id register.ServiceID) (Service, bool) {
	at, found := slices.BinarySearchFunc(co.Services, id, func(sv Service, id register.ServiceID) int {
		return cmp.Compare(sv.ID, id)
	})
	if !found {
		return Service{}, false
	}
	return co.Services[at], true
}

// RuleFor returns the rule that applies to the host: that of the range with the
// longest prefix that contains it, or a rule of full weight if none does.
func (co *Configuration) RuleFor(host netip.Addr) HostRule {
	found := HostRule{Weight: register.FullWeight}
	length := -1
	for _, ru := range co.Rules {
		if ru.Hosts.Contains(host) && ru.Hosts.Bits() > length {
			found = ru
			length = ru.Hosts.Bits()
		}
	}
	return found
}

// Clone returns a deep copy that may be edited, except that it shares the bytes of
// the owners' keys: an edit replaces a key as a whole.
func (co *Configuration) Clone() *Configuration {
	copied := *co
	copied.Services = slices.Clone(co.Services)
	for i := range copied.Services {
		copied.Services[i] = copied.Services[i].clone()
	}
	copied.Rules = slices.Clone(co.Rules)
	copied.Retired = slices.Clone(co.Retired)
	copied.Owners = slices.Clone(co.Owners)
	copied.Calendar = slices.Clone(co.Calendar)
	return &copied
}

func (sv Service) clone() Service {
	sv.Addresses = slices.Clone(sv.Addresses)
	sv.Hosts = slices.Clone(sv.Hosts)
	sv.Classes = slices.Clone(sv.Classes)
	for i := range sv.Classes {
		sv.Classes[i].Paths = slices.Clone(sv.Classes[i].Paths)
	}
	return sv
}
