package waybill

import (
	"strconv"
	"strings"
	"time"

	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// warmUpPrefix begins the keys of warm-up limits among the health paths. No service has a
// name that begins with it.
const warmUpPrefix = "\x00WarmUp "

// addWarmUps adds an entry for each limit to the health paths.
func addWarmUps(all map[string]string, warmUps map[string]catalog.WarmUp) {
	for service, wu := range warmUps {
		all[warmUpPrefix+service] = wu.Duration.String() + " " + strconv.FormatFloat(wu.PerSecond, 'g', -1, 64)
	}
}

// splitWarmUps returns the health paths without the warm-up limits, and these. A limit
// that can't be decoded or isn't valid is left out.
func splitWarmUps(all map[string]string) (map[string]string, map[string]catalog.WarmUp) {
	var warmUps map[string]catalog.WarmUp
	for key, value := range all {
		service, found := strings.CutPrefix(key, warmUpPrefix)
		if !found {
			continue
		}
		delete(all, key)
		wu, valid := decodeWarmUp(value)
		if !valid {
			continue
		}
		if warmUps == nil {
			warmUps = make(map[string]catalog.WarmUp)
		}
		warmUps[service] = wu
	}
	return all, warmUps
}

// decodeWarmUp decodes the limit from DURATION RATE and reports whether it is valid.
func decodeWarmUp(text string) (catalog.WarmUp, bool) {
	duration, rate, found := strings.Cut(text, " ")
	if !found {
		return catalog.WarmUp{}, false
	}
	wu := catalog.WarmUp{}
	var err error
	if wu.Duration, err = time.ParseDuration(duration); err != nil {
		return wu, false
	}
	if wu.PerSecond, err = strconv.ParseFloat(rate, 64); err != nil {
		return wu, false
	}
	return wu, wu.IsValid()
}
