package roster

import (
	"net/netip"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/delivery"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// The pace of failure detection.
const (
	// HeartbeatInterval is the time between two heartbeats to one watcher.
	HeartbeatInterval = 500 * time.Millisecond
	// SuspectAfter is the silence after which a watcher suspects a subject.
	SuspectAfter = 1800 * time.Millisecond
	// RefuteWindow is the time that a suspected subject has to refute.
	RefuteWindow = 800 * time.Millisecond
	// SuspicionInterval is the time between the first repeats of a suspicion;
	// later ones come after the age of the suspicion over suspicionBackOff.
	SuspicionInterval    = 200 * time.Millisecond
	suspicionIntervalMax = 2 * time.Second
	suspicionBackOff     = 8
	// voteRepeats is for how many repeats the suspicion of another watcher
	// counts.
	voteRepeats = 4
	// RecruitAfter is the silence after which the watchers are completed.
	RecruitAfter = 4 * time.Second
	// recruitInterval is the time between repeats of a recruitment.
	recruitInterval = 2 * time.Second
	// lingerTime is how long a removed subject is watched on.
	lingerTime = time.Minute
	// pauseGap is the time between two ticks that shows that the watcher
	// itself was paused.
	pauseGap = time.Second
)

// When a watcher distrusts its own measurement.
const (
	selfDoubtPercent = 50
	selfDoubtLeast   = 3
)

// vote is the suspicion of another watcher.
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
	beat     uint64
	heard    time.Time
	// watchers is the subject's list as of listBeat.
	watchers []netip.AddrPort
	listBeat uint64
	// suspected is when this watcher began to suspect; zero if it does not.
	suspected time.Time
	// removed is when the view removed the subject; zero if it did not.
	removed       time.Time
	nextSuspicion time.Time
	nextRecruit   time.Time
	votes         []vote
}

// Watcher is the core that a balancer runs for the subjects that chose it.
type Watcher struct {
	self    netip.AddrPort
	roster  *Roster
	bucket  *delivery.Bucket
	watches []*watch
	ticked  time.Time
	// doubtDeadline is when this watcher trusts its own measurement again
	// although most subjects are silent.
	doubtDeadline time.Time
}

// NewWatcher returns a watcher with the control address self. It reads the
// roster and spends from the bucket.
func NewWatcher(self netip.AddrPort, ro *Roster, bucket *delivery.Bucket) *Watcher {
	return &Watcher{self: self, roster: ro, bucket: bucket}
}

// Watched returns the number of subjects that are watched.
func (wa *Watcher) Watched() int {
	return len(wa.watches)
}

// Suspect is one suspicion as operators read it.
type Suspect struct {
	Subject Subject
	// Since is when this watcher began to suspect.
	Since time.Time
	// LastHeard is when the last heartbeat came.
	LastHeard time.Time
	// Watchers are all watchers, Votes those that suspect as well.
	Watchers []netip.AddrPort
	Votes    []netip.AddrPort
}

