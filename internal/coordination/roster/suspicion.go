package roster

import (
	"net/netip"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// Tick suspects silent subjects and removes those that a majority of their
// watchers suspects and that did not refute in time.
func (wa *Watcher) Tick(now time.Time) []Action {
	paused := !wa.ticked.IsZero() && now.Sub(wa.ticked) > pauseGap
	wa.ticked = now
	if paused {
		wa.restart(now)
		return nil
	}
	wa.settle(now)
	if wa.doubtsItself(now) {
		return nil
	}
	var acts []Action
	for _, wt := range wa.watches {
		if wt.silent(now) {
			acts = wa.suspect(acts, wt, now)
		}
	}
	return acts
}

// restart forgets what was measured before a pause of this process.
func (wa *Watcher) restart(now time.Time) {
	for _, wt := range wa.watches {
		wt.trust(wt.beat, now)
	}
}

// settle looks up which subjects the view removed already. They are watched on
// for a while, because a record that was announced before the crash may still
// arrive and supersede the removal.
func (wa *Watcher) settle(now time.Time) {
	wa.watches = slices.DeleteFunc(wa.watches, func(wt *watch) bool {
		me := wa.roster.members[wt.subject]
		if me == nil {
			return false
		}
		if me.State == register.StateGone && !wt.revision.Supersedes(me.Revision) {
			return true
		}
		if wt.latest(me).Supersedes(me.Removal.Revision) {
			wt.removed = time.Time{}
			return false
		}
		if wt.removed.IsZero() {
			wt.removed = now
			wt.suspected = time.Time{}
		}
		return now.Sub(wt.removed) >= lingerTime
	})
}

// latest returns the newest revision of the subject that is known from
// heartbeats or from its record, which is nil if there is none.
func (wt *watch) latest(me *Member) register.Revision {
	if me != nil && me.Supersedes(wt.revision) {
		return me.Revision
	}
	return wt.revision
}

// silent reports whether the subject is to be suspected.
func (wt *watch) silent(now time.Time) bool {
	return wt.removed.IsZero() && now.Sub(wt.heard) >= SuspectAfter
}

// doubtsItself reports whether so many subjects are silent at once that the
// fault is likely this watcher's own. The doubt ends after DistrustHold.
func (wa *Watcher) doubtsItself(now time.Time) bool {
	silent := 0
	for _, wt := range wa.watches {
		if wt.silent(now) {
			silent++
		}
	}
	if silent < selfDoubtLeast || silent*100 <= len(wa.watches)*selfDoubtPercent {
		wa.doubtDeadline = time.Time{}
		return false
	}
	if wa.doubtDeadline.IsZero() {
		wa.doubtDeadline = now.Add(DistrustHold)
	}
	return now.Before(wa.doubtDeadline)
}

// suspect tells the subject and the other watchers, and removes the subject
// once the majority agrees and the time to refute is over.
func (wa *Watcher) suspect(acts []Action, wt *watch, now time.Time) []Action {
	if wt.suspected.IsZero() {
		wt.suspected = now
		wt.nextRecruit = wt.heard.Add(RecruitAfter)
	}
	if !now.Before(wt.nextSuspicion) {
		wt.nextSuspicion = now.Add(wt.repeat(now))
		acts = wa.tell(acts, wt, now)
	}
	if !now.Before(wt.nextRecruit) {
		wt.nextRecruit = now.Add(recruitInterval)
		acts = wa.recruit(acts, wt, now)
	}
	if now.Sub(wt.suspected) < RefuteWindow {
		return acts
	}
	voters := wt.voters(wa.self, now)
	if len(voters) <= wa.electorate(wt, now)/2 {
		return acts
	}
	return wa.remove(acts, wt, voters)
}

// repeat returns the time to the next repeat of a suspicion, which grows with
// its age.
func (wt *watch) repeat(now time.Time) time.Duration {
	if wt.suspected.IsZero() {
		return SuspicionInterval
	}
	backedOff := now.Sub(wt.suspected) / suspicionBackOff
	return min(max(backedOff, SuspicionInterval), suspicionIntervalMax)
}

// tell sends the suspicion to the subject and the other watchers.
func (wa *Watcher) tell(acts []Action, wt *watch, now time.Time) []Action {
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

// remove publishes the removal of the newest known revision of the subject.
func (wa *Watcher) remove(acts []Action, wt *watch, voters []netip.AddrPort) []Action {
	revision := wt.latest(wa.roster.members[wt.subject])
	re := Removal{Subject: wt.subject, Revision: revision, Watchers: voters}
	it, err := RemovalItem(re, wt.scope)
	if err != nil {
		return acts
	}
	return append(acts, Publish{Item: it})
}

// voters returns the watchers that suspect the subject now, this one first.
func (wt *watch) voters(self netip.AddrPort, now time.Time) []netip.AddrPort {
	var voters []netip.AddrPort
	if !wt.suspected.IsZero() && slices.Contains(wt.watchers, self) {
		voters = append(voters, self)
	}
	for _, vo := range wt.votes {
		if now.Before(vo.deadline) && slices.Contains(wt.watchers, vo.watcher) {
			voters = append(voters, vo.watcher)
		}
	}
	return voters
}

// receiveSuspicion counts the vote of another watcher, or answers it with a
// later beat.
func (wa *Watcher) receiveSuspicion(from netip.AddrPort, su Suspicion, now time.Time) []Action {
	wt := wa.find(su.Subject)
	if wt == nil {
		return nil
	}
	var acts []Action
	if su.earlier(wt) {
		acts = wa.send(acts, from, Message{Proof: &Refutation{
			Subject:     su.Subject,
			Incarnation: wt.revision.Incarnation,
			Beat:        wt.beat,
			Age:         now.Sub(wt.heard),
		}}, now)
		if now.Sub(wt.heard) < SuspectAfter {
			return acts
		}
	}
	if from == wa.self || !slices.Contains(wt.watchers, from) {
		return acts
	}
	wt.votes = slices.DeleteFunc(wt.votes, func(vo vote) bool { return vo.watcher == from })
	wt.votes = append(wt.votes, vote{watcher: from, deadline: now.Add(voteRepeats * wt.repeat(now))})
	return acts
}

// earlier reports whether the watch knows a later beat than the suspicion.
func (su Suspicion) earlier(wt *watch) bool {
	if su.Incarnation != wt.revision.Incarnation {
		return su.Incarnation < wt.revision.Incarnation
	}
	return su.Beat < wt.beat
}

// receiveProof ends a suspicion by a beat that another watcher heard.
func (wa *Watcher) receiveProof(pr Refutation, now time.Time) {
	wt := wa.find(pr.Subject)
	if wt == nil || pr.Incarnation != wt.revision.Incarnation || pr.Beat <= wt.beat {
		return
	}
	wt.beat = pr.Beat
	heard := now.Add(-max(pr.Age, 0))
	if heard.After(wt.heard) {
		wt.heard = heard
	}
	if now.Sub(wt.heard) < SuspectAfter {
		wt.trust(wt.beat, wt.heard)
	}
}

// electorate returns how many watchers decide about the subject: those that it
// named, but no fewer than it would name in this watcher's view.
func (wa *Watcher) electorate(wt *watch, now time.Time) int {
	eligible := 0
	for _, pe := range wa.roster.Peers(now) {
		if pe.Address != wt.control {
			eligible++
		}
	}
	return max(len(wt.watchers), min(eligible, WatcherCount))
}

// recruit completes the watchers: it replaces those that were themselves
// removed and tells all others whom to watch, in case the subject died before
// its first heartbeat reached them.
func (wa *Watcher) recruit(acts []Action, wt *watch, now time.Time) []Action {
	var kept []netip.AddrPort
	for _, watcher := range wt.watchers {
		if !wa.roster.BalancerHasLeft(watcher, now) {
			kept = append(kept, watcher)
		}
	}
	wanted := wa.electorate(wt, now)
	for _, ca := range ranked(wt.subject, wa.roster.Peers(now)) {
		if len(kept) >= wanted {
			break
		}
		if ca.Address != wt.control && !slices.Contains(kept, ca.Address) {
			kept = append(kept, ca.Address)
		}
	}
	wt.watchers = kept
	return wa.handOver(acts, wt, now)
}

// handOver tells all watchers of the subject to watch it.
func (wa *Watcher) handOver(acts []Action, wt *watch, now time.Time) []Action {
	msg := Message{Recruit: &Recruit{
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

// receiveRecruit begins to watch the subject, or answers with a later beat.
func (wa *Watcher) receiveRecruit(from netip.AddrPort, re Recruit, now time.Time) []Action {
	if !slices.Contains(re.Watchers, wa.self) {
		return nil
	}
	wt := wa.find(re.Subject)
	su := Suspicion{Subject: re.Subject, Incarnation: re.Incarnation, Beat: re.Beat}
	if wt != nil && su.earlier(wt) {
		return wa.receiveSuspicion(from, su, now)
	}
	if wt == nil {
		wt = &watch{
			subject:  re.Subject,
			revision: re.Revision,
			scope:    re.Scope,
			control:  re.Control,
			beat:     re.Beat,
			heard:    now.Add(-SuspectAfter),
		}
		wa.watches = append(wa.watches, wt)
	}
	wt.watchers = re.Watchers
	return nil
}
