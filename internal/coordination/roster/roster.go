package roster

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/coordination/delivery"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// Standing is what the view concludes about a subject.
type Standing uint8

// The standings.
const (
	// StandingUnknown has no record yet.
	StandingUnknown Standing = iota
	// StandingPresent is announced and not removed.
	StandingPresent
	// StandingDistrusted was removed together with too many others and stays
	// in rotation until its deadline.
	StandingDistrusted
	// StandingRemoved was removed by its watchers.
	StandingRemoved
	// StandingGone announced its own end.
	StandingGone
)

// String returns the standing's name as operators read it.
func (st Standing) String() string {
	switch st {
	case StandingPresent:
		return "Present"
	case StandingDistrusted:
		return "Distrusted"
	case StandingRemoved:
		return "Removed"
	case StandingGone:
		return "Gone"
	default:
		return "Unknown"
	}
}

// Member is what the view holds about one subject.
type Member struct {
	Subject
	register.Revision
	Control netip.AddrPort
	Domain  string
	State   register.State
	// Host or Balancer is the newest record, as the role says.
	Host     register.Host
	Balancer register.Balancer
	// Removal is the newest removal; it counts while it is not superseded.
	Removal Removal
	// RemovedAt is when the removal was joined.
	RemovedAt time.Time
	// DistrustDeadline is when a distrusted removal takes effect.
	DistrustDeadline time.Time
	// shown is what Project returned last.
	shown shown
}

// removed reports whether the newest removal covers the newest record.
func (me *Member) removed() bool {
	return me.Removal.Revision != register.Revision{} && !me.Supersedes(me.Removal.Revision)
}

// Standing returns the conclusion at the time.
func (me *Member) Standing(now time.Time) Standing {
	switch {
	case me.State == 0:
		return StandingUnknown
	case me.State == register.StateGone:
		return StandingGone
	case !me.removed():
		return StandingPresent
	case now.Before(me.DistrustDeadline):
		return StandingDistrusted
	default:
		return StandingRemoved
	}
}

// in reports whether the subject still belongs to the fleet.
func (me *Member) in(now time.Time) bool {
	st := me.Standing(now)
	return st == StandingPresent || st == StandingDistrusted
}

// Roster is the fleet's view: the join of all records and removals.
type Roster struct {
	members   map[Subject]*Member
	services  map[register.ServiceID][]*Member
	domains   map[string][]*Member
	balancers []*Member
	controls  map[netip.AddrPort]*Member
	held      []*Member
	changes   uint64
	// balancerChanges counts those changes that concern balancers.
	balancerChanges uint64
	projection
}

// New returns an empty view.
func New() *Roster {
	return &Roster{
		members:  make(map[Subject]*Member),
		services: make(map[register.ServiceID][]*Member),
		domains:  make(map[string][]*Member),
		controls: make(map[netip.AddrPort]*Member),

		projection: projection{dirty: make(map[register.ServiceID]struct{})},
	}
}

// Changes counts the changes of the view, so that a caller can tell whether
// what it derived from the view is still current.
func (ro *Roster) Changes() uint64 {
	return ro.changes
}

// BalancerChanges counts the changes that concern balancers.
func (ro *Roster) BalancerChanges() uint64 {
	return ro.balancerChanges
}

// changed counts a change of the member.
func (ro *Roster) changed(me *Member) {
	ro.changes++
	if me.Role == RoleBalancer {
		ro.balancerChanges++
		return
	}
	ro.dirty[me.Host.Service] = struct{}{}
}

// Apply joins an item into the view and reports whether the view changed. It
// returns an error for a body that no correct node sends; items of other kinds
// are left alone.
func (ro *Roster) Apply(it delivery.Item, now time.Time) (bool, error) {
	switch it.Kind {
	case delivery.KindHost:
		ho, err := register.DecodeHost(it.Body)
		if err != nil {
			return false, errors.Wrap(err, "apply host record")
		}
		return ro.applyRecord(hostMember(ho)), nil
	case delivery.KindBalancer:
		ba, err := register.DecodeBalancer(it.Body)
		if err != nil {
			return false, errors.Wrap(err, "apply balancer record")
		}
		return ro.applyRecord(balancerMember(ba)), nil
	case delivery.KindHostRemoval, delivery.KindBalancerRemoval:
		re, err := DecodeRemoval(it)
		if err != nil {
			return false, errors.Wrap(err, "apply removal")
		}
		return ro.applyRemoval(re, now), nil
	}
	return false, nil
}

