package roster

import (
	"net/netip"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/delivery"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// Slow start of a host, and limits on how often it announces its load.
const (
	// WarmUp divided by warmUpSteps is the time between two steps of the weight.
	// A host announces the first step at its start, so it reaches the full weight
	// one such time before WarmUp is over.
	WarmUp = 30 * time.Second
	// warmUpSteps is the number of equal steps up to the full weight.
	warmUpSteps = 4
	// minLoadChange is the least change of load, in percentage points, that is
	// announced.
	minLoadChange = 25
	// loadIntervalPerMember times the size of the fleet is the time between two
	// load announcements of one host. The announcements of the whole fleet
	// thereby stay within the control budget of each node.
	loadIntervalPerMember = 1100 * time.Millisecond
	// minLoadInterval is the least time between two load announcements of a host.
	minLoadInterval = 5 * time.Second
)

// Announcer publishes the record of its own node, whose only writer it is, and
// sends heartbeats to the watchers that it chose.
type Announcer struct {
	subject  Subject
	host     register.Host
	balancer register.Balancer
	control  netip.AddrPort
	bucket   *delivery.Bucket
	// beat numbers the heartbeats of this process.
	beat uint64
	// fullWeight is the weight that a host announces once it is warmed up.
	fullWeight     uint16
	warmUpStep     uint16
	nextWarmUpStep time.Time
	nextHeartbeat  time.Time
	nextLoad       time.Time
	watchers       []chosenWatcher
	// watcherChanges counts the changes of watchers.
	watcherChanges uint64
	peers          []delivery.Peer
	// avoidedUntil holds the balancers that did not confirm the list of watchers
	// in time, with the time from which they may be chosen again.
	avoidedUntil map[netip.AddrPort]time.Time
	fleetSize    int
}

// NewHostAnnouncer returns the announcer of a host. The weight of the record is
// the full weight after warm-up; Start sets the state.
func NewHostAnnouncer(ho register.Host, bucket *delivery.Bucket) *Announcer {
	return &Announcer{
		subject:      Subject{Role: RoleHost, Address: ho.Address},
		host:         ho,
		control:      ho.Control,
		bucket:       bucket,
		fullWeight:   ho.Weight,
		avoidedUntil: make(map[netip.AddrPort]time.Time),
	}
}

// NewBalancerAnnouncer returns the announcer of a balancer; Start sets the
// state.
func NewBalancerAnnouncer(ba register.Balancer, bucket *delivery.Bucket) *Announcer {
	return &Announcer{
		subject:      Subject{Role: RoleBalancer, Address: ba.Address},
		balancer:     ba,
		control:      ba.Control,
		bucket:       bucket,
		avoidedUntil: make(map[netip.AddrPort]time.Time),
	}
}

// Host returns the record that a host announced last. It is the zero value in
// the announcer of a balancer.
func (an *Announcer) Host() register.Host {
	return an.host
}

// Balancer returns the record that a balancer announced last. It is the zero
// value in the announcer of a host.
func (an *Announcer) Balancer() register.Balancer {
	return an.balancer
}

// Subject returns the role and address of the announced record.
func (an *Announcer) Subject() Subject {
	return an.subject
}

// Gone reports whether the announced state is Gone.
func (an *Announcer) Gone() bool {
	return an.state() == register.StateGone
}

// Start announces the record in the state Warming, with a host at the first step
// of its warm-up. The first heartbeats are due at once.
func (an *Announcer) Start(now time.Time) []Action {
	an.nextHeartbeat = now
	if an.subject.Role == RoleHost {
		an.warmUpStep = 1
		an.nextWarmUpStep = now.Add(WarmUp / warmUpSteps)
		an.host.Weight = an.warmUpWeight()
	}
	return an.SetState(register.StateWarming)
}

// warmUpWeight returns the weight at the current step of the warm-up, at least 1.
func (an *Announcer) warmUpWeight() uint16 {
	return max(1, uint16(uint32(an.fullWeight)*uint32(an.warmUpStep)/warmUpSteps))
}

// SetState announces a new state. A state that is not later than the current one
// is ignored.
func (an *Announcer) SetState(st register.State) []Action {
	if st <= an.state() {
		return nil
	}
	an.host.State = st
	an.balancer.State = st
	if st == register.StateReady {
		an.host.Weight = an.fullWeight
	}
	return an.publish()
}

// SetVersion announces the version of the configuration that a balancer has in
// force.
func (an *Announcer) SetVersion(term, version uint64) []Action {
	an.balancer.Term = term
	an.balancer.Version = version
	return an.publish()
}

// SetLoad announces the load of a host in percent. It does nothing if the load
// changed by less than minLoadChange, or if the last announcement is too recent:
// the least interval grows with the size of the fleet.
func (an *Announcer) SetLoad(load uint16, now time.Time) []Action {
	difference := max(load, an.host.Load) - min(load, an.host.Load)
	if difference < minLoadChange || now.Before(an.nextLoad) {
		return nil
	}
	interval := time.Duration(an.fleetSize) * loadIntervalPerMember
	an.nextLoad = now.Add(max(interval, minLoadInterval))
	an.host.Load = load
	return an.publish()
}

// Tick advances the warm-up, replaces watchers that did not confirm in time, and
// sends the heartbeats that are due. A node that is Gone sends none.
func (an *Announcer) Tick(now time.Time) []Action {
	acts := an.advanceWarmUp(now)
	acts = append(acts, an.replaceUnconfirmed(now)...)
	if now.Before(an.nextHeartbeat) || an.state() == register.StateGone {
		return acts
	}
	an.nextHeartbeat = now.Add(HeartbeatInterval)
	return an.sendHeartbeats(acts, now)
}

// advanceWarmUp announces the next weight of the warm-up when it is due, and the
// state Ready after the last step.
func (an *Announcer) advanceWarmUp(now time.Time) []Action {
	if an.subject.Role != RoleHost || an.state() != register.StateWarming || now.Before(an.nextWarmUpStep) {
		return nil
	}
	an.warmUpStep++
	an.nextWarmUpStep = now.Add(WarmUp / warmUpSteps)
	if an.warmUpStep >= warmUpSteps {
		return an.SetState(register.StateReady)
	}
	an.host.Weight = an.warmUpWeight()
	return an.publish()
}

// Receive handles a message about this node from a balancer that watches it.
func (an *Announcer) Receive(from netip.AddrPort, msg Message, now time.Time) []Action {
	switch {
	case msg.Confirmation != nil && msg.Confirmation.Subject == an.subject:
		return an.receiveConfirmation(from, msg.Confirmation.ListKnown, now)
	case msg.Suspicion != nil && msg.Suspicion.Subject == an.subject:
		return an.receiveSuspicion(from, now)
	case msg.Removed != nil && msg.Removed.Subject == an.subject:
		return an.RaiseRevision(msg.Removed.Revision)
	}
	return nil
}

// receiveConfirmation records whether a watcher knows the list of watchers. A
// balancer that is no longer a watcher and does not know the list is sent it.
func (an *Announcer) receiveConfirmation(from netip.AddrPort, known bool, now time.Time) []Action {
	for ii := range an.watchers {
		if an.watchers[ii].Address == from {
			an.watchers[ii].confirm(known, now)
			return nil
		}
	}
	if known {
		return nil
	}
	an.beat++
	return an.sendHeartbeat(nil, from, true, now)
}

// receiveSuspicion refutes a suspicion by a new heartbeat to all watchers and to
// the sender.
func (an *Announcer) receiveSuspicion(from netip.AddrPort, now time.Time) []Action {
	if an.state() == register.StateGone {
		return nil
	}
	acts := an.sendHeartbeats(nil, now)
	isWatcher := slices.ContainsFunc(an.watchers, func(cw chosenWatcher) bool {
		return cw.Address == from
	})
	if isWatcher {
		return acts
	}
	return an.sendHeartbeat(acts, from, true, now)
}

// SupersededBy reports whether an item about this node that another process wrote
// takes precedence over the announced record. A record does if its revision is
// higher; a removal does unless the announced revision is higher.
func (an *Announcer) SupersededBy(it delivery.Item) bool {
	if it.Kind == delivery.KindHostRemoval || it.Kind == delivery.KindBalancerRemoval {
		return !an.revision().Supersedes(it.Revision)
	}
	return it.Supersedes(an.revision())
}

// RaiseRevision announces the record with a revision above one that another
// process published for this address: an earlier process at the same address, or
// watchers that removed this node. It does nothing if the announced revision is
// higher already or the record is Gone.
func (an *Announcer) RaiseRevision(re register.Revision) []Action {
	if an.state() == register.StateGone || an.revision().Supersedes(re) {
		return nil
	}
	next := register.Revision{Incarnation: re.Incarnation, Sequence: re.Sequence}
	if re.Incarnation != an.revision().Incarnation {
		next = register.Revision{Incarnation: re.Incarnation + 1}
	}
	an.host.Revision = next
	an.balancer.Revision = next
	return an.publish()
}

// publish announces the record with the next sequence number.
func (an *Announcer) publish() []Action {
	an.host.Sequence++
	an.balancer.Sequence++
	it, err := an.item()
	if err != nil {
		return nil
	}
	return []Action{Publish{Item: it}}
}

// item encodes the record as an item to publish.
func (an *Announcer) item() (delivery.Item, error) {
	if an.subject.Role == RoleBalancer {
		return BalancerItem(an.balancer)
	}
	return HostItem(an.host)
}

// sendHeartbeats sends the next heartbeat to each watcher. Watchers that have not
// confirmed the list of watchers get it too.
func (an *Announcer) sendHeartbeats(acts []Action, now time.Time) []Action {
	an.beat++
	for ii := range an.watchers {
		cw := &an.watchers[ii]
		confirmed := now.Before(cw.confirmedUntil)
		if !confirmed && cw.confirmDeadline.IsZero() {
			cw.confirmDeadline = now.Add(watcherTimeout)
		}
		acts = an.sendHeartbeat(acts, cw.Address, !confirmed, now)
	}
	return acts
}

// sendHeartbeat sends a heartbeat with the current number to one balancer, with
// the list of watchers if asked for. It sends nothing if the budget is spent.
func (an *Announcer) sendHeartbeat(acts []Action, to netip.AddrPort, withWatchers bool, now time.Time) []Action {
	he := &Heartbeat{
		Subject:  an.subject,
		Revision: an.revision(),
		Scope:    an.scope(),
		Beat:     an.beat,
	}
	if withWatchers {
		for _, cw := range an.watchers {
			he.Watchers = append(he.Watchers, cw.Address)
		}
	}
	msg := Message{Heartbeat: he}
	if !an.bucket.TakeLiveness(now, msg.Size()) {
		return acts
	}
	return append(acts, Send{To: to, Message: msg})
}

func (an *Announcer) revision() register.Revision {
	if an.subject.Role == RoleBalancer {
		return an.balancer.Revision
	}
	return an.host.Revision
}

func (an *Announcer) state() register.State {
	if an.subject.Role == RoleBalancer {
		return an.balancer.State
	}
	return an.host.State
}

func (an *Announcer) domain() string {
	if an.subject.Role == RoleBalancer {
		return an.balancer.Domain
	}
	return an.host.Domain
}

// scope returns the scope of the record: the hash bucket of a balancer, the
// service of a host.
func (an *Announcer) scope() uint32 {
	if an.subject.Role == RoleBalancer {
		return HashBucketOf(an.subject.Address)
	}
	return uint32(an.host.Service)
}
