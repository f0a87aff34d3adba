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

// shardWritten waits for every shard. A shard whose answer was lost is refused
// with the whole change: its name is never used again, so it can do no harm.
func (co *Commit) shardWritten(an archive.Answer) []archive.Call {
	switch {
	case an.Result == archive.ResultUnanswered && co.attempts < MaxAttempts:
		// Nothing refers to the shard yet, and the next attempt has other names.
		return co.startAttempt()
	case an.Result != archive.ResultDone:
		return co.refuse("the store did not take shard %s; nothing was changed", an.Object.Name)
	}
	if co.waiting > 0 {
		return nil
	}
	return co.writeRoot()
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
		return co.refuse("the store refused the change; nothing was changed")
	default:
		return co.refuse("the store did not take the root; nothing was changed")
	}
}

func (co *Commit) accept() []archive.Call {
	co.outcome.Version = co.after.Version
	co.outcome.Holder, co.outcome.Until = co.after.Say.Owner, co.after.Say.Until
	co.outcome.Root = co.after
	co.outcome.Snapshot = co.accepted()
	return co.finish(OutcomeAccepted, "")
}

// accepted returns the snapshot of the accepted root.
func (co *Commit) accepted() *Snapshot {
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

// retry makes the change from the newer root. The attempt that failed its
// condition can never take effect, and the next one has an identity of its own.
func (co *Commit) retry() []archive.Call {
	if co.attempts >= MaxAttempts {
		return co.refuse("other changes came first %d times; nothing was changed", co.attempts)
	}
	return co.startAttempt()
}

// checkWrite reads the root to learn what became of a write without an answer.
func (co *Commit) checkWrite() []archive.Call {
	co.step = stepCheckWrite
	return []archive.Call{co.read(RootName)}
}

func (co *Commit) unknown() []archive.Call {
	return co.finish(OutcomeUnknown, "the store's answer was lost and it can't be asked; ask later with SHOW CHANGE "+string(co.identity))
}

func (co *Commit) writeChecked(an archive.Answer) []archive.Call {
	if an.Result == archive.ResultNotFound && co.rootVersion == 0 {
		// The first root of all can't be fenced, only waited for.
		return co.unknown()
	}
	if an.Result != archive.ResultDone {
		return co.unknown()
	}
	ro, err := DecodeRoot(an.Object.Value)
	if err != nil {
		return co.unknown()
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
		return co.unknown()
	}
}

// fence updates the root without a change, on the condition of the version that
// was just read: once it succeeds, the write without an answer can't any more.
func (co *Commit) fence(ro *Root, stored uint64) []archive.Call {
	if stored != co.rootVersion {
		return co.retry()
	}
	co.step = stepFence
	fenced := raiseFence(ro, co.identity)
	ob := archive.Object{Name: RootName, Version: stored, Value: fenced.Encode()}
	return []archive.Call{co.call(archive.KindPut, ob)}
}

// raiseFence returns the root with its fence raised.
func raiseFence(ro *Root, identities ...Identity) *Root {
	fenced := ro.clone()
	fenced.Fence++
	fenced.Fenced = append(fenced.Fenced, identities...)
	if len(fenced.Fenced) > MaxFenced {
		fenced.Fenced = slices.Clone(fenced.Fenced[len(fenced.Fenced)-MaxFenced:])
	}
	return fenced
}

func (co *Commit) fenceWritten(an archive.Answer) []archive.Call {
	if an.Result == archive.ResultDone {
		return co.refuse("the write was lost on its way to the store; nothing was changed")
	}
	if an.Result == archive.ResultRefused {
		return co.unknown()
	}
	return co.checkWrite()
}

func (co *Commit) readPage(ro *Root, base catalog.Version) []archive.Call {
	pa, ok := ro.pageFor(base)
	if !ok {
		return co.unknown()
	}
	co.step = stepPage
	return []archive.Call{co.read(pa.Name)}
}

func (co *Commit) pageRead(an archive.Answer) []archive.Call {
	if an.Result != archive.ResultDone {
		return co.unknown()
	}
	history, err := DecodePage(an.Object.Value)
	if err != nil {
		return co.unknown()
	}
	en, _ := co.after.Last()
	switch statusIn(history, co.identity, en.Base) {
	case StatusAccepted:
		return co.accept()
	case StatusAborted:
		return co.retry()
	default:
		return co.unknown()
	}
}

// DecodePage returns the entries of a history page.
func DecodePage(value []byte) ([]Entry, error) {
	var history []Entry
	if err := json.Unmarshal(value, &history); err != nil {
		return nil, errors.Wrap(err, "decode history page")
	}
	return history, nil
}

// Base returns the version that the attempt was made from, as its identity
// tells.
func (id Identity) Base() (catalog.Version, error) {
	version, _, _ := strings.Cut(string(id), "-")
	var base catalog.Version
	if _, err := fmt.Sscanf(version, "%d.%d", &base.Term, &base.Number); err != nil {
		return base, errors.Wrapf(catalog.ErrInvalid, "change identity %q", string(id))
	}
	return base, nil
}
