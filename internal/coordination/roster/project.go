package roster

import (
	"maps"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// projection tracks which hosts changed since the last call of Project.
type projection struct {
	dirty    map[register.ServiceID]struct{}
	sequence uint64
}

// shown is what Project returned last for a host.
type shown struct {
	register.Revision
	state register.State
}

// TakeChangedHosts returns the hosts whose conclusion changed since the last call, as
// records for a table that knows of no removals: a host that was removed is
// Gone there. The sequences are those of this view, so that a host can come back
// after its removal was refuted or distrusted.
//
// The hosts of a service are never all taken out by removals.
func (ro *Roster) TakeChangedHosts(now time.Time) []register.Host {
	var hosts []register.Host
	for _, service := range slices.Sorted(maps.Keys(ro.dirty)) {
		hosts = ro.projectService(hosts, service, now)
	}
	clear(ro.dirty)
	return hosts
}

// projectService appends the hosts of a service that changed.
func (ro *Roster) projectService(hosts []register.Host, service register.ServiceID, now time.Time) []register.Host {
	served := slices.ContainsFunc(ro.services[service], func(me *Member) bool {
		return me.State.TakesNewWork() && me.in(now)
	})
	for _, me := range ro.services[service] {
		ho := me.Host
		kept := !served && ho.State.TakesNewWork()
		if !me.in(now) && !kept {
			ho.State = register.StateGone
		}
		current := shown{Revision: me.Revision, state: ho.State}
		if current == me.shown {
			continue
		}
		me.shown = current
		ro.sequence++
		ho.Sequence = ro.sequence
		hosts = append(hosts, ho)
	}
	return hosts
}
