package roster

import (
	"net/netip"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/delivery"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// The ramp of a host that starts cold.
const (
	// WarmUp is the time from the start to the full weight.
	WarmUp = 30 * time.Second
	// warmUpSteps is how many weights a host announces on the way.
	warmUpSteps = 4
	// loadStep is the least change of load in percent that is announced.
	loadStep = 25
	// loadSharePerSecond is the time that each member of the fleet must leave
	// between two announcements of load, so that all together stay in budget.
	loadSharePerSecond = 1100 * time.Millisecond
	// leastLoadInterval is the least time between announcements of load.
	leastLoadInterval = 5 * time.Second
)

// Announcer is the only writer of one record. It sends heartbeats to the
// watchers that it chose.
type Announcer struct {
	subject  Subject
	host     register.Host
	balancer register.Balancer
	control  netip.AddrPort
	bucket   *delivery.Bucket
	beat     uint64
	// fullWeight is what a host announces once it is warm.
	fullWeight    uint16
	warmedSteps   uint16
	nextWarmStep  time.Time
	nextHeartbeat time.Time
	nextLoad      time.Time
	watchers      []watcherLink
	// watcherChanges counts how often the watchers changed.
	watcherChanges uint64
	peers          []delivery.Peer
	// avoided are balancers that did not confirm, with the time at which they
	// may be chosen again.
	avoided   map[netip.AddrPort]time.Time
	fleetSize int
}

// NewHostAnnouncer returns the announcer of a host. The record's weight is the
// one that the host has once it is warm; its state is set by Start.
func NewHostAnnouncer(ho register.Host, bucket *delivery.Bucket) *Announcer {
	return &Announcer{
		subject:    Subject{Role: RoleHost, Address: ho.Address},
		host:       ho,
		control:    ho.Control,
		bucket:     bucket,
		fullWeight: ho.Weight,
		avoided:    make(map[netip.AddrPort]time.Time),
	}
}

// NewBalancerAnnouncer returns the announcer of a balancer.
func NewBalancerAnnouncer(ba register.Balancer, bucket *delivery.Bucket) *Announcer {
	return &Announcer{
		subject:  Subject{Role: RoleBalancer, Address: ba.Address},
		balancer: ba,
		control:  ba.Control,
		bucket:   bucket,
		avoided:  make(map[netip.AddrPort]time.Time),
	}
}

// Host returns the record as last announced by a host.
func (an *Announcer) Host() register.Host {
	return an.host
}

// Balancer returns the record as last announced by a balancer.
func (an *Announcer) Balancer() register.Balancer {
	return an.balancer
}

// Subject returns whose record is announced.
func (an *Announcer) Subject() Subject {
	return an.subject
}

// Start announces the record in the state Warming.
func (an *Announcer) Start(now time.Time) []Action {
	an.nextHeartbeat = now
	if an.subject.Role == RoleHost {
		an.warmedSteps = 1
		an.nextWarmStep = now.Add(WarmUp / warmUpSteps)
		an.host.Weight = an.rampWeight()
	}
	return an.SetState(register.StateWarming)
}

// rampWeight returns the weight at the current step of the ramp.
func (an *Announcer) rampWeight() uint16 {
	return max(1, uint16(uint32(an.fullWeight)*uint32(an.warmedSteps)/warmUpSteps))
}

// SetState announces a new state. The states only go forward.
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

// SetVersion announces the configuration that a balancer has in force.
func (an *Announcer) SetVersion(term, version uint64) []Action {
	an.balancer.Term = term
	an.balancer.Version = version
	return an.publish()
}

// SetLoad announces the host's load in percent if it changed by much, and the
// less often the larger the fleet is.
func (an *Announcer) SetLoad(load uint16, now time.Time) []Action {
	difference := max(load, an.host.Load) - min(load, an.host.Load)
	if difference < loadStep || now.Before(an.nextLoad) {
		return nil
	}
	interval := time.Duration(an.fleetSize) * loadSharePerSecond
	an.nextLoad = now.Add(max(interval, leastLoadInterval))
	an.host.Load = load
	return an.publish()
}

// Tick sends the heartbeats that are due and goes on with the ramp.
func (an *Announcer) Tick(now time.Time) []Action {
	acts := an.warm(now)
	acts = append(acts, an.giveUpSilent(now)...)
	if now.Before(an.nextHeartbeat) || an.state() == register.StateGone {
		return acts
	}
	an.nextHeartbeat = now.Add(HeartbeatInterval)
	return an.beatAll(acts, now)
}

// warm announces the next weight of the ramp when it is due.
func (an *Announcer) warm(now time.Time) []Action {
	if an.subject.Role != RoleHost || an.state() != register.StateWarming || now.Before(an.nextWarmStep) {
		return nil
	}
	an.warmedSteps++
	an.nextWarmStep = now.Add(WarmUp / warmUpSteps)
	if an.warmedSteps >= warmUpSteps {
		return an.SetState(register.StateReady)
	}
	an.host.Weight = an.rampWeight()
	return an.publish()
}

// Receive handles a message from a watcher.
func (an *Announcer) Receive(from netip.AddrPort, msg Message, now time.Time) []Action {
	switch {
	case msg.Confirmation != nil && msg.Confirmation.Subject == an.subject:
		return an.receiveConfirmation(from, msg.Confirmation.Known, now)
	case msg.Suspicion != nil && msg.Suspicion.Subject == an.subject:
		return an.receiveSuspicion(from, now)
	case msg.Removed != nil && msg.Removed.Subject == an.subject:
		return an.RaiseRevision(msg.Removed.Revision)
	}
	return nil
}

// receiveConfirmation notes whether a watcher knows the list of watchers.
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
	return an.beatTo(nil, from, true, now)
}

