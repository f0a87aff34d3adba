package route

import "corneltiller.dev/corneltiller/internal/state/register"

// Left reports whether the host that a connection ID names is known to have
// stopped for good, to have started again or to serve another service now. Any
// agent of the service may then end the flow.
func (ta *Table) Left(service register.ServiceID, target Target) bool {
	switch _, re := ta.Resolve(service, target.Address, target.Incarnation); re {
	case ReasonStaleIncarnation, ReasonWrongService:
		return true
	case ReasonUnknownTarget:
		ho, known := ta.hosts.get(target.Address)
		return known && ho.State == register.StateGone
	default:
		return false
	}
}
