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

// caller numbers the calls of a core.
type caller struct {
	calls uint64
	// stale is the number up to which answers are ignored.
	stale   uint64
	waiting int
}

func (ca *caller) call(kind archive.Kind, ob archive.Object) archive.Call {
	ca.calls++
	ca.waiting++
	return archive.Call{ID: ca.calls, Kind: kind, Object: ob}
}

func (ca *caller) read(name string) archive.Call {
	return ca.call(archive.KindGet, archive.Object{Name: name})
}

// restart ignores the answers that are still open.
func (ca *caller) restart() {
	ca.stale = ca.calls
	ca.waiting = 0
}

// taken reports whether the answer belongs to an open call.
func (ca *caller) taken(an archive.Answer) bool {
	if an.ID <= ca.stale {
		return false
	}
	ca.waiting--
	return true
}

// Reading is the decision core that reads the root and all its shards.
type Reading struct {
	caller
	snapshot Snapshot
	asked    time.Time
	attempts int
	done     bool
	err      error
}

// NewSnapshotRead returns a reading. Shards of the known snapshot, which may be nil,
// are not read again.
func NewSnapshotRead(known *Snapshot) *Reading {
	re := &Reading{}
	if known != nil {
		re.snapshot.Values = append(re.snapshot.Values, known.Values...)
	}
	return re
}

// Done reports whether the reading has ended.
func (re *Reading) Done() bool {
	return re.done
}

// Snapshot returns what was read and the store's time of the answer.
func (re *Reading) Snapshot() (*Snapshot, time.Time, error) {
	return &re.snapshot, re.asked, re.err
}

func (re *Reading) end(err error) []archive.Call {
	re.done = true
	re.err = err
	return nil
}

// Start returns the first call.
func (re *Reading) Start(time.Time) []archive.Call {
	re.attempts++
	re.restart()
	re.snapshot.Root = nil
	return []archive.Call{re.read(RootName)}
}

// Handle takes the answer to one call and returns the next calls.
func (re *Reading) Handle(now time.Time, an archive.Answer) []archive.Call {
	if re.done || !re.taken(an) {
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

func (re *Reading) rootRead(an archive.Answer) []archive.Call {
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

func (re *Reading) complete() []archive.Call {
	re.snapshot.Trim()
	return re.end(re.snapshot.Root.Verify(nil, nil))
}
