package desk

import (
	"strings"

	"corneltiller.dev/corneltiller/internal/coordination/dispatch"
	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// SetService takes the service's accepted configuration: its tenant firm and
// its traffic classes.
func (de *Handler) SetService(sv catalog.Service) {
	de.service.Store(&sv)
}

// label returns the name under which the requests of the target are measured:
// the tenant firm and the class.
func (de *Handler) label(target string, cl dispatch.Class) string {
	sv := de.service.Load()
	if sv == nil {
		return de.cfg.Label + "/" + cl.String()
	}
	if co, ok := classOf(sv, target); ok {
		return sv.Firm + "/" + co.Name
	}
	return sv.Firm + "/" + cl.String()
}

// classify returns the class of a request. The operators' configuration
// decides which traffic is urgent; callers can only lower their own.
func (de *Handler) classify(target string, own dispatch.Class) dispatch.Class {
	sv := de.service.Load()
	if sv == nil {
		return own
	}
	if co, ok := classOf(sv, target); ok && !co.Urgent {
		return dispatch.ClassDeferrable
	}
	return own
}

// classOf returns the class with the longest path prefix of the target, or the
// class without paths.
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
