package desk

import (
	"strings"

	"corneltiller.dev/corneltiller/internal/coordination/dispatch"
	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// SetService sets the configuration of the service, of which the customer's name
// and the traffic classes are used.
func (ha *Handler) SetService(sv catalog.Service) {
	ha.service.Store(&sv)
}

// metricsLabel returns the metric label of a request in the form FIRM/CLASS. FIRM
// is the customer's name, or Config.Label until SetService is called. CLASS is
// the configured class of the target, or else the given one.
func (ha *Handler) metricsLabel(target string, cl dispatch.Class) string {
	sv := ha.service.Load()
	if sv == nil {
		return ha.cfg.Label + "/" + cl.String()
	}
	if co, ok := classOf(sv, target); ok {
		return sv.Firm + "/" + co.Name
	}
	return sv.Firm + "/" + cl.String()
}

// classify returns the class of a request for which the caller requested the
// given one. A request in a class that is configured as deferrable is never
// urgent; callers can lower a request's class but not raise it.
func (ha *Handler) classify(target string, requested dispatch.Class) dispatch.Class {
	sv := ha.service.Load()
	if sv == nil {
		return requested
	}
	if co, ok := classOf(sv, target); ok && !co.Urgent {
		return dispatch.ClassDeferrable
	}
	return requested
}

// classOf returns the class with the longest configured prefix of the target's
// path, or else the first class without paths. It reports false if there is
// neither.
func classOf(sv *catalog.Service, target string) (catalog.Class, bool) {
	path, _, _ := strings.Cut(target, "?")
	var found catalog.Class
	longest := -1
	for _, cl := range sv.Classes {
		if len(cl.Paths) == 0 && longest < 0 {
			found, longest = cl, 0
		}
		for _, prefix := range cl.Paths {
			if strings.HasPrefix(path, prefix) && len(prefix) > longest {
				found, longest = cl, len(prefix)
			}
		}
	}
	return found, longest >= 0
}