// Drop forgets the subject of an expired item.
func (ro *Roster) Drop(it delivery.Item) {
	address, ok := addressOf(it.Key)
	if !ok {
		return
	}
	su := Subject{Role: roleOf(it.Kind), Address: address}
	me := ro.members[su]
	if me == nil || me.Supersedes(it.Revision) {
		return
	}
	ro.unindex(me)
	delete(ro.members, su)
	ro.changed(me)
}

// Tick reports whether a distrusted removal took effect.
func (ro *Roster) Tick(now time.Time) bool {
	before := len(ro.held)
	ro.held = slices.DeleteFunc(ro.held, func(me *Member) bool {
		over := !now.Before(me.DistrustDeadline) || !me.removed()
		if over {
			ro.changed(me)
		}
		return over
	})
	return len(ro.held) != before
}

// Len returns the number of subjects, those included that left the fleet.
func (ro *Roster) Len() int {
	return len(ro.members)
}

// Member returns what is known about a subject.
func (ro *Roster) Member(su Subject) (Member, bool) {
	me := ro.members[su]
	if me == nil {
		return Member{}, false
	}
	return *me, true
}

// Rotation returns the hosts of the service that take new work, by address. A
// service is never left without hosts by removals: if all are removed, those
// whose record still takes new work are returned.
func (ro *Roster) Rotation(service register.ServiceID, now time.Time) []register.Host {
	var hosts, fallback []register.Host
	for _, me := range ro.services[service] {
		if !me.State.TakesNewWork() {
			continue
		}
		fallback = append(fallback, me.Host)
		if me.in(now) {
			hosts = append(hosts, me.Host)
		}
	}
	if len(hosts) == 0 {
		hosts = fallback
	}
	slices.SortFunc(hosts, func(aa, bb register.Host) int {
		return aa.Address.Compare(bb.Address)
	})
	return hosts
}

// Rotations returns the hosts of all services that take new work, by service
// and address.
func (ro *Roster) Rotations(now time.Time) []register.Host {
	var hosts []register.Host
	for _, service := range slices.Sorted(maps.Keys(ro.services)) {
		hosts = append(hosts, ro.Rotation(service, now)...)
	}
	return hosts
}

// Hosts returns all hosts that still belong to the fleet, draining ones
// included, by address.
func (ro *Roster) Hosts(now time.Time) []register.Host {
	var hosts []register.Host
	for _, members := range ro.services {
		for _, me := range members {
			if me.in(now) {
				hosts = append(hosts, me.Host)
			}
		}
	}
	slices.SortFunc(hosts, func(aa, bb register.Host) int {
		return aa.Address.Compare(bb.Address)
	})
	return hosts
}

// Balancers returns the balancers that still belong to the fleet.
func (ro *Roster) Balancers(now time.Time) []register.Balancer {
	var balancers []register.Balancer
	for _, me := range ro.balancers {
		if me.in(now) {
			balancers = append(balancers, me.Balancer)
		}
	}
	return balancers
}

// Peers returns the balancers that gossip and heartbeats may go to.
func (ro *Roster) Peers(now time.Time) []delivery.Peer {
	peers := make([]delivery.Peer, 0, len(ro.balancers))
	for _, me := range ro.balancers {
		if me.in(now) {
			peers = append(peers, delivery.Peer{Address: me.Control, Domain: me.Domain})
		}
	}
	return peers
}

// Members returns all that is known, by role and address.
func (ro *Roster) Members() []Member {
	members := make([]Member, 0, len(ro.members))
	for _, me := range ro.members {
		members = append(members, *me)
	}
	slices.SortFunc(members, func(aa, bb Member) int {
		if aa.Role != bb.Role {
			return int(aa.Role) - int(bb.Role)
		}
		return aa.Address.Compare(bb.Address)
	})
	return members
}

// BalancerHasLeft reports whether the balancer with the control address is known to
// have left the fleet.
func (ro *Roster) BalancerHasLeft(control netip.AddrPort, now time.Time) bool {
	me := ro.controls[control]
	return me != nil && me.State != 0 && !me.in(now)
}
