package roster

import (
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// Limits on mass removals, which more likely come from a network fault than from
// as many crashes.
const (
	// DistrustWindow is the time within which removals count as simultaneous.
	DistrustWindow = 10 * time.Second
	// DistrustHold is how long after its removal a distrusted member still counts
	// as part of the fleet.
	DistrustHold = 15 * time.Second
	// distrustPercent is the share in percent of a service or failure domain above
	// which removals within the window are distrusted.
	distrustPercent = 50
	// distrustMinRemovals is the least number of removals within the window that
	// are distrusted.
	distrustMinRemovals = 2
)

// distrustMassRemoval distrusts the removal of the member, and other recent ones
// in the same group, if too large a share of the hosts of its service or of the
// members of its role in its failure domain was removed within DistrustWindow.
func (ro *Roster) distrustMassRemoval(me *Member, now time.Time) {
	if me.Role == RoleHost {
		ro.distrustGroup(ro.services[me.Host.Service], now)
	}
	ro.distrustGroup(ro.domains[domainKey(me)], now)
}

// distrustGroup distrusts the recent removals in a group if they are too many.
func (ro *Roster) distrustGroup(group []*Member, now time.Time) {
	total, recent := 0, 0
	for _, me := range group {
		switch {
		case me.recentlyRemoved(now):
			total++
			recent++
		case me.inFleet(now):
			total++
		}
	}
	if recent < distrustMinRemovals || recent*100 <= total*distrustPercent {
		return
	}
	for _, me := range group {
		if me.recentlyRemoved(now) && me.DistrustDeadline.IsZero() {
			me.DistrustDeadline = me.RemovedAt.Add(DistrustHold)
			ro.distrusted = append(ro.distrusted, me)
			ro.countChange(me)
		}
	}
}

// recentlyRemoved reports whether the member was removed within DistrustWindow. A
// member that announced the state Gone does not count.
func (me *Member) recentlyRemoved(now time.Time) bool {
	return me.State != 0 && me.State != register.StateGone && me.removed() && now.Sub(me.RemovedAt) < DistrustWindow
}

// Distrusted returns the members whose removal is distrusted at the time, by role
// and address.
func (ro *Roster) Distrusted(now time.Time) []Member {
	var members []Member
	for _, me := range ro.Members() {
		if me.Standing(now) == StandingDistrusted {
			members = append(members, me)
		}
	}
	return members
}
