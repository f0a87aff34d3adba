package change

import (
	"time"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/coordination/archive"
)

// The errors of reading the store.
var (
	// ErrUnreachable says that a call to the store failed or got no answer.
	ErrUnreachable = errors.New("the store can't be reached")
	// ErrEmpty says that the store holds no configuration.
	ErrEmpty = errors.New("the store holds no configuration")
)

// callTracker numbers the calls of a state machine and tells which answers are
// awaited.
type callTracker struct {
	// calls is the number of the latest call.
	calls uint64
	// ignoredUpTo is the number of the latest call of earlier attempts, whose
	// answers are ignored.
	ignoredUpTo uint64
	// waiting counts the calls of this attempt that have no answer yet.
	waiting int
}

func (ct *callTracker) call(kind archive.Kind, ob archive.Object) archive.Call {
	ct.calls++
	ct.waiting++
	return archive.Call{ID: ct.calls, Kind: kind, Object: ob}
}

func (ct *callTracker) read(name string) archive.Call {
	return ct.call(archive.KindGet, archive.Object{Name: name})
}

// restart begins a new attempt: answers to all calls so far are ignored.
func (ct *callTracker) restart() {
	ct.ignoredUpTo = ct.calls
	ct.waiting = 0
}

// countAnswer reports whether the answer belongs to a call of this attempt, and
// counts that call as answered.
func (ct *callTracker) countAnswer(an archive.Answer) bool {
	if an.ID <= ct.ignoredUpTo {
		return false
	}
	ct.waiting--
	return true
}

// SnapshotRead is the state machine that reads the root and all its shards, and
// verifies the root's newest history entry.
type SnapshotRead struct {
	callTracker
	snapshot  Snapshot
	storeTime time.Time
	attempts  int
	done      bool
	err       error
}

// NewSnapshotRead returns a read that has not started. Shards that the known
// snapshot holds are not read again; it may be nil.
func NewSnapshotRead(known *Snapshot) *SnapshotRead {
	sr := &SnapshotRead{}
	if known != nil {
		sr.snapshot.Values = append(sr.snapshot.Values, known.Values...)
	}
	return sr
}

// Done reports whether the read has ended.
func (sr *SnapshotRead) Done() bool {
	return sr.done
}

// Snapshot returns the snapshot that was read and the store's time when it
// answered with the root. The error is ErrEmpty, ErrUnreachable, or says why
// the root could not be decoded or verified.
func (sr *SnapshotRead) Snapshot() (*Snapshot, time.Time, error) {
	return &sr.snapshot, sr.storeTime, sr.err
}

func (sr *SnapshotRead) finish(err error) []archive.Call {
	sr.done = true
	sr.err = err
	return nil
}

// Start begins an attempt and returns its first call.
func (sr *SnapshotRead) Start(time.Time) []archive.Call {
	sr.attempts++
	sr.restart()
	sr.snapshot.Root = nil
	return []archive.Call{sr.read(RootName)}
}

// Handle takes the answer to one call and returns the next calls.
func (sr *SnapshotRead) Handle(now time.Time, an archive.Answer) []archive.Call {
	if sr.done || !sr.countAnswer(an) {
		return nil
	}
	switch {
	case an.Result == archive.ResultNotFound && sr.snapshot.Root == nil:
		return sr.finish(ErrEmpty)
	case an.Result == archive.ResultNotFound && sr.attempts < MaxAttempts:
		return sr.Start(now)
	case an.Result != archive.ResultDone:
		return sr.finish(ErrUnreachable)
	case sr.snapshot.Root == nil:
		return sr.rootRead(an)
	}
	sr.snapshot.Values = append(sr.snapshot.Values, ShardValue{Name: an.Object.Name, Bytes: an.Object.Value})
	if sr.waiting > 0 {
		return nil
	}
	return sr.complete()
}

func (sr *SnapshotRead) rootRead(an archive.Answer) []archive.Call {
	ro, err := DecodeRoot(an.Object.Value)
	if err != nil {
		return sr.finish(err)
	}
	sr.snapshot.Root, sr.storeTime = ro, an.Object.StoreTime
	missing := sr.snapshot.Missing()
	if len(missing) == 0 {
		return sr.complete()
	}
	var calls []archive.Call
	for _, sh := range missing {
		calls = append(calls, sr.read(sh.Name))
	}
	return calls
}

func (sr *SnapshotRead) complete() []archive.Call {
	sr.snapshot.Trim()
	return sr.finish(sr.snapshot.Root.Verify(nil, nil))
}
