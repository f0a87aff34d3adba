package roster

import (
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// When removals are distrusted.
const (
	// DistrustWindow is how far back removals count together.
	DistrustWindow = 10 * time.Second
	// DistrustHold is how long distrusted hosts stay in rotation.
	DistrustHold = 15 * time.Second
	// distrustPercent is the share of a service or failure domain above which
	// removals within the window are distrusted.
	distrustPercent = 50
	// distrustLeast is the least number of removals that counts as a mass.
	distrustLeast = 2
)

// doubt distrusts the removal of the member, and the recent ones beside it, if
// too large a share of its service or failure domain was removed at once.
func (ro *Roster) doubt(me *Member, now time.Time) {
	if me.Role == RoleHost {
		ro.doubtGroup(ro.services[me.Host.Service], now)
	}
	ro.doubtGroup(ro.domains[domainKey(me)], now)
}

// doubtGroup distrusts the recent removals in a group if they are too many.
func (ro *Roster) doubtGroup(group []*Member, now time.Time) {
	total, recent := 0, 0
	for _, me := range group {
		switch {
		case me.recentlyRemoved(now):
			total++
			recent++
		case me.in(now):
			total++
		}
	}
	if recent < distrustLeast || recent*100 <= total*distrustPercent {
		return
	}
	for _, me := range group {
		if me.recentlyRemoved(now) && me.DistrustDeadline.IsZero() {
			me.DistrustDeadline = me.RemovedAt.Add(DistrustHold)
			ro.held = append(ro.held, me)
			ro.changed(me)
		}
	}
}

// recentlyRemoved reports whether the member was removed within the window.
func (me *Member) recentlyRemoved(now time.Time) bool {
	return me.State != 0 && me.State != register.StateGone && me.removed() && now.Sub(me.RemovedAt) < DistrustWindow
}

// Distrusted returns the subjects whose removal is distrusted now.
func (ro *Roster) Distrusted(now time.Time) []Member {
	var members []Member
	for _, me := range ro.Members() {
		if me.Standing(now) == StandingDistrusted {
			members = append(members, me)
		}
	}
	return members
}
