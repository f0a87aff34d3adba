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
	wa.dropRemoved()
	if wa.doubtsItself(now) {
		return nil
	}
	var acts []Action
	for _, wt := range slices.Clone(wa.watches) {
		if now.Sub(wt.heard) >= SuspectAfter {
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

// dropRemoved stops watching the subjects that left the fleet.
func (wa *Watcher) dropRemoved() {
	wa.watches = slices.DeleteFunc(wa.watches, func(wt *watch) bool {
		me, ok := wa.roster.members[wt.subject]
		if !ok {
			return false
		}
		removed := !wt.revision.Supersedes(me.Removal.Revision)
		gone := me.State == register.StateGone && !wt.revision.Supersedes(me.Revision)
		return removed || gone
	})
}

// doubtsItself reports whether so many subjects are silent at once that the
// fault is likely this watcher's own. The doubt ends after DistrustHold.
func (wa *Watcher) doubtsItself(now time.Time) bool {
	silent := 0
	for _, wt := range wa.watches {
		if now.Sub(wt.heard) >= SuspectAfter {
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
		wt.nextSuspicion = now.Add(SuspicionInterval)
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
	if len(voters) <= len(wt.watchers)/2 {
		return acts
	}
	return wa.remove(acts, wt, voters)
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

// remove publishes the removal of the subject and stops watching it.
func (wa *Watcher) remove(acts []Action, wt *watch, voters []netip.AddrPort) []Action {
	re := Removal{Subject: wt.subject, Revision: wt.revision, Watchers: voters}
	it, err := RemovalItem(re, wt.scope)
	if err != nil {
		return acts
	}
	wa.forget(wt.subject)
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
		acts = wa.send(acts, from, Message{Proof: &Proof{
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
	wt.votes = append(wt.votes, vote{watcher: from, deadline: now.Add(voteLifetime)})
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
func (wa *Watcher) receiveProof(pr Proof, now time.Time) {
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

// recruit replaces the watchers that were themselves removed, so that the
// death of watchers does not keep a dead subject in the fleet.
func (wa *Watcher) recruit(acts []Action, wt *watch, now time.Time) []Action {
	var kept []netip.AddrPort
	for _, watcher := range wt.watchers {
		if !wa.roster.Absent(watcher, now) {
			kept = append(kept, watcher)
		}
	}
	if len(kept) == len(wt.watchers) {
		return acts
	}
	for _, ca := range ranked(wt.subject, wa.roster.Peers(now)) {
		if len(kept) == len(wt.watchers) {
			break
		}
		if ca.Address != wt.control && !slices.Contains(kept, ca.Address) {
			kept = append(kept, ca.Address)
		}
	}
	wt.watchers = kept
	msg := Message{Recruit: &Recruit{
		Subject:  wt.subject,
		Revision: wt.revision,
		Scope:    wt.scope,
		Beat:     wt.beat,
		Control:  wt.control,
		Watchers: kept,
	}}
	for _, to := range kept {
		acts = wa.send(acts, to, msg, now)
	}
	return acts
}

// receiveRecruit begins to watch the subject, or answers with a later beat.
func (wa *Watcher) receiveRecruit(from netip.AddrPort, re Recruit, now time.Time) []Action {
	if !slices.Contains(re.Watchers, wa.self) || !slices.Contains(re.Watchers, from) {
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
