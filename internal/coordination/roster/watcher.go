package roster

import (
	"net/netip"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/delivery"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// Times and intervals of the failure detection.
const (
	// HeartbeatInterval is the time between two heartbeats to a watcher.
	HeartbeatInterval = 500 * time.Millisecond
	// SuspectAfter is the time without a heartbeat after which a watcher suspects
	// a subject.
	SuspectAfter = 1800 * time.Millisecond
	// RefuteWindow is the least time from suspicion to removal, in which the
	// subject can refute.
	RefuteWindow = 800 * time.Millisecond
	// SuspicionInterval is the least time between two repeats of a suspicion. The
	// interval is the age of the suspicion divided by suspicionBackOff, and at
	// most suspicionIntervalMax.
	SuspicionInterval    = 200 * time.Millisecond
	suspicionIntervalMax = 2 * time.Second
	suspicionBackOff     = 8
	// voteRepeats is the number of repeat intervals for which the suspicion of
	// another watcher counts as its vote.
	voteRepeats = 4
	// ReplaceWatchersAfter is the time without a heartbeat after which the other
	// watchers are asked to watch the subject, and those that left the fleet are
	// replaced.
	ReplaceWatchersAfter = 4 * time.Second
	// watchRequestInterval is the time between two such requests.
	watchRequestInterval = 2 * time.Second
	// watchAfterRemoval is how long a removed subject is still watched.
	watchAfterRemoval = time.Minute
	// pauseThreshold is the time between two ticks above which the process of
	// the watcher is taken to have been paused.
	pauseThreshold = time.Second
)

// A watcher takes silence for a fault on its own side if at least
// localFaultMinSilent and more than localFaultPercent percent of its subjects are
// silent.
const (
	localFaultPercent   = 50
	localFaultMinSilent = 3
)

// vote is the suspicion of another watcher, which counts until the deadline.
type vote struct {
	watcher  netip.AddrPort
	deadline time.Time
}

// watch is what a watcher knows about one subject.
type watch struct {
	subject  Subject
	revision register.Revision
	scope    uint32
	control  netip.AddrPort
	// beat is the number of the last known heartbeat, and lastHeard when this
	// watcher, or the one that told of it, received it.
	beat      uint64
	lastHeard time.Time
	// watchers is the list of watchers from the heartbeat with number
	// watchersBeat, or as changed since by replacements and watch requests.
	watchers     []netip.AddrPort
	watchersBeat uint64
	// suspectedAt is when this watcher began to suspect; zero if it does not.
	suspectedAt time.Time
	// removedAt is when this watcher found the subject removed from the view;
	// zero if it is not.
	removedAt        time.Time
	nextSuspicion    time.Time
	nextWatchRequest time.Time
	votes            []vote
}

// Watcher is the failure detector of a balancer for the subjects that chose it as
// their watcher.
type Watcher struct {
	self     netip.AddrPort
	roster   *Roster
	bucket   *delivery.Bucket
	watches  []*watch
	lastTick time.Time
	// localFaultDeadline is when this watcher suspects subjects even if most of
	// them are silent; zero if fewer are.
	localFaultDeadline time.Time
	// nextProbe is when the next probe is due, zero before the first Tick; probes
	// numbers them.
	nextProbe time.Time
	probes    uint64
}

// NewWatcher returns a watcher with the control address self. It reads the
// roster, and the size of its messages is taken from the bucket.
func NewWatcher(self netip.AddrPort, ro *Roster, bucket *delivery.Bucket) *Watcher {
	return &Watcher{self: self, roster: ro, bucket: bucket}
}

// Watched returns the number of subjects that are watched.
func (wa *Watcher) Watched() int {
	return len(wa.watches)
}

// Suspect describes one suspicion for operators.
type Suspect struct {
	Subject Subject
	// Since is when this watcher began to suspect the subject.
	Since time.Time
	// LastHeard is when the last known heartbeat was received.
	LastHeard time.Time
	// Watchers are all watchers of the subject and Votes those that suspect it,
	// both by control address.
	Watchers []netip.AddrPort
	Votes    []netip.AddrPort
}

// Suspects returns the subjects that this watcher suspects now.
func (wa *Watcher) Suspects(now time.Time) []Suspect {
	var suspects []Suspect
	for _, wt := range wa.watches {
		if wt.suspectedAt.IsZero() {
			continue
		}
		suspects = append(suspects, Suspect{
			Subject:   wt.subject,
			Since:     wt.suspectedAt,
			LastHeard: wt.lastHeard,
			Watchers:  slices.Clone(wt.watchers),
			Votes:     wt.voters(wa.self, now),
		})
	}
	return suspects
}

// Receive handles a message from a subject or another watcher.
func (wa *Watcher) Receive(from netip.AddrPort, msg Message, now time.Time) []Action {
	switch {
	case msg.Heartbeat != nil:
		return wa.receiveHeartbeat(from, *msg.Heartbeat, now)
	case msg.Suspicion != nil:
		return wa.receiveSuspicion(from, *msg.Suspicion, now)
	case msg.Refutation != nil:
		wa.receiveRefutation(*msg.Refutation, now)
	case msg.WatchRequest != nil:
		return wa.receiveWatchRequest(from, *msg.WatchRequest, now)
	}
	return nil
}

// receiveHeartbeat records that the subject is alive, and starts or stops watching
// it according to the list of watchers in the heartbeat.
func (wa *Watcher) receiveHeartbeat(from netip.AddrPort, he Heartbeat, now time.Time) []Action {
	if me, ok := wa.roster.Member(he.Subject); ok && fromRemovedRevision(me, he) {
		return wa.send(nil, from, Message{Removed: &Removed{
			Subject:  he.Subject,
			Revision: me.Removal.Revision,
		}}, now)
	}
	wt := wa.find(he.Subject)
	if len(he.Watchers) > 0 && !slices.Contains(he.Watchers, wa.self) {
		acts := wa.handOff(he, now)
		return wa.confirm(acts, from, he.Subject, true, now)
	}
	if wt == nil && len(he.Watchers) == 0 {
		return wa.confirm(nil, from, he.Subject, false, now)
	}
	if wt == nil {
		wt = &watch{subject: he.Subject}
		wa.watches = append(wa.watches, wt)
	}
	if !he.newerThan(wt) {
		return nil
	}
	acts := wa.refuteVotes(nil, wt, he, now)
	wt.update(he, from, now)
	if len(he.Watchers) > 0 {
		acts = wa.confirm(acts, from, he.Subject, true, now)
	}
	return acts
}

// fromRemovedRevision reports whether a removal covers the revision in the
// heartbeat.
func fromRemovedRevision(me Member, he Heartbeat) bool {
	return me.Removal.Revision != register.Revision{} && !he.Supersedes(me.Removal.Revision)
}

// newerThan reports whether the heartbeat is later than the last known one.
func (he Heartbeat) newerThan(wt *watch) bool {
	if he.Incarnation != wt.revision.Incarnation {
		return he.Incarnation > wt.revision.Incarnation
	}
	return he.Beat > wt.beat
}

// update takes over the contents of a later heartbeat.
func (wt *watch) update(he Heartbeat, from netip.AddrPort, now time.Time) {
	if he.Incarnation != wt.revision.Incarnation {
		wt.watchersBeat = 0
	}
	wt.revision = he.Revision
	wt.scope = he.Scope
	wt.control = from
	if len(he.Watchers) > 0 && he.Beat >= wt.watchersBeat {
		wt.watchers = he.Watchers
		wt.watchersBeat = he.Beat
	}
	wt.markAlive(he.Beat, now)
}

// markAlive records a heartbeat and ends the suspicion.
func (wt *watch) markAlive(beat uint64, now time.Time) {
	wt.beat = beat
	wt.lastHeard = now
	wt.suspectedAt = time.Time{}
	wt.votes = nil
}

// refuteVotes tells the watchers that suspect the subject of the heartbeat.
func (wa *Watcher) refuteVotes(acts []Action, wt *watch, he Heartbeat, now time.Time) []Action {
	for _, vo := range wt.votes {
		acts = wa.send(acts, vo.watcher, Message{Refutation: &Refutation{
			Subject:     he.Subject,
			Incarnation: he.Incarnation,
			Beat:        he.Beat,
		}}, now)
	}
	return acts
}

// handOff stops watching a subject that chose other watchers, and asks those to
// watch it: the subject may die before its heartbeats reach them.
func (wa *Watcher) handOff(he Heartbeat, now time.Time) []Action {
	wt := wa.find(he.Subject)
	if wt == nil || he.Incarnation < wt.revision.Incarnation || he.Beat < wt.watchersBeat {
		return nil
	}
	wa.stopWatching(he.Subject)
	wt.revision = he.Revision
	wt.beat = he.Beat
	wt.watchers = he.Watchers
	return wa.requestWatch(nil, wt, now)
}

// stopWatching deletes the watch of a subject.
func (wa *Watcher) stopWatching(subject Subject) {
	wa.watches = slices.DeleteFunc(wa.watches, func(wt *watch) bool {
		return wt.subject == subject
	})
}

// find returns the watch of a subject, or nil.
func (wa *Watcher) find(subject Subject) *watch {
	for _, wt := range wa.watches {
		if wt.subject == subject {
			return wt
		}
	}
	return nil
}

// confirm tells the subject whether this watcher knows the list of watchers.
func (wa *Watcher) confirm(acts []Action, to netip.AddrPort, su Subject, known bool, now time.Time) []Action {
	return wa.send(acts, to, Message{Confirmation: &Confirmation{Subject: su, ListKnown: known}}, now)
}

// send appends the message unless it is for this node itself or the budget is
// spent.
func (wa *Watcher) send(acts []Action, to netip.AddrPort, msg Message, now time.Time) []Action {
	if to == wa.self || !wa.bucket.TakeLiveness(now, msg.Size()) {
		return acts
	}
	return append(acts, Send{To: to, Message: msg})
}
