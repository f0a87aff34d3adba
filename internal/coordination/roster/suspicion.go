package roster

import (
	"net/netip"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// Tick suspects silent subjects, and publishes the removal of those that a majority
// of their watchers suspects and that did not refute in time. It does neither in
// the first tick after a pause of this process, nor while suspectsLocalFault holds.
// Now and then it probes a host that this watcher doesn't watch.
func (wa *Watcher) Tick(now time.Time) []Action {
	paused := !wa.lastTick.IsZero() && now.Sub(wa.lastTick) > pauseThreshold
	wa.lastTick = now
	if paused {
		wa.resetAfterPause(now)
		return nil
	}
	wa.syncRemovals(now)
	if wa.suspectsLocalFault(now) {
		return nil
	}
	var acts []Action
	for _, wt := range wa.watches {
		if wt.silent(now) {
			acts = wa.suspect(acts, wt, now)
		}
	}
	return wa.probe(acts, now)
}

// resetAfterPause counts the silence of all subjects anew after a pause of this
// process, during which it read no heartbeats.
func (wa *Watcher) resetAfterPause(now time.Time) {
	for _, wt := range wa.watches {
		wt.markAlive(wt.beat, now)
	}
}

// syncRemovals takes over from the view which subjects were removed, and stops
// watching those that announced the state Gone. A removed subject is watched for
// watchAfterRemoval longer, because a record that it announced before a crash may
// still arrive and supersede the removal; it must then be removed again.
func (wa *Watcher) syncRemovals(now time.Time) {
	wa.watches = slices.DeleteFunc(wa.watches, func(wt *watch) bool {
		me := wa.roster.members[wt.subject]
		if me == nil {
			return false
		}
		if me.State == register.StateGone && !wt.revision.Supersedes(me.Revision) {
			return true
		}
		if wt.latestRevision(me).Supersedes(me.Removal.Revision) {
			wt.removedAt = time.Time{}
			return false
		}
		if wt.removedAt.IsZero() {
			wt.removedAt = now
			wt.suspectedAt = time.Time{}
		}
		return now.Sub(wt.removedAt) >= watchAfterRemoval
	})
}

// latestRevision returns the highest revision of the subject that is known from its
// heartbeats or from the member, which may be nil.
func (wt *watch) latestRevision(me *Member) register.Revision {
	if me != nil && me.Supersedes(wt.revision) {
		return me.Revision
	}
	return wt.revision
}

// silent reports whether the subject is not removed and sent no heartbeat for
// SuspectAfter.
func (wt *watch) silent(now time.Time) bool {
	return wt.removedAt.IsZero() && now.Sub(wt.lastHeard) >= SuspectAfter
}

// suspectsLocalFault reports whether so many subjects are silent at once that the
// fault is likely on the side of this watcher. It does so for at most DistrustHold
// at a time.
func (wa *Watcher) suspectsLocalFault(now time.Time) bool {
	silent := 0
	for _, wt := range wa.watches {
		if wt.silent(now) {
			silent++
		}
	}
	if silent < localFaultMinSilent || silent*100 <= len(wa.watches)*localFaultPercent {
		wa.localFaultDeadline = time.Time{}
		return false
	}
	if wa.localFaultDeadline.IsZero() {
		wa.localFaultDeadline = now.Add(DistrustHold)
	}
	return now.Before(wa.localFaultDeadline)
}

// suspect repeats the suspicion to the subject and the other watchers when due, and
// removes the subject once a majority agrees and RefuteWindow is over.
func (wa *Watcher) suspect(acts []Action, wt *watch, now time.Time) []Action {
	if wt.suspectedAt.IsZero() {
		wt.suspectedAt = now
		wt.nextWatchRequest = wt.lastHeard.Add(ReplaceWatchersAfter)
	}
	if !now.Before(wt.nextSuspicion) {
		wt.nextSuspicion = now.Add(wt.repeatInterval(now))
		acts = wa.sendSuspicion(acts, wt, now)
	}
	if !now.Before(wt.nextWatchRequest) {
		wt.nextWatchRequest = now.Add(watchRequestInterval)
		acts = wa.replaceWatchers(acts, wt, now)
	}
	if now.Sub(wt.suspectedAt) < RefuteWindow {
		return acts
	}
	voters := wt.voters(wa.self, now)
	if len(voters) <= wa.electorCount(wt, now)/2 {
		return acts
	}
	return wa.remove(acts, wt, voters)
}

// repeatInterval returns the time to the next repeat of a suspicion, which grows
// with the age of the suspicion.
func (wt *watch) repeatInterval(now time.Time) time.Duration {
	if wt.suspectedAt.IsZero() {
		return SuspicionInterval
	}
	backedOff := now.Sub(wt.suspectedAt) / suspicionBackOff
	return min(max(backedOff, SuspicionInterval), suspicionIntervalMax)
}

// sendSuspicion sends the suspicion to the subject and the other watchers.
func (wa *Watcher) sendSuspicion(acts []Action, wt *watch, now time.Time) []Action {
	msg := Message{Suspicion: &Suspicion{
		Subject:     wt.subject,
		Incarnation: wt.revision.Incarnation,
		Beat:        wt.beat,
	}}
	acts = wa.send(acts, wt.control, msg, now)
	for _, to := range wt.watchers {
		acts = wa.send(acts, to, msg, now)
	}
	return acts
}

// remove publishes the removal of the highest known revision of the subject.
func (wa *Watcher) remove(acts []Action, wt *watch, voters []netip.AddrPort) []Action {
	revision := wt.latestRevision(wa.roster.members[wt.subject])
	re := Removal{Subject: wt.subject, Revision: revision, Watchers: voters}
	it, err := RemovalItem(re, wt.scope)
	if err != nil {
		return acts
	}
	return append(acts, Publish{Item: it})
}

// voters returns the watchers of the subject that suspect it now, this one first.
func (wt *watch) voters(self netip.AddrPort, now time.Time) []netip.AddrPort {
	var voters []netip.AddrPort
	if !wt.suspectedAt.IsZero() && slices.Contains(wt.watchers, self) {
		voters = append(voters, self)
	}
	for _, vo := range wt.votes {
		if now.Before(vo.deadline) && slices.Contains(wt.watchers, vo.watcher) {
			voters = append(voters, vo.watcher)
		}
	}
	return voters
}

// receiveSuspicion counts the vote of another watcher of the subject. If this
// watcher knows of a later heartbeat than the sender, it answers with that, and
// counts the vote only if the heartbeat was at least SuspectAfter ago.
func (wa *Watcher) receiveSuspicion(from netip.AddrPort, su Suspicion, now time.Time) []Action {
	wt := wa.find(su.Subject)
	if wt == nil {
		return nil
	}
	var acts []Action
	if su.olderThan(wt) {
		acts = wa.send(acts, from, Message{Refutation: &Refutation{
			Subject:     su.Subject,
			Incarnation: wt.revision.Incarnation,
			Beat:        wt.beat,
			Age:         now.Sub(wt.lastHeard),
		}}, now)
		if now.Sub(wt.lastHeard) < SuspectAfter {
			return acts
		}
	}
	if from == wa.self || !slices.Contains(wt.watchers, from) {
		return acts
	}
	wt.votes = slices.DeleteFunc(wt.votes, func(vo vote) bool { return vo.watcher == from })
	wt.votes = append(wt.votes, vote{watcher: from, deadline: now.Add(voteRepeats * wt.repeatInterval(now))})
	return acts
}

// olderThan reports whether the watch knows of a later heartbeat than the suspicion.
func (su Suspicion) olderThan(wt *watch) bool {
	if su.Incarnation != wt.revision.Incarnation {
		return su.Incarnation < wt.revision.Incarnation
	}
	return su.Beat < wt.beat
}

// receiveRefutation takes over a later heartbeat that another watcher heard. It ends
// the suspicion if that was less than SuspectAfter ago.
func (wa *Watcher) receiveRefutation(re Refutation, now time.Time) {
	wt := wa.find(re.Subject)
	if wt == nil || re.Incarnation != wt.revision.Incarnation || re.Beat <= wt.beat {
		return
	}
	wt.beat = re.Beat
	heard := now.Add(-max(re.Age, 0))
	if heard.After(wt.lastHeard) {
		wt.lastHeard = heard
	}
	if now.Sub(wt.lastHeard) < SuspectAfter {
		wt.markAlive(wt.beat, wt.lastHeard)
	}
}

// electorCount returns the number of watchers of which a majority removes the
// subject: those on its list, but no fewer than it would choose among the balancers
// in this view.
func (wa *Watcher) electorCount(wt *watch, now time.Time) int {
	eligible := 0
	for _, pe := range wa.roster.Peers(now) {
		if pe.Address != wt.control {
			eligible++
		}
	}
	return max(len(wt.watchers), min(eligible, WatcherCount))
}

// replaceWatchers replaces the watchers of the subject that left the fleet, and asks
// all of them to watch it: the subject may have died before its first heartbeat
// reached them.
func (wa *Watcher) replaceWatchers(acts []Action, wt *watch, now time.Time) []Action {
	var kept []netip.AddrPort
	for _, watcher := range wt.watchers {
		if !wa.roster.BalancerHasLeft(watcher, now) {
			kept = append(kept, watcher)
		}
	}
	wanted := wa.electorCount(wt, now)
	for _, ca := range rankCandidates(wt.subject, wa.roster.Peers(now)) {
		if len(kept) >= wanted {
			break
		}
		if ca.Address != wt.control && !slices.Contains(kept, ca.Address) {
			kept = append(kept, ca.Address)
		}
	}
	wt.watchers = kept
	return wa.requestWatch(acts, wt, now)
}

// requestWatch asks all watchers of the subject to watch it.
func (wa *Watcher) requestWatch(acts []Action, wt *watch, now time.Time) []Action {
	msg := Message{WatchRequest: &WatchRequest{
		Subject:  wt.subject,
		Revision: wt.revision,
		Scope:    wt.scope,
		Beat:     wt.beat,
		Control:  wt.control,
		Watchers: wt.watchers,
	}}
	for _, to := range wt.watchers {
		acts = wa.send(acts, to, msg, now)
	}
	return acts
}

// receiveWatchRequest takes over the list of watchers. A subject that was not
// watched yet counts as silent for SuspectAfter from the start. If this watcher
// knows of a later heartbeat than the sender, the request is handled as a
// suspicion instead.
func (wa *Watcher) receiveWatchRequest(from netip.AddrPort, re WatchRequest, now time.Time) []Action {
	if !slices.Contains(re.Watchers, wa.self) {
		return nil
	}
	wt := wa.find(re.Subject)
	su := Suspicion{Subject: re.Subject, Incarnation: re.Incarnation, Beat: re.Beat}
	if wt != nil && su.olderThan(wt) {
		return wa.receiveSuspicion(from, su, now)
	}
	if wt == nil {
		wt = &watch{
			subject:   re.Subject,
			revision:  re.Revision,
			scope:     re.Scope,
			control:   re.Control,
			beat:      re.Beat,
			lastHeard: now.Add(-SuspectAfter),
		}
		wa.watches = append(wa.watches, wt)
	}
	wt.watchers = re.Watchers
	return nil
}
