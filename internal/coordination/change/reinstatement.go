package change

import (
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/archive"
)

// Reinstatement is the state machine that writes the version in force back to a
// store that lost it and now holds an older version or none. That version was
// signed when it was accepted, so any operator may reinstate it, also one who
// may not change the configuration.
//
// Every shard is written again, even if the store still holds it. This gives
// the shard a new version in the store, so that a GarbageCollection which
// listed it earlier can't delete it.
type Reinstatement struct {
	callTracker
	// snapshot is the version to be reinstated.
	snapshot    *Snapshot
	step        step
	rootVersion uint64
	// unreadShards counts the shards whose version in the store is not known yet.
	unreadShards int
	// writes are the writes of the shards, issued once unreadShards is zero.
	writes   []archive.Call
	attempts int
	// sent says that a write of the root was sent whose effect isn't known.
	sent    bool
	done    bool
	outcome Outcome
}

// NewReinstatement returns a reinstatement of the snapshot that has not
// started.
func NewReinstatement(sn *Snapshot) *Reinstatement {
	return &Reinstatement{snapshot: sn}
}

// Done reports whether the outcome is final.
func (re *Reinstatement) Done() bool {
	return re.done
}

// Outcome returns the outcome once Done reports true.
func (re *Reinstatement) Outcome() Outcome {
	return re.outcome
}

// unreachable ends the reinstatement because a call to the store failed. The outcome is
// unknown if an earlier attempt may have written the root.
func (re *Reinstatement) unreachable() []archive.Call {
	if re.sent {
		return re.finish(OutcomeUnknown, unconfirmed)
	}
	return re.finish(OutcomeRefused, ErrUnreachable.Error())
}

// unconfirmed is the reason of an unknown outcome.
const unconfirmed = "the store did not confirm the write; issue REINSTATE again"

func (re *Reinstatement) finish(kind OutcomeKind, reason string) []archive.Call {
	re.done = true
	re.outcome.Kind = kind
	re.outcome.Reason = reason
	re.outcome.Version = re.snapshot.Root.Version
	re.outcome.Holder = re.snapshot.Root.Say.Owner
	re.outcome.Until = re.snapshot.Root.Say.Until
	return nil
}

// Start begins an attempt and returns its first call. It refuses a snapshot that
// fails verification or lacks shards.
func (re *Reinstatement) Start(time.Time) []archive.Call {
	if err := re.snapshot.Root.Verify(nil, nil); err != nil {
		return re.finish(OutcomeRefused, err.Error())
	}
	if len(re.snapshot.Missing()) > 0 {
		return re.finish(OutcomeRefused, "the snapshot of the version in force lacks shards")
	}
	re.attempts++
	re.restart()
	re.step = stepReadRoot
	return []archive.Call{re.read(RootName)}
}

// Handle takes the answer to one call and returns the next calls.
func (re *Reinstatement) Handle(now time.Time, an archive.Answer) []archive.Call {
	if re.done || !re.countAnswer(an) {
		return nil
	}
	switch re.step {
	case stepReadRoot:
		return re.rootRead(an)
	case stepReadShards:
		return re.shardRead(an)
	case stepWriteShards:
		return re.shardWritten(now, an)
	default:
		return re.rootWritten(now, an)
	}
}

func (re *Reinstatement) rootRead(an archive.Answer) []archive.Call {
	switch an.Result {
	case archive.ResultNotFound:
		re.rootVersion = 0
	case archive.ResultDone:
		ro, err := DecodeRoot(an.Object.Value)
		if err != nil {
			return re.finish(OutcomeRefused, err.Error())
		}
		re.rootVersion = an.Object.Version
		if re.holdsTarget(ro) {
			return re.finish(OutcomeAccepted, "the store already holds this version")
		}
		if ro.Version.Number >= re.snapshot.Root.Version.Number {
			return re.finish(OutcomeRefused, "the store holds version "+ro.Version.String()+", which is not older")
		}
	default:
		return re.unreachable()
	}
	re.step = stepReadShards
	re.unreadShards = len(re.snapshot.Values)
	re.writes = nil
	var calls []archive.Call
	for _, va := range re.snapshot.Values {
		calls = append(calls, re.read(va.Name))
	}
	if len(calls) == 0 {
		return re.writeRoot()
	}
	return calls
}

// holdsTarget reports whether the store's root has the version to be
// reinstated, made by the same change.
func (re *Reinstatement) holdsTarget(ro *Root) bool {
	have, _ := ro.Last()
	want, _ := re.snapshot.Root.Last()
	return ro.Version == re.snapshot.Root.Version && have.Identity == want.Identity
}

// shardRead prepares the write of one shard, on the condition of the version
// that the store holds, or that it holds none. The writes are issued once the
// versions of all shards are known.
func (re *Reinstatement) shardRead(an archive.Answer) []archive.Call {
	ob := archive.Object{Name: an.Object.Name}
	switch an.Result {
	case archive.ResultDone:
		ob.Version = an.Object.Version
	case archive.ResultNotFound:
	default:
		return re.unreachable()
	}
	ob.Value, _ = re.snapshot.value(ob.Name)
	re.unreadShards--
	re.writes = append(re.writes, re.call(archive.KindPut, ob))
	if re.unreadShards > 0 {
		return nil
	}
	re.step = stepWriteShards
	return re.writes
}

func (re *Reinstatement) shardWritten(now time.Time, an archive.Answer) []archive.Call {
	switch {
	case an.Result != archive.ResultDone && re.attempts < MaxAttempts:
		return re.Start(now)
	case an.Result != archive.ResultDone:
		return re.unreachable()
	case re.waiting > 0:
		return nil
	}
	return re.writeRoot()
}

func (re *Reinstatement) writeRoot() []archive.Call {
	re.step = stepWriteRoot
	ob := archive.Object{Name: RootName, Version: re.rootVersion, Value: raiseFence(re.snapshot.Root).Encode()}
	return []archive.Call{re.call(archive.KindPut, ob)}
}

// rootWritten starts another attempt unless the write succeeded. If the write
// took effect although its answer was lost, that attempt finds the version in
// the store. If the store can't be reached any more, the outcome is unknown;
// reinstating the version once more does no harm.
func (re *Reinstatement) rootWritten(now time.Time, an archive.Answer) []archive.Call {
	if an.Result == archive.ResultDone {
		return re.finish(OutcomeAccepted, "the store holds this version again")
	}
	re.sent = re.sent || an.Result == archive.ResultUnanswered
	if re.attempts >= MaxAttempts {
		return re.finish(OutcomeUnknown, unconfirmed)
	}
	return re.Start(now)
}
