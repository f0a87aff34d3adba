package change

import (
	"time"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/coordination/archive"
)

// The ways in which a reading fails.
var (
	// ErrUnreachable says that the store could not be asked.
	ErrUnreachable = errors.New("the store can't be reached")
	// ErrEmpty says that the store holds no configuration.
	ErrEmpty = errors.New("the store holds no configuration")
)

// callTracker numbers the calls of a core.
type callTracker struct {
	calls uint64
	// ignoredUpTo is the number up to which answers are ignored.
	ignoredUpTo   uint64
	waiting int
}

func (ca *callTracker) call(kind archive.Kind, ob archive.Object) archive.Call {
	ca.calls++
	ca.waiting++
	return archive.Call{ID: ca.calls, Kind: kind, Object: ob}
}

func (ca *callTracker) read(name string) archive.Call {
	return ca.call(archive.KindGet, archive.Object{Name: name})
}

// restart ignores the answers that are still open.
func (ca *callTracker) restart() {
	ca.ignoredUpTo = ca.calls
	ca.waiting = 0
}

// countAnswer reports whether the answer belongs to an open call.
func (ca *callTracker) countAnswer(an archive.Answer) bool {
	if an.ID <= ca.ignoredUpTo {
		return false
	}
	ca.waiting--
	return true
}

// SnapshotRead is the decision core that reads the root and all its shards.
type SnapshotRead struct {
	callTracker
	snapshot Snapshot
	asked    time.Time
	attempts int
	done     bool
	err      error
}

// NewSnapshotRead returns a reading. Shards of the known snapshot, which may be nil,
// are not read again.
func NewSnapshotRead(known *Snapshot) *SnapshotRead {
	re := &SnapshotRead{}
	if known != nil {
		re.snapshot.Values = append(re.snapshot.Values, known.Values...)
	}
	return re
}

// Done reports whether the reading has ended.
func (re *SnapshotRead) Done() bool {
	return re.done
}

// Snapshot returns what was read and the store's time of the answer.
func (re *SnapshotRead) Snapshot() (*Snapshot, time.Time, error) {
	return &re.snapshot, re.asked, re.err
}

func (re *SnapshotRead) end(err error) []archive.Call {
	re.done = true
	re.err = err
	return nil
}

// Start returns the first call.
func (re *SnapshotRead) Start(time.Time) []archive.Call {
	re.attempts++
	re.restart()
	re.snapshot.Root = nil
	return []archive.Call{re.read(RootName)}
}

// Handle takes the answer to one call and returns the next calls.
func (re *SnapshotRead) Handle(now time.Time, an archive.Answer) []archive.Call {
	if re.done || !re.countAnswer(an) {
		return nil
	}
	switch {
	case an.Result == archive.ResultNotFound && re.snapshot.Root == nil:
		return re.end(ErrEmpty)
	case an.Result == archive.ResultNotFound && re.attempts < MaxAttempts:
		return re.Start(now)
	case an.Result != archive.ResultDone:
		return re.end(ErrUnreachable)
	case re.snapshot.Root == nil:
		return re.rootRead(an)
	}
	re.snapshot.Values = append(re.snapshot.Values, ShardValue{Name: an.Object.Name, Bytes: an.Object.Value})
	if re.waiting > 0 {
		return nil
	}
	return re.complete()
}

func (re *SnapshotRead) rootRead(an archive.Answer) []archive.Call {
	ro, err := DecodeRoot(an.Object.Value)
	if err != nil {
		return re.end(err)
	}
	re.snapshot.Root, re.asked = ro, an.Object.StoreTime
	missing := re.snapshot.Missing()
	if len(missing) == 0 {
		return re.complete()
	}
	var calls []archive.Call
	for _, sh := range missing {
		calls = append(calls, re.read(sh.Name))
	}
	return calls
}

func (re *SnapshotRead) complete() []archive.Call {
	re.snapshot.Trim()
	return re.end(re.snapshot.Root.Verify(nil, nil))
}
