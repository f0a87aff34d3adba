package waybill

import (
	"maps"
	"strconv"

	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// coverageKey is the key of the oldest version that the routes cover, among the health
// paths. No service has that name.
const coverageKey = "\x00CoversFrom"

// extendedHealthPaths returns the health paths with an entry for each warm-up limit and, if
// the routes don't cover all versions, for the oldest one covered. A former build refuses
// routes with one more element, and keeps these entries as the health paths of services
// that it never meets. Without such entries the health paths are returned as they are.
func extendedHealthPaths(ro *catalog.Routes) map[string]string {
	if len(ro.WarmUps) == 0 && ro.From == 0 {
		return ro.HealthPaths
	}
	all := make(map[string]string, len(ro.HealthPaths)+len(ro.WarmUps)+1)
	maps.Copy(all, ro.HealthPaths)
	addWarmUps(all, ro.WarmUps)
	if ro.From != 0 {
		all[coverageKey] = strconv.FormatUint(ro.From, 10)
	}
	return all
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