// receiveSuspicion refutes with a later beat to all watchers and the sender.
func (an *Announcer) receiveSuspicion(from netip.AddrPort, now time.Time) []Action {
	if an.state() == register.StateGone {
		return nil
	}
	acts := an.beatAll(nil, now)
	watches := slices.ContainsFunc(an.watchers, func(wl watcherLink) bool {
		return wl.Address == from
	})
	if watches {
		return acts
	}
	return an.beatTo(acts, from, true, now)
}

// SupersededBy reports whether an item about this node, which another process
// wrote, hides the announced record: a removal of the same revision does.
func (an *Announcer) SupersededBy(it delivery.Item) bool {
	if it.Kind == delivery.KindHostRemoval || it.Kind == delivery.KindBalancerRemoval {
		return !an.revision().Supersedes(it.Revision)
	}
	return it.Supersedes(an.revision())
}

// RaiseRevision announces a revision above one that another process published for
// this address: an earlier incarnation, or watchers that removed it. A record
// that is Gone stays so.
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

// publish announces the record with the next sequence.
func (an *Announcer) publish() []Action {
	an.host.Sequence++
	an.balancer.Sequence++
	it, err := an.item()
	if err != nil {
		return nil
	}
	return []Action{Publish{Item: it}}
}

// item returns the item of the record.
func (an *Announcer) item() (delivery.Item, error) {
	if an.subject.Role == RoleBalancer {
		return BalancerItem(an.balancer)
	}
	return HostItem(an.host)
}

// beatAll sends the next heartbeat to each watcher.
func (an *Announcer) beatAll(acts []Action, now time.Time) []Action {
	an.beat++
	for ii := range an.watchers {
		wl := &an.watchers[ii]
		confirmed := now.Before(wl.confirmedUntil)
		if !confirmed && wl.askedUntil.IsZero() {
			wl.askedUntil = now.Add(watcherTimeout)
		}
		acts = an.beatTo(acts, wl.Address, !confirmed, now)
	}
	return acts
}

// beatTo sends the current heartbeat to one watcher.
func (an *Announcer) beatTo(acts []Action, to netip.AddrPort, withWatchers bool, now time.Time) []Action {
	he := &Heartbeat{
		Subject:  an.subject,
		Revision: an.revision(),
		Scope:    an.scope(),
		Beat:     an.beat,
	}
	if withWatchers {
		for _, wl := range an.watchers {
			he.Watchers = append(he.Watchers, wl.Address)
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

func (an *Announcer) scope() uint32 {
	if an.subject.Role == RoleBalancer {
		return CellOf(an.subject.Address)
	}
	return uint32(an.host.Service)
}
