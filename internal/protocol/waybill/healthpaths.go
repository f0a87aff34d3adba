package waybill

import (
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// Keys of entries among the health paths. No service has such a name.
const (
	// coverageKey is the key of the oldest version that the routes cover.
	coverageKey = "\x00CoversFrom"
	// formerKey is the key of the versions by which addresses have lost services: for each
	// version it and the indexes of the routes and of their services.
	formerKey = "\x00LostBy"
)

// formerBase is the base of the numbers in the entry with formerKey.
const formerBase = 36

// formerIndex is the place of a former service: the index of its route, and its own in it.
type formerIndex struct{ route, service int }

// extendedHealthPaths returns the health paths with an entry for each warm-up limit, for the
// oldest version covered if it isn't the first one, and for the versions by which addresses
// have lost services if these are older. The addresses are those of the routes in order. A
// former build refuses routes with one more element, and keeps these entries as the health
// paths of services that it never meets. Without such entries the health paths are returned
// as they are.
func extendedHealthPaths(ro *catalog.Routes, addresses []netip.AddrPort) map[string]string {
	former := encodeFormer(ro, addresses)
	if len(ro.WarmUps) == 0 && ro.From == 0 && former == "" {
		return ro.HealthPaths
	}
	all := make(map[string]string, len(ro.HealthPaths)+len(ro.WarmUps)+2)
	maps.Copy(all, ro.HealthPaths)
	addWarmUps(all, ro.WarmUps)
	if ro.From != 0 {
		all[coverageKey] = strconv.FormatUint(ro.From, 10)
	}
	if former != "" {
		all[formerKey] = former
	}
	return all
}

// encodeFormer encodes the versions by which addresses have lost services, but for that of
// the routes, as VERSION:ROUTE.SERVICE,ROUTE.SERVICE;VERSION:...
func encodeFormer(ro *catalog.Routes, addresses []netip.AddrPort) string {
	places := make(map[uint64][]string)
	for i, address := range addresses {
		for k, ws := range ro.Addresses[address].Services {
			version, ok := ro.Former[catalog.FormerService{Address: address, Service: ws.Service}]
			if !ok || ws.Weight > 0 || version == ro.Version {
				continue
			}
			place := strconv.FormatInt(int64(i), formerBase) + "." + strconv.FormatInt(int64(k), formerBase)
			places[version] = append(places[version], place)
		}
	}
	var groups []string
	for _, version := range slices.Sorted(maps.Keys(places)) {
		groups = append(groups, strconv.FormatUint(version, formerBase)+":"+strings.Join(places[version], ","))
	}
	return strings.Join(groups, ";")
}

// takeFormer removes the versions by which addresses have lost services from the health
// paths and returns them. What can't be decoded is left out.
func takeFormer(all map[string]string) map[formerIndex]uint64 {
	text, ok := all[formerKey]
	if !ok {
		return nil
	}
	delete(all, formerKey)
	former := make(map[formerIndex]uint64)
	for group := range strings.SplitSeq(text, ";") {
		number, places, _ := strings.Cut(group, ":")
		version, err := strconv.ParseUint(number, formerBase, 64)
		if err != nil {
			continue
		}
		for place := range strings.SplitSeq(places, ",") {
			if index, valid := decodePlace(place); valid {
				former[index] = version
			}
		}
	}
	return former
}

// decodePlace decodes ROUTE.SERVICE and reports whether it is valid.
func decodePlace(text string) (formerIndex, bool) {
	first, second, _ := strings.Cut(text, ".")
	route, err := strconv.ParseUint(first, formerBase, 31)
	if err != nil {
		return formerIndex{}, false
	}
	service, err := strconv.ParseUint(second, formerBase, 31)
	if err != nil {
		return formerIndex{}, false
	}
	return formerIndex{route: int(route), service: int(service)}, true
}

// takeCoverage removes the coverage from the health paths of routes of the version and
// returns it. One that can't be decoded counts as that of this version only.
func takeCoverage(all map[string]string, version uint64) catalog.Coverage {
	text, ok := all[coverageKey]
	if !ok {
		return catalog.Coverage{}
	}
	delete(all, coverageKey)
	from, err := strconv.ParseUint(text, 10, 64)
	if err != nil || from > version {
		from = version
	}
	return catalog.Coverage{From: from}
}