// Suspects returns what this watcher suspects now.
func (wa *Watcher) Suspects(now time.Time) []Suspect {
	var suspects []Suspect
	for _, wt := range wa.watches {
		if wt.suspected.IsZero() {
			continue
		}
		suspects = append(suspects, Suspect{
			Subject:  wt.subject,
			Since:    wt.suspected,
			LastHeard:    wt.heard,
			Watchers: slices.Clone(wt.watchers),
			Votes:    wt.voters(wa.self, now),
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
	case msg.Proof != nil:
		wa.receiveProof(*msg.Proof, now)
	case msg.Recruit != nil:
		return wa.receiveRecruit(from, *msg.Recruit, now)
	}
	return nil
}

// receiveHeartbeat notes the sign of life and settles who watches.
func (wa *Watcher) receiveHeartbeat(from netip.AddrPort, he Heartbeat, now time.Time) []Action {
	if me, ok := wa.roster.Member(he.Subject); ok && refused(me, he) {
		return wa.send(nil, from, Message{Removed: &Removed{
			Subject:  he.Subject,
			Revision: me.Removal.Revision,
		}}, now)
	}
	wt := wa.find(he.Subject)
	if len(he.Watchers) > 0 && !slices.Contains(he.Watchers, wa.self) {
		acts := wa.release(he, now)
		return wa.confirm(acts, from, he.Subject, true, now)
	}
	if wt == nil && len(he.Watchers) == 0 {
		return wa.confirm(nil, from, he.Subject, false, now)
	}
	if wt == nil {
		wt = &watch{subject: he.Subject}
		wa.watches = append(wa.watches, wt)
	}
	if !he.later(wt) {
		return nil
	}
	acts := wa.vouch(nil, wt, he, now)
	wt.renew(he, from, now)
	if len(he.Watchers) > 0 {
		acts = wa.confirm(acts, from, he.Subject, true, now)
	}
	return acts
}

// refused reports whether the heartbeat belongs to a removed revision.
func refused(me Member, he Heartbeat) bool {
	return me.Removal.Revision != register.Revision{} && !he.Supersedes(me.Removal.Revision)
}

// later reports whether the heartbeat is newer than what is known.
func (he Heartbeat) later(wt *watch) bool {
	if he.Incarnation != wt.revision.Incarnation {
		return he.Incarnation > wt.revision.Incarnation
	}
	return he.Beat > wt.beat
}

// renew takes over the heartbeat's contents.
func (wt *watch) renew(he Heartbeat, from netip.AddrPort, now time.Time) {
	if he.Incarnation != wt.revision.Incarnation {
		wt.listBeat = 0
	}
	wt.revision = he.Revision
	wt.scope = he.Scope
	wt.control = from
	if len(he.Watchers) > 0 && he.Beat >= wt.listBeat {
		wt.watchers = he.Watchers
		wt.listBeat = he.Beat
	}
	wt.trust(he.Beat, now)
}

// trust ends a suspicion by a newer beat.
func (wt *watch) trust(beat uint64, now time.Time) {
	wt.beat = beat
	wt.heard = now
	wt.suspected = time.Time{}
	wt.votes = nil
}

// vouch passes the beat on to the watchers that suspect the subject.
func (wa *Watcher) vouch(acts []Action, wt *watch, he Heartbeat, now time.Time) []Action {
	for _, vo := range wt.votes {
		acts = wa.send(acts, vo.watcher, Message{Proof: &Refutation{
			Subject:     he.Subject,
			Incarnation: he.Incarnation,
			Beat:        he.Beat,
		}}, now)
	}
	return acts
}

// release stops watching a subject that chose other watchers, and hands over to
// them: the subject may die before they hear of it.
func (wa *Watcher) release(he Heartbeat, now time.Time) []Action {
	wt := wa.find(he.Subject)
	if wt == nil || he.Incarnation < wt.revision.Incarnation || he.Beat < wt.listBeat {
		return nil
	}
	wa.forget(he.Subject)
	wt.revision = he.Revision
	wt.beat = he.Beat
	wt.watchers = he.Watchers
	return wa.handOver(nil, wt, now)
}

// forget stops watching a subject.
func (wa *Watcher) forget(subject Subject) {
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

// confirm tells the subject whether its list of watchers is known.
func (wa *Watcher) confirm(acts []Action, to netip.AddrPort, su Subject, known bool, now time.Time) []Action {
	return wa.send(acts, to, Message{Confirmation: &Confirmation{Subject: su, Known: known}}, now)
}

// send appends the message if the budget allows it.
func (wa *Watcher) send(acts []Action, to netip.AddrPort, msg Message, now time.Time) []Action {
	if to == wa.self || !wa.bucket.TakeLiveness(now, msg.Size()) {
		return acts
	}
	return append(acts, Send{To: to, Message: msg})
}
