package roster

import (
	"maps"
	"slices"
	"time"

	"github.com/dchest/siphash"
)

// ProbeInterval is the time between two probes of a watcher. In a fleet of the target's
// size each host is probed about once a minute.
const ProbeInterval = 10 * time.Second

// probe starts to watch a host that this watcher doesn't watch, and asks it for a
// heartbeat. A host that is alive answers with the list of its watchers, which ends the
// watch. One that is silent may have crashed together with all of its watchers; it is
// suspected, and other balancers are asked to watch it as well.
func (wa *Watcher) probe(acts []Action, now time.Time) []Action {
	if wa.nextProbe.IsZero() {
		wa.nextProbe = now.Add(ProbeInterval)
	}
	if now.Before(wa.nextProbe) {
		return acts
	}
	wa.nextProbe = now.Add(ProbeInterval)
	wa.probes++
	address, _ := wa.self.MarshalBinary()
	me := wa.roster.hostAt(siphash.Hash(hashKey0, wa.probes, address))
	if me == nil || !me.inFleet(now) || wa.find(me.Subject) != nil {
		return acts
	}
	wt := &watch{
		subject:   me.Subject,
		revision:  me.Revision,
		scope:     uint32(me.Host.Service),
		control:   me.Control,
		lastHeard: now,
	}
	wa.watches = append(wa.watches, wt)
	return wa.sendSuspicion(acts, wt, now)
}

// hostAt returns a known host, the same for the same number and hosts, nil if there is
// none.
func (ro *Roster) hostAt(number uint64) *Member {
	total := 0
	for _, hosts := range ro.services {
		total += len(hosts)
	}
	if total == 0 {
		return nil
	}
	at := int(number % uint64(total))
	for _, service := range slices.Sorted(maps.Keys(ro.services)) {
		hosts := ro.services[service]
		if at < len(hosts) {
			return hosts[at]
		}
		at -= len(hosts)
	}
	return nil
}
