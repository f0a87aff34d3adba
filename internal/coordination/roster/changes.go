package roster

import (
	"maps"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// changeTracker records what changed since the last call of TakeChangedHosts.
type changeTracker struct {
	// dirty holds the services that may have a changed host.
	dirty map[register.ServiceID]struct{}
	// sequence numbers the returned records.
	sequence uint64
}

// takenState is the revision and state with which TakeChangedHosts returned a
// host last.
type takenState struct {
	register.Revision
	state register.State
}

// TakeChangedHosts returns the hosts that changed since the last call: their
// record, or whether they count as removed. Each change is returned once.
//
// The records are meant for a table that knows no removals: a removed host has the
// state Gone. Their sequence numbers are local to this view and grow with each
// returned record, so that a host can come back after its removal was refuted or
// distrusted.
//
// If removals would leave a service without hosts that take new work, the removed
// hosts that announced that they take new work keep their announced state.
func (ro *Roster) TakeChangedHosts(now time.Time) []register.Host {
	var hosts []register.Host
	for _, service := range slices.Sorted(maps.Keys(ro.dirty)) {
		hosts = ro.appendChanged(hosts, service, now)
	}
	clear(ro.dirty)
	return hosts
}

// appendChanged appends the hosts of a service that changed since they were last
// returned.
func (ro *Roster) appendChanged(hosts []register.Host, service register.ServiceID, now time.Time) []register.Host {
	served := slices.ContainsFunc(ro.services[service], func(me *Member) bool {
		return me.State.TakesNewWork() && me.inFleet(now)
	})
	for _, me := range ro.services[service] {
		ho := me.Host
		keep := !served && ho.State.TakesNewWork()
		if !me.inFleet(now) && !keep {
			ho.State = register.StateGone
		}
		current := takenState{Revision: me.Revision, state: ho.State}
		if current == me.taken {
			continue
		}
		me.taken = current
		ro.sequence++
		ho.Sequence = ro.sequence
		hosts = append(hosts, ho)
	}
	return hosts
}
