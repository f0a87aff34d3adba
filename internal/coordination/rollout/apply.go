package rollout

import (
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/change"
)

// takeDelta applies the delta, or keeps it until those before it have come.
func (re *Reader) takeDelta(now time.Time, encoded []byte) []Action {
	de, err := change.DecodeDelta(encoded)
	if err != nil {
		return re.notice(Notice{Kind: NoticeUntrusted, Reason: err.Error()})
	}
	re.news(now, de.To())
	re.waiting[int(de.To().Number%DeltaSlots)] = waitingDelta{Delta: de, encoded: encoded}
	return re.applyWaiting(now)
}

// applyWaiting applies the deltas that fit, in order.
func (re *Reader) applyWaiting(now time.Time) []Action {
	var actions []Action
	for re.state != nil {
		slot, ok := re.fitting()
		if !ok {
			break
		}
		de := re.waiting[slot]
		delete(re.waiting, slot)
		next, err := re.state.Apply(de.Delta)
		if err != nil {
			actions = append(actions, re.notice(Notice{Kind: NoticeUntrusted, Store: de.To(), Reason: err.Error()})...)
			continue
		}
		re.kept.keep(de.Delta, de.encoded)
		actions = append(actions, re.apply(now, next)...)
	}
	return actions
}

// fitting returns the slot of a waiting delta that applies to the state. Those
// that lead to no newer version are dropped.
func (re *Reader) fitting() (int, bool) {
	for slot := range DeltaSlots {
		de, ok := re.waiting[slot]
		if !ok {
			continue
		}
		if !re.state.Version().Less(de.To()) {
			delete(re.waiting, slot)
			continue
		}
		if !re.state.Version().Less(de.From) {
			return slot, true
		}
	}
	return 0, false
}

// apply puts a newer state in force, and only a newer one.
func (re *Reader) apply(now time.Time, next *change.State) []Action {
	if !re.state.Version().Less(next.Version()) {
		return nil
	}
	re.state = next
	re.asks = 0
	re.news(now, next.Version())
	re.behind = time.Time{}
	if re.lacks() {
		re.behind = now
	}
	re.touch(now)
	return []Action{{Kind: ActionApply, State: next}}
}

// adopt checks a complete snapshot and puts it in force if it is newer.
func (re *Reader) adopt(now time.Time, sn *change.Snapshot) []Action {
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
