package change

import (
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/archive"
)

// Reinstatement is the decision core that puts the version in force back into a
// store that went back to an older one. The version was signed when it was
// accepted, so nobody needs the say for it.
//
// Every shard is written anew, also one that is still there: its store version
// moves on, so that a collection that listed it earlier can't delete it.
type Reinstatement struct {
	callTracker
	snapshot *Snapshot
	step     step
	rootVersion   uint64
	// unreadShards counts the shards whose stored version is not known yet.
	unreadShards   int
	writes     []archive.Call
	attempts int
	done     bool
	outcome  Outcome
}

// NewReinstatement returns a reinstatement of the snapshot.
func NewReinstatement(sn *Snapshot) *Reinstatement {
	return &Reinstatement{snapshot: sn}
}

// Done reports whether the outcome stands.
func (re *Reinstatement) Done() bool {
	return re.done
}

// Outcome returns the outcome once Done reports true.
func (re *Reinstatement) Outcome() Outcome {
	return re.outcome
}

func (re *Reinstatement) end(kind OutcomeKind, reason string) []archive.Call {
	re.done = true
	re.outcome.Kind = kind
	re.outcome.Reason = reason
	re.outcome.Version = re.snapshot.Root.Version
	re.outcome.Holder = re.snapshot.Root.Say.Owner
	re.outcome.Until = re.snapshot.Root.Say.Until
	return nil
}

// Start returns the first call.
func (re *Reinstatement) Start(time.Time) []archive.Call {
	if err := re.snapshot.Root.Verify(nil, nil); err != nil {
		return re.end(OutcomeRefused, err.Error())
	}
	if len(re.snapshot.Missing()) > 0 {
		return re.end(OutcomeRefused, "the version in force was not received in full")
	}
	re.attempts++
	re.restart()
	re.step = stepRoot
	return []archive.Call{re.read(RootName)}
}

// Handle takes the answer to one call and returns the next calls.
func (re *Reinstatement) Handle(now time.Time, an archive.Answer) []archive.Call {
	if re.done || !re.countAnswer(an) {
		return nil
	}
	switch re.step {
	case stepRoot:
		return re.rootRead(an)
	case stepShards:
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
			return re.end(OutcomeRefused, err.Error())
		}
		re.rootVersion = an.Object.Version
		if re.holdsTarget(ro) {
			return re.end(OutcomeAccepted, "the store holds it")
		}
		if ro.Version.Number >= re.snapshot.Root.Version.Number {
			return re.end(OutcomeRefused, "the store holds version "+ro.Version.String()+", which is not older")
		}
	default:
		return re.end(OutcomeRefused, ErrUnreachable.Error())
	}
	re.step = stepShards
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

// holdsTarget reports whether the root is the one to be reinstated.
func (re *Reinstatement) holdsTarget(ro *Root) bool {
	have, _ := ro.Last()
	want, _ := re.snapshot.Root.Last()
	return ro.Version == re.snapshot.Root.Version && have.Identity == want.Identity
}

// shardRead prepares to write the shard over the version that is there, if any.
// The writes begin once all are known.
func (re *Reinstatement) shardRead(an archive.Answer) []archive.Call {
	ob := archive.Object{Name: an.Object.Name}
	switch an.Result {
	case archive.ResultDone:
		ob.Version = an.Object.Version
	case archive.ResultNotFound:
	default:
		return re.end(OutcomeRefused, ErrUnreachable.Error())
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
		return re.end(OutcomeRefused, ErrUnreachable.Error())
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

// rootWritten reads the root again after anything but success: it tells whether
// the write took effect.
func (re *Reinstatement) rootWritten(now time.Time, an archive.Answer) []archive.Call {
	if an.Result == archive.ResultDone {
		return re.end(OutcomeAccepted, "the store holds it again")
	}
	if re.attempts >= MaxAttempts {
		return re.end(OutcomeUnknown, "the store gave no answer; issue REINSTATE again")
	}
	return re.Start(now)
}
