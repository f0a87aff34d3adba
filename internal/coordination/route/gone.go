package route

import "corneltiller.dev/corneltiller/internal/state/register"

// IsGone reports whether the incarnation of a host that a connection ID names is
// known to have stopped for good. Any agent of the service may then end the
// flow. It returns false for an incarnation other than the known one: this table
// may be out of date, and the host itself ends the flows of its former
// incarnations.
func (ta *Table) IsGone(target Target) bool {
	ho, known := ta.hosts.get(target.Address)
	return known && ho.State == register.StateGone && uint16(ho.Incarnation) == target.Incarnation
}
