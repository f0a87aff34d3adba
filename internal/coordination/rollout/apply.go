package rollout

import (
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/change"
)

// handleDelta applies the delta, or keeps it until the deltas before it have
// arrived.
func (re *Replica) handleDelta(now time.Time, encoded []byte) []Action {
	de, err := change.DecodeDelta(encoded)
	if err != nil {
		return re.notice(Notice{Kind: NoticeUntrusted, Reason: err.Error()})
	}
	re.noteVersion(now, de.To())
	re.waitingDeltas[int(de.To().Number%DeltaSlots)] = waitingDelta{Delta: de, encoded: encoded}
	return re.applyWaiting(now)
}

// applyWaiting applies the waiting deltas that can be applied, in order.
func (re *Replica) applyWaiting(now time.Time) []Action {
	var actions []Action
	for re.state != nil {
		slot, ok := re.nextApplicable()
		if !ok {
			break
		}
		de := re.waitingDeltas[slot]
		delete(re.waitingDeltas, slot)
		next, err := re.state.Apply(de.Delta)
		if err != nil {
			actions = append(actions, re.notice(Notice{Kind: NoticeUntrusted, Store: de.To(), Reason: err.Error()})...)
			continue
		}
		re.recent.add(de.Delta, de.encoded)
		actions = append(actions, re.apply(now, next)...)
	}
	return actions
}

// nextApplicable returns the slot of a waiting delta that can be applied to the
// state in force. It drops deltas that lead to no newer version.
func (re *Replica) nextApplicable() (int, bool) {
	for slot := range DeltaSlots {
		de, ok := re.waitingDeltas[slot]
		if !ok {
			continue
		}
		if !re.state.Version().Less(de.To()) {
			delete(re.waitingDeltas, slot)
			continue
		}
		if !re.state.Version().Less(de.From) {
			return slot, true
		}
	}
	return 0, false
}

// apply puts the state in force if it is newer than the present one.
func (re *Replica) apply(now time.Time, next *change.State) []Action {
	if !re.state.Version().Less(next.Version()) {
		return nil
	}
	re.state = next
	re.catchUps = 0
	re.noteVersion(now, next.Version())
	re.behindSince = time.Time{}
	if re.isBehind() {
		re.behindSince = now
	}
	re.scheduleReport(now)
	return []Action{{Kind: ActionApply, State: next}}
}

// applySnapshot verifies a complete snapshot and puts it in force if it is newer
// than the present state.
func (re *Replica) applySnapshot(now time.Time, sn *change.Snapshot) []Action {
	if sn == nil || sn.Root == nil || !re.state.Version().Less(sn.Root.Version) {
		return nil
	}
	if err := sn.Root.Verify(re.root(), re.anchors); err != nil {
		return re.notice(Notice{Kind: NoticeUntrusted, Store: sn.Root.Version, Reason: err.Error()})
	}
	next, err := change.NewState(sn)
	if err != nil {
		return re.notice(Notice{Kind: NoticeUntrusted, Store: sn.Root.Version, Reason: err.Error()})
	}
	return re.apply(now, next)
}
