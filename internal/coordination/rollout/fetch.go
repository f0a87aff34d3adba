package rollout

import (
	"fmt"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/archive"
	"corneltiller.dev/corneltiller/internal/coordination/change"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// HandleAnswer takes the end of a call to the store.
func (re *Reader) HandleAnswer(now time.Time, an archive.Answer) []Action {
	var actions []Action
	switch {
	case an.ID == re.call:
		re.call = 0
		actions = re.rootAnswered(now, an)
	case re.fetch != nil && re.fetch.open[an.ID]:
		actions = re.shardAnswered(now, an)
	}
	return append(actions, re.Tick(now)...)
}

func (re *Reader) rootAnswered(now time.Time, an archive.Answer) []Action {
	re.watchAt = now
	switch an.Result {
	case archive.ResultDone:
	case archive.ResultUnchanged:
		re.news(now, re.state.Version())
		return nil
	default:
		re.watchAt = re.jitter(now, WatchRetry)
		return nil
	}
	ro, err := change.DecodeRoot(an.Object.Value)
	if err != nil {
		re.watchAt = re.jitter(now, WatchRetry)
		return re.notice(Notice{Kind: NoticeUntrusted, Reason: err.Error()})
	}
	re.stored = an.Object.Version
	return re.rootRead(now, ro)
}

// rootRead compares the store's root with what is in force.
func (re *Reader) rootRead(now time.Time, ro *change.Root) []Action {
	version := re.state.Version()
	if ro.Version.Less(version) || ro.Version.Number < version.Number {
		return re.notice(Notice{Kind: NoticeStoreBehind, Store: ro.Version, Reason: "the store went back"})
	}
	re.news(now, ro.Version)
	if err := ro.Verify(re.root(), re.anchors); err != nil {
		return re.notice(Notice{Kind: NoticeUntrusted, Store: ro.Version, Reason: err.Error()})
	}
	if ro.Version == version {
		return nil
	}
	fe := &fetch{snapshot: &change.Snapshot{Root: ro}, open: make(map[uint64]bool)}
	if re.state != nil {
		fe.snapshot.Values = slices.Clone(re.state.Snapshot.Values)
	}
	re.fetch = fe
	var actions []Action
	for _, sh := range fe.snapshot.Missing() {
		re.calls++
		fe.open[re.calls] = true
		ca := archive.Call{ID: re.calls, Kind: archive.KindGet, Object: archive.Object{Name: sh.Name}}
		actions = append(actions, Action{Kind: ActionCall, Call: ca, Deadline: now.Add(CallTimeout)})
	}
	if len(fe.open) == 0 {
		return re.fetched(now)
	}
	return actions
}

// shardAnswered collects the shards. One that is missing belongs to a root that
// was replaced meanwhile, so the root is read again.
func (re *Reader) shardAnswered(now time.Time, an archive.Answer) []Action {
	delete(re.fetch.open, an.ID)
	if an.Result != archive.ResultDone {
		re.fetch = nil
		re.stored = 0
		re.watchAt = re.jitter(now, WatchRetry)
		return nil
	}
	sn := re.fetch.snapshot
	sn.Values = append(sn.Values, change.Value{Name: an.Object.Name, Bytes: an.Object.Value})
	if len(re.fetch.open) > 0 {
		return nil
	}
	return re.fetched(now)
}

// fetched puts the read version in force and publishes what changed.
func (re *Reader) fetched(now time.Time) []Action {
	sn := re.fetch.snapshot
	re.fetch = nil
	sn.Trim()
	before := re.state
	actions := re.adopt(now, sn)
	if before == nil || re.state == before {
		return actions
	}
	re.headAt = now
	de, ok := change.NewDelta(before, re.state)
	if !ok {
		return actions
	}
	body, err := de.Encode()
	if err != nil {
		return append(actions, re.notice(Notice{Kind: NoticeUntrusted, Reason: err.Error()})...)
	}
	re.kept.keep(de, body)
	if len(body) > MaxDeltaBytes {
		return actions
	}
	to := de.To()
	it := Item{
		Key:      fmt.Sprintf("%s%d", KeyDelta, to.Number%DeltaSlots),
		Revision: register.Revision{Incarnation: to.Term, Sequence: to.Number},
		Urgent:   true,
		Body:     body,
	}
	return append(actions, Action{Kind: ActionPublish, Item: it})
}
