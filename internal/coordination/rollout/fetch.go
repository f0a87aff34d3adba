package rollout

import (
	"fmt"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/archive"
	"corneltiller.dev/corneltiller/internal/coordination/change"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// HandleAnswer handles the result of a call to the store.
func (re *Replica) HandleAnswer(now time.Time, an archive.Answer) []Action {
	var actions []Action
	switch {
	case an.ID == re.rootCall:
		re.rootCall = 0
		actions = re.handleRootAnswer(now, an)
	case re.fetch != nil && re.fetch.open[an.ID]:
		actions = re.handleShardAnswer(now, an)
	}
	return append(actions, re.Tick(now)...)
}

// handleRootAnswer handles the result of a watch or a read of the root object.
func (re *Replica) handleRootAnswer(now time.Time, an archive.Answer) []Action {
	re.watchAt = now
	switch an.Result {
	case archive.ResultDone:
	case archive.ResultUnchanged:
		re.read = now
		re.noteVersion(now, re.state.Version())
		if an.Object.Era != re.storeEra {
			// The same version of another era: the root is read again.
			re.storeVersion = 0
		}
		return nil
	case archive.ResultNotFound:
		re.read = now
		re.watchAt = re.jitter(now, WatchRetry)
		return nil
	default:
		re.watchAt = re.jitter(now, WatchRetry)
		return nil
	}
	ro, err := change.DecodeRoot(an.Object.Value)
	if err != nil {
		re.read = now
		re.watchAt = re.jitter(now, WatchRetry)
		return re.notice(Notice{Kind: NoticeUntrusted, Reason: err.Error()})
	}
	re.storeVersion, re.storeEra = an.Object.Version, an.Object.Era
	actions := re.compareRoot(now, ro)
	if re.fetch == nil {
		re.read = now
	}
	return actions
}

// compareRoot compares the store's root with the version in force and starts to
// fetch the shards of a newer one.
func (re *Replica) compareRoot(now time.Time, ro *change.Root) []Action {
	version := re.state.Version()
	if ro.Version.Less(version) || ro.Version.Number < version.Number {
		return re.notice(Notice{Kind: NoticeStoreBehind, Store: ro.Version, Reason: "the version in the store is older than the version in force"})
	}
	re.noteVersion(now, ro.Version)
	if err := ro.Verify(re.root(), re.anchors); err != nil {
		return re.notice(Notice{Kind: NoticeUntrusted, Store: ro.Version, Reason: err.Error()})
	}
	if ro.Version == version {
		return nil
	}
	if re.prefersPeers(now, ro.Version) {
		re.storeVersion = 0
		re.watchAt = re.started.Add(PeerWait)
		return nil
	}
	fe := &fetch{snapshot: &change.Snapshot{Root: ro}, open: make(map[uint64]bool)}
	if re.state != nil {
		fe.snapshot.Values = slices.Clone(re.state.Snapshot.Values)
	}
	re.fetch = fe
	var actions []Action
	for _, sh := range fe.snapshot.Missing() {
		re.lastCall++
		fe.open[re.lastCall] = true
		ca := archive.Call{ID: re.lastCall, Kind: archive.KindGet, Object: archive.Object{Name: sh.Name}}
		actions = append(actions, Action{Kind: ActionCall, Call: ca, Deadline: now.Add(CallTimeout)})
	}
	if len(fe.open) == 0 {
		return re.finishFetch(now)
	}
	return actions
}

// prefersPeers reports whether an instance without a configuration waits for its peers
// rather than take the version from the store.
func (re *Replica) prefersPeers(now time.Time, version catalog.Version) bool {
	alone := len(re.view.members) == 0 || len(re.view.members) == 1 && re.view.members[0].Address == re.self.Address
	if re.state != nil || alone || !now.Before(re.started.Add(PeerWait)) {
		return false
	}
	return !re.peerAnswered || version.Less(re.newest)
}

// handleShardAnswer collects the shards. If one could not be read, the fetch is
// given up and the root is read again: a shard that does not exist belongs to a
// root that has been replaced meanwhile.
func (re *Replica) handleShardAnswer(now time.Time, an archive.Answer) []Action {
	delete(re.fetch.open, an.ID)
	if an.Result != archive.ResultDone {
		re.fetch = nil
		re.storeVersion = 0
		re.watchAt = re.jitter(now, WatchRetry)
		return nil
	}
	sn := re.fetch.snapshot
	sn.Values = append(sn.Values, change.ShardValue{Name: an.Object.Name, Bytes: an.Object.Value})
	if len(re.fetch.open) > 0 {
		return nil
	}
	return re.finishFetch(now)
}

// finishFetch puts the fetched version in force. If another was in force before,
// it publishes the delta between them, unless there is none (see change.NewDelta)
// or it is larger than MaxDeltaBytes.
func (re *Replica) finishFetch(now time.Time) []Action {
	sn := re.fetch.snapshot
	re.fetch = nil
	sn.Trim()
	before := re.state
	actions := re.applySnapshot(now, sn)
	re.read = now
	if re.state == before {
		return actions
	}
	if before == nil {
		for range firstPolls {
			actions = append(actions, re.Poll()...)
		}
		return actions
	}
	de, ok := change.NewDelta(before, re.state)
	re.unspread = !ok
	if !ok {
		return actions
	}
	body, err := de.Encode()
	if err != nil {
		return append(actions, re.notice(Notice{Kind: NoticeUntrusted, Reason: err.Error()})...)
	}
	re.recent.add(de, body)
	if len(body) > MaxDeltaBytes {
		re.unspread = true
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
