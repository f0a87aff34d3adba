package change

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/coordination/archive"
	"corneltiller.dev/corneltiller/internal/state/catalog"
)

func (co *Commit) writeShards() []archive.Call {
	if len(co.newShards) == 0 {
		return co.writeRoot()
	}
	co.step = stepWriteShards
	var calls []archive.Call
	for _, va := range co.newShards {
		calls = append(calls, co.call(archive.KindPut, archive.Object{Name: va.Name, Value: va.Bytes}))
	}
	return calls
}

// shardWritten waits until every shard is written. If the answer for a shard is
// lost, the next attempt writes shards under other names, or the change is
// refused after the last attempt. A shard that was stored nevertheless is
// harmless: no root refers to it and its name is never used again.
func (co *Commit) shardWritten(an archive.Answer) []archive.Call {
	switch {
	case an.Result == archive.ResultUnanswered && co.attempts < MaxAttempts:
		// No root refers to the shard, and the next attempt uses other names.
		return co.startAttempt()
	case an.Result != archive.ResultDone:
		return co.refuse("the store did not accept shard %s; nothing was changed", an.Object.Name)
	}
	if co.waiting > 0 {
		return nil
	}
	return co.bindShards()
}

// bindShards raises the fence of the root that the attempt started from, so that the
// root's write names a version that the store gave out after it had the shards.
// Otherwise a write of the root that arrives after the store was restored from a copy
// without the shards could meet its condition.
func (co *Commit) bindShards() []archive.Call {
	if co.rootVersion == 0 {
		return co.writeRoot()
	}
	co.step = stepBindShards
	ob := archive.Object{Name: RootName, Version: co.rootVersion, Value: raiseFence(co.before).Encode()}
	return []archive.Call{co.call(archive.KindPut, ob)}
}

// shardsBound writes the root on the condition of the raised fence. Without an answer the
// next attempt begins: no root of this one was written.
func (co *Commit) shardsBound(an archive.Answer) []archive.Call {
	switch an.Result {
	case archive.ResultDone:
		co.rootVersion = an.Object.Version
		co.after.Fence++
		return co.writeRoot()
	case archive.ResultConflict, archive.ResultUnanswered:
		return co.retry()
	default:
		return co.refuse("the store refused the change or was not reached; nothing was changed")
	}
}

func (co *Commit) writeRoot() []archive.Call {
	co.step = stepWriteRoot
	ob := archive.Object{Name: RootName, Version: co.rootVersion, Value: co.after.Encode()}
	return []archive.Call{co.call(archive.KindPut, ob)}
}

func (co *Commit) rootWritten(an archive.Answer) []archive.Call {
	switch an.Result {
	case archive.ResultDone:
		return co.accept()
	case archive.ResultConflict:
		return co.retry()
	case archive.ResultUnanswered:
		return co.checkWrite()
	case archive.ResultRefused:
		return co.refuse("the store refused the change or was not reached; nothing was changed")
	default:
		return co.refuse("the store did not accept the root; nothing was changed")
	}
}

func (co *Commit) accept() []archive.Call {
	co.outcome.Version = co.after.Version
	co.outcome.Holder, co.outcome.Until = co.after.Say.Owner, co.after.Say.Until
	co.outcome.Root = co.after
	co.outcome.Snapshot = co.acceptedSnapshot()
	return co.finish(OutcomeAccepted, "")
}

// acceptedSnapshot returns the accepted root with the values of its shards.
func (co *Commit) acceptedSnapshot() *Snapshot {
	known := Snapshot{Root: co.after, Values: append(slices.Clone(co.snapshot.Values), co.newShards...)}
	sn := &Snapshot{Root: co.after}
	for _, sh := range co.after.Shards {
		value, ok := known.value(sh.Name)
		if ok {
			sn.Values = append(sn.Values, ShardValue{Name: sh.Name, Bytes: value})
		}
	}
	return sn
}

// retry starts another attempt from the newer root, or refuses the change after
// MaxAttempts. The attempt whose conditional write failed can never take
// effect, and the next one gets its own identity.
func (co *Commit) retry() []archive.Call {
	if co.attempts >= MaxAttempts {
		return co.refuse("other changes came first %d times; nothing was changed", co.attempts)
	}
	return co.startAttempt()
}

// checkWrite reads the root to learn whether a write without an answer took
// effect.
func (co *Commit) checkWrite() []archive.Call {
	co.step = stepCheckWrite
	return []archive.Call{co.read(RootName)}
}

