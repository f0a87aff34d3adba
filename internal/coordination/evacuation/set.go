package evacuation

import (
	"cmp"
	"fmt"
	"slices"
)

// The limits bound what a faulty store or member can make every process keep and send.
const (
	// MaxDomains is the greatest number of domains in a Set.
	MaxDomains = 64
	// MaxNameLength is the greatest length of a domain's name in bytes.
	MaxNameLength = 128
)

// Origin is the position of the store at which a Set was read. The store counts its
// restores as eras and gives out revisions again after a restore, so the era goes first.
type Origin struct {
	Era, Revision uint64
}

// Compare returns a negative number if the origin is older than the other one, zero if
// both are equal and a positive number otherwise.
func (or Origin) Compare(other Origin) int {
	return cmp.Or(cmp.Compare(or.Era, other.Era), cmp.Compare(or.Revision, other.Revision))
}

// String returns the era and the revision.
func (or Origin) String() string { return fmt.Sprintf("era %d revision %d", or.Era, or.Revision) }

// Set holds the failure domains that are evacuated. It is immutable. The zero value has
// no domain and is older than any set that was read.
type Set struct {
	// Origin is where the set was read. Sets of equal origin are equal.
	Origin Origin
	// Domains are the names of the domains, sorted and distinct.
	Domains []string
}

// IsValidName reports whether a domain of that name may be in a Set.
func IsValidName(name string) bool { return name != "" && len(name) <= MaxNameLength }

// NewSet returns the set of the domains that were read at the origin. Names that aren't
// valid, and the last ones above MaxDomains in order of the names, are left out and
// returned as refused.
func NewSet(origin Origin, domains []string) (set Set, refused []string) {
	set.Origin = origin
	for _, name := range slices.Compact(slices.Sorted(slices.Values(domains))) {
		if !IsValidName(name) || len(set.Domains) == MaxDomains {
			refused = append(refused, name)
			continue
		}
		set.Domains = append(set.Domains, name)
	}
	return set, refused
}

// Contains reports whether the domain is evacuated.
func (se Set) Contains(domain string) bool {
	_, found := slices.BinarySearch(se.Domains, domain)
	return found
}

// Changed returns the domains that are in exactly one of the two sets.
func (se Set) Changed(other Set) []string {
	var list []string
	for _, name := range se.Domains {
		if !other.Contains(name) {
			list = append(list, name)
		}
	}
	for _, name := range other.Domains {
		if !se.Contains(name) {
			list = append(list, name)
		}
	}
	return list
}
