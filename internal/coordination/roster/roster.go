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

// Standing is the membership status that the view concludes for a subject from its
// record and from removals.
type Standing uint8

// The standings of a subject.
const (
	// StandingUnknown is the standing without a record.
	StandingUnknown Standing = iota
	// StandingPresent is the standing of a subject with a record that is not
	// removed.
	StandingPresent
	// StandingDistrusted is the standing of a subject that was removed at the
	// same time as too many others. It counts as part of the fleet until its
	// DistrustDeadline.
	StandingDistrusted
	// StandingRemoved is the standing of a subject that its watchers removed.
	StandingRemoved
	// StandingGone is the standing of a subject that announced that it left.
	StandingGone
)

// String returns the name of the standing as operators read it.
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

// Member is what the view holds about one subject. Control, Domain and State are
// those of its record; State is zero without a record.
type Member struct {
	Subject
	register.Revision
	Control netip.AddrPort
	Domain  string
	State   register.State
	// Host or Balancer is the newest record, depending on the role.
	Host     register.Host
	Balancer register.Balancer
	// Removal is the newest removal. It has no effect once a record with a
	// higher revision supersedes it.
	Removal Removal
	// RemovedAt is the time at which this node merged the removal.
	RemovedAt time.Time
	// DistrustDeadline is when a distrusted removal takes effect; zero if the
	// removal was not distrusted.
	DistrustDeadline time.Time
	// taken is what TakeChangedHosts returned last.
	taken takenState
}

// removed reports whether there is a removal that the record does not supersede.
func (me *Member) removed() bool {
	return me.Removal.Revision != register.Revision{} && !me.Supersedes(me.Removal.Revision)
}

// Standing returns the standing at the time.
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

// inFleet reports whether the subject counts as part of the fleet: its standing is
// Present or Distrusted.
func (me *Member) inFleet(now time.Time) bool {
	st := me.Standing(now)
	return st == StandingPresent || st == StandingDistrusted
}

// Roster is the view of the fleet: all records and removals merged. Which of them it
// holds does not depend on the order of their arrival; which removals are
// distrusted depends on when they arrive. It is not safe for concurrent use.
type Roster struct {
	members map[Subject]*Member
	// services holds the hosts by service, and domains the members by domainKey.
	services map[register.ServiceID][]*Member
	domains  map[string][]*Member
	// byControl holds the balancers by control address.
	balancers []*Member
	byControl map[netip.AddrPort]*Member
	// distrusted holds members whose removal was distrusted, until Tick finds
	// that the deadline has passed or the removal is superseded.
	distrusted []*Member
	changes    uint64
	// balancerChanges counts the changes of balancers.
	balancerChanges uint64
	changeTracker
}

// New returns an empty view.
func New() *Roster {
	return &Roster{
		members:   make(map[Subject]*Member),
		services:  make(map[register.ServiceID][]*Member),
		domains:   make(map[string][]*Member),
		byControl: make(map[netip.AddrPort]*Member),

		changeTracker: changeTracker{dirty: make(map[register.ServiceID]struct{})},
	}
}

// Changes returns the number of changes of the view. What a caller derived from the
// view is current while the number stays the same.
func (ro *Roster) Changes() uint64 {
	return ro.changes
}

// BalancerChanges returns the number of changes of balancers.
func (ro *Roster) BalancerChanges() uint64 {
	return ro.balancerChanges
}

// countChange counts a change of the member and marks its service for
// TakeChangedHosts if it is a host.
func (ro *Roster) countChange(me *Member) {
	ro.changes++
	if me.Role == RoleBalancer {
		ro.balancerChanges++
		return
	}
	ro.dirty[me.Host.Service] = struct{}{}
}

// Apply merges a record or a removal into the view and reports whether the view
// changed. It returns an error for a malformed body, which no correct node sends,
// and ignores items of other kinds.
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

// Drop removes the member that an expired item is about, unless its record has a
// higher revision than the item.
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
	ro.countChange(me)
}

// Tick ends the distrust of removals whose DistrustDeadline has passed or that a
// record superseded, and reports whether there were any.
func (ro *Roster) Tick(now time.Time) bool {
	before := len(ro.distrusted)
	ro.distrusted = slices.DeleteFunc(ro.distrusted, func(me *Member) bool {
		ended := !now.Before(me.DistrustDeadline) || !me.removed()
		if ended {
			ro.countChange(me)
		}
		return ended
	})
	return len(ro.distrusted) != before
}

// Len returns the number of subjects, those included that left the fleet.
func (ro *Roster) Len() int {
	return len(ro.members)
}

// Member returns what the view holds about a subject, and false if it holds
// nothing.
func (ro *Roster) Member(su Subject) (Member, bool) {
	me := ro.members[su]
	if me == nil {
		return Member{}, false
	}
	return *me, true
}

// Rotation returns the hosts of the service that take new work, by address. If all
// of them are removed, it returns those whose record says that they take new work:
// removals never leave a service without hosts.
func (ro *Roster) Rotation(service register.ServiceID, now time.Time) []register.Host {
	var hosts, fallback []register.Host
	for _, me := range ro.services[service] {
		if !me.State.TakesNewWork() {
			continue
		}
		fallback = append(fallback, me.Host)
		if me.inFleet(now) {
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

// Rotations returns the hosts that take new work, as Rotation does, of all
// services, by service and address.
func (ro *Roster) Rotations(now time.Time) []register.Host {
	var hosts []register.Host
	for _, service := range slices.Sorted(maps.Keys(ro.services)) {
		hosts = append(hosts, ro.Rotation(service, now)...)
	}
	return hosts
}

// Hosts returns all hosts in the fleet by address, also those that take no new
// work, such as draining ones.
func (ro *Roster) Hosts(now time.Time) []register.Host {
	var hosts []register.Host
	for _, members := range ro.services {
		for _, me := range members {
			if me.inFleet(now) {
				hosts = append(hosts, me.Host)
			}
		}
	}
	slices.SortFunc(hosts, func(aa, bb register.Host) int {
		return aa.Address.Compare(bb.Address)
	})
	return hosts
}

// Balancers returns the balancers in the fleet in no particular order.
func (ro *Roster) Balancers(now time.Time) []register.Balancer {
	var balancers []register.Balancer
	for _, me := range ro.balancers {
		if me.inFleet(now) {
			balancers = append(balancers, me.Balancer)
		}
	}
	return balancers
}

// Peers returns the control addresses and failure domains of the balancers in the
// fleet, to which gossip and heartbeats may be sent.
func (ro *Roster) Peers(now time.Time) []delivery.Peer {
	peers := make([]delivery.Peer, 0, len(ro.balancers))
	for _, me := range ro.balancers {
		if me.inFleet(now) {
			peers = append(peers, delivery.Peer{Address: me.Control, Domain: me.Domain})
		}
	}
	return peers
}

// Members returns what the view holds about all subjects, by role and address.
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
// have left the fleet or to be removed from it. It is false for an unknown address.
func (ro *Roster) BalancerHasLeft(control netip.AddrPort, now time.Time) bool {
	me := ro.byControl[control]
	return me != nil && me.State != 0 && !me.inFleet(now)
}