func (co *Commit) finishUnknown() []archive.Call {
	return co.finish(OutcomeUnknown, "the store's answer was lost and the outcome can't be read; ask later with SHOW CHANGE "+string(co.identity))
}

func (co *Commit) writeChecked(an archive.Answer) []archive.Call {
	if an.Result == archive.ResultNotFound && co.rootVersion == 0 {
		// The write of the first root can't be fenced, as there is no root object
		// whose version could be raised: it may still take effect.
		return co.finishUnknown()
	}
	if an.Result != archive.ResultDone {
		return co.finishUnknown()
	}
	ro, err := DecodeRoot(an.Object.Value)
	if err != nil {
		return co.finishUnknown()
	}
	en, _ := co.after.Last()
	switch ro.StatusOf(co.identity, en.Base) {
	case StatusAccepted:
		return co.accept()
	case StatusAborted:
		return co.retry()
	case StatusPending:
		return co.fence(ro, an.Object.Version)
	case StatusNotRetained:
		return co.readPage(ro, en.Base)
	default:
		return co.finishUnknown()
	}
}

// fence writes the root without a change of the configuration, on the condition
// of the version that was just read. Once that succeeds, the write without an
// answer can no longer take effect: its condition names the earlier version. If
// the version just read is already another than the one that this condition
// names, that write can't take effect either, and another attempt starts.
func (co *Commit) fence(ro *Root, readVersion uint64) []archive.Call {
	if readVersion != co.rootVersion {
		return co.retry()
	}
	co.step = stepWriteFence
	fenced := raiseFence(ro, co.identity)
	ob := archive.Object{Name: RootName, Version: readVersion, Value: fenced.Encode()}
	return []archive.Call{co.call(archive.KindPut, ob)}
}

// raiseFence returns a copy of the root with Fence raised by one and the
// identities added to Fenced. Writing it gives the root object a new version in
// the store, so writes that are conditional on the old version fail.
func raiseFence(ro *Root, identities ...Identity) *Root {
	fenced := ro.clone()
	fenced.Fence++
	fenced.Fenced = append(fenced.Fenced, identities...)
	if len(fenced.Fenced) > MaxFenced {
		fenced.Fenced = slices.Clone(fenced.Fenced[len(fenced.Fenced)-MaxFenced:])
	}
	return fenced
}

// fenceWritten refuses the change once the fence is raised: the write without
// an answer did not take effect. If the store refused to raise it, the outcome
// is unknown. After a conflict, or without an answer again, the root is read
// once more.
func (co *Commit) fenceWritten(an archive.Answer) []archive.Call {
	if an.Result == archive.ResultDone {
		return co.refuse("the write was lost on its way to the store; nothing was changed")
	}
	if an.Result == archive.ResultRefused {
		return co.finishUnknown()
	}
	return co.checkWrite()
}

func (co *Commit) readPage(ro *Root, base catalog.Version) []archive.Call {
	pa, ok := ro.pageFor(base)
	if !ok {
		return co.finishUnknown()
	}
	co.step = stepReadPage
	return []archive.Call{co.read(pa.Name)}
}

func (co *Commit) pageRead(an archive.Answer) []archive.Call {
	if an.Result != archive.ResultDone {
		return co.finishUnknown()
	}
	history, err := DecodePage(an.Object.Value)
	if err != nil {
		return co.finishUnknown()
	}
	en, _ := co.after.Last()
	switch statusIn(history, co.identity, en.Base) {
	case StatusAccepted:
		return co.accept()
	case StatusAborted:
		return co.retry()
	default:
		return co.finishUnknown()
	}
}

// DecodePage decodes the value of a history page and returns its entries, the
// oldest first.
func DecodePage(value []byte) ([]Entry, error) {
	var history []Entry
	if err := json.Unmarshal(value, &history); err != nil {
		return nil, errors.Wrap(err, "decode history page")
	}
	return history, nil
}

// Base returns the version that the attempt was made from, which is part of its
// identity. It returns catalog.ErrInvalid for text of another form.
func (id Identity) Base() (catalog.Version, error) {
	version, _, _ := strings.Cut(string(id), "-")
	var base catalog.Version
	if _, err := fmt.Sscanf(version, "%d.%d", &base.Term, &base.Number); err != nil {
		return base, errors.Wrapf(catalog.ErrInvalid, "change identity %q", string(id))
	}
	return base, nil
}
