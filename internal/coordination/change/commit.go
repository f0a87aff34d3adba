package change

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/coordination/archive"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// MaxAttempts is the largest number of attempts of one Commit, SnapshotRead or
// Reinstatement. Each attempt begins by reading the root. A Commit makes another
// attempt if another change came first, if a shard is missing, or if the answer
// to the write of a shard was lost.
const MaxAttempts = 16

// Edit is one statement of a change.
type Edit struct {
	// Summary is the statement as the operator wrote it, for the history.
	Summary string
	// Apply edits the configuration in place. An error refuses the whole change.
	Apply func(*catalog.Configuration) error
}

// Request is a change that an owner asks for.
type Request struct {
	// Owner is the name of the owner who makes the change.
	Owner string
	// Sign returns the owner's Ed25519 signature of the message.
	Sign func(message []byte) []byte
	// Edits are applied in order, all of them or none.
	Edits []Edit
	// Initial says that this change creates the first configuration. It is refused
	// if the store already holds one.
	Initial bool
	// DryRun evaluates the change without writing anything.
	DryRun bool
	// InForceEverywhere is the newest version that every live instance is known to
	// have in force; zero if that is not known. Retirements of addresses up to
	// that version are released (see catalog.Configuration.ReleaseAddresses).
	InForceEverywhere catalog.Version
	// NewestInForce is the newest version that any instance is known to have in
	// force; zero if that is not known. The change is refused if the store holds
	// an older one.
	NewestInForce catalog.Version
	// Hosts lists the live hosts. The change is refused if a service that has
	// hosts taking new work would have none after it.
	Hosts []register.Host
	// Deadline is when the commit gives up, unless the write of the root has no
	// answer yet: see Commit.Deadline.
	Deadline time.Time
}

// OutcomeKind is how a change ended.
type OutcomeKind uint8

// The kinds of outcomes.
const (
	// OutcomeAccepted says that the change is in the store and will be in
	// force everywhere.
	OutcomeAccepted OutcomeKind = iota + 1
	// OutcomeRefused says that the change did not and will not take effect.
	OutcomeRefused
	// OutcomeUnknown says that the write of the root may or may not take effect:
	// its answer was lost or not awaited, and reading the store did not tell. A
	// StatusQuery may tell later.
	OutcomeUnknown
)

// String returns the kind as it is printed for operators, "open" for a change
// that has no outcome yet.
func (ou OutcomeKind) String() string {
	switch ou {
	case OutcomeAccepted:
		return "accepted"
	case OutcomeRefused:
		return "refused"
	case OutcomeUnknown:
		return "unknown"
	default:
		return "open"
	}
}

// Outcome is the result of a Commit or a Reinstatement, as the operator is told
// it.
type Outcome struct {
	Kind     OutcomeKind
	Identity Identity
	// Version is the accepted version, or the version to be reinstated. For a
	// change that was not accepted it is the version of the root that was read
	// last, zero if none was read.
	Version catalog.Version
	// Reason says why the change was refused or why its outcome is unknown.
	Reason string
	// Holder is the owner who holds the authority to change the configuration, and
	// Until is when the next owner of the calendar may take it over. Both are zero
	// if no root was read.
	Holder string
	Until  time.Time
	// Difference lists what the change alters, one line for each item.
	Difference []string
	// DryRun repeats Request.DryRun. OutcomeAccepted then only says that the
	// change would have been accepted.
	DryRun bool
	// Root is the root after an accepted change, otherwise the last root that was
	// read and verified, nil if there is none.
	Root *Root
	// Snapshot is the accepted configuration with its shards, nil if the change
	// was not written.
	Snapshot *Snapshot
}

// step says which answers a Commit, Reinstatement or StatusQuery waits for.
// From stepWriteRoot on, a Commit may have written the root. From stepCheckWrite
// on, and until stepDone, that write has got no answer.
type step uint8

const (
	stepReadRoot step = iota
	stepReadShards
	stepWriteShards
	stepBindShards
	stepWriteRoot
	stepCheckWrite
	stepReadPage
	stepWriteFence
	stepDone
)

// Commit is the state machine that commits one change. See the package comment
// for the protocol.
type Commit struct {
	request Request
	random  *rand.Rand
	step    step
	// calls is the number of the latest call; waiting counts the calls of this
	// attempt that have no answer yet. Answers to calls up to the number in
	// ignoredUpTo belong to an earlier attempt and are ignored.
	calls       uint64
	ignoredUpTo uint64
	waiting     int
	attempts    int

	// rootVersion is the store's version of the root object that the attempt
	// started from, or that of the fence it has raised since; zero if there was none.
	rootVersion uint64
	// before is the root that the attempt started from, snapshot is before with
	// its shards, and after is the root that the attempt writes.
	before   *Root
	snapshot *Snapshot
	after    *Root
	// newShards are the shards and history pages to be written before the root.
	newShards []ShardValue
	identity  Identity
	outcome   Outcome
	now       time.Time
}

// NewCommit returns a commit of the request that has not started. The random
// numbers become part of the identities of its attempts.
func NewCommit(rq Request, random *rand.Rand) *Commit {
	return &Commit{request: rq, random: random, snapshot: &Snapshot{}}
}

// Done reports whether the outcome is final.
func (co *Commit) Done() bool {
	return co.step == stepDone
}

// Outcome returns the outcome once Done reports true.
func (co *Commit) Outcome() Outcome {
	return co.outcome
}

// Interrupt ends a change because its caller stops waiting. The outcome is
// unknown if the write of the root may already have been sent.
func (co *Commit) Interrupt() {
	if co.step < stepWriteRoot {
		co.refuse("interrupted; nothing was changed")
		return
	}
	if co.step != stepDone {
		co.finishUnknown()
	}
}

// writeCheckTime is how long after the deadline of the change a Commit may
// still use the store to find out whether a write without an answer took
// effect.
const writeCheckTime = 10 * time.Second

// Deadline returns when the caller is to give up the calls returned last.
func (co *Commit) Deadline() time.Time {
	if co.step >= stepCheckWrite {
		return co.request.Deadline.Add(writeCheckTime)
	}
	return co.request.Deadline
}

// Start begins the commit and returns the first calls.
func (co *Commit) Start(now time.Time) []archive.Call {
	co.now = now
	return co.startAttempt()
}

// startAttempt begins a new attempt by reading the root.
func (co *Commit) startAttempt() []archive.Call {
	co.step = stepReadRoot
	co.attempts++
	co.ignoredUpTo = co.calls
	co.waiting = 0
	return []archive.Call{co.read(RootName)}
}

func (co *Commit) read(name string) archive.Call {
	return co.call(archive.KindGet, archive.Object{Name: name})
}

func (co *Commit) call(kind archive.Kind, ob archive.Object) archive.Call {
	co.calls++
	co.waiting++
	return archive.Call{ID: co.calls, Kind: kind, Object: ob}
}

// Handle takes the answer to one call and returns the next calls.
func (co *Commit) Handle(now time.Time, an archive.Answer) []archive.Call {
	if an.ID <= co.ignoredUpTo {
		return nil
	}
	co.now = now
	co.waiting--
	switch co.step {
	case stepReadRoot:
		return co.rootRead(an)
	case stepReadShards:
		return co.shardRead(an)
	case stepWriteShards:
		return co.shardWritten(an)
	case stepBindShards:
		return co.shardsBound(an)
	case stepWriteRoot:
		return co.rootWritten(an)
	case stepCheckWrite:
		return co.writeChecked(an)
	case stepReadPage:
		return co.pageRead(an)
	case stepWriteFence:
		return co.fenceWritten(an)
	default:
		return nil
	}
}

func (co *Commit) finish(kind OutcomeKind, reason string) []archive.Call {
	co.step = stepDone
	co.outcome.Kind = kind
	co.outcome.Reason = reason
	co.outcome.Identity = co.identity
	co.outcome.DryRun = co.request.DryRun
	return nil
}

func (co *Commit) refuse(format string, args ...any) []archive.Call {
	return co.finish(OutcomeRefused, fmt.Sprintf(format, args...))
}

// refuseRead refuses the change because an object could not be read. No write
// of the root by an earlier attempt can have taken effect by then.
func (co *Commit) refuseRead(an archive.Answer, what string) []archive.Call {
	if an.Result == archive.ResultNotFound {
		return co.refuse("%s is missing in the store", what)
	}
	return co.refuse("the store can't be reached; nothing was changed")
}

func (co *Commit) rootRead(an archive.Answer) []archive.Call {
	switch {
	case an.Result == archive.ResultNotFound && co.request.NewestInForce != catalog.Version{}:
		return co.refuse("the store has lost the configuration: version %s is in force; REINSTATE it", co.request.NewestInForce)
	case an.Result == archive.ResultNotFound && co.request.Initial:
		co.before, co.rootVersion = &Root{}, 0
		return co.evaluate(an.Object.StoreTime)
	case an.Result == archive.ResultNotFound:
		return co.refuse("the store holds no configuration; INITIALIZE it")
	case an.Result != archive.ResultDone:
		return co.refuseRead(an, "the root")
	}
	ro, err := DecodeRoot(an.Object.Value)
	if err != nil {
		return co.refuse("%v", err)
	}
	co.before, co.rootVersion = ro, an.Object.Version
	co.snapshot.Root = ro
	co.outcome.Holder, co.outcome.Until = ro.Say.Owner, ro.Say.Until
	co.outcome.Version = ro.Version
	if co.request.Initial {
		return co.refuse("the store already holds version %s", ro.Version)
	}
	if ro.Version.Less(co.request.NewestInForce) {
		return co.refuse("the store holds the older version %s, but %s is in force; REINSTATE it", ro.Version, co.request.NewestInForce)
	}
	if err := ro.Verify(nil, nil); err != nil {
		return co.refuse("the root object failed verification: %v", err)
	}
	return co.readShards(an.Object.StoreTime)
}

// readShards reads the shards that no earlier attempt has read. A storeTime
// that is not zero replaces the local time.
func (co *Commit) readShards(storeTime time.Time) []archive.Call {
	co.step = stepReadShards
	if !storeTime.IsZero() {
		co.now = storeTime
	}
	co.outcome.Root = co.before
	missing := co.snapshot.Missing()
	if len(missing) == 0 {
		return co.evaluate(storeTime)
	}
	var calls []archive.Call
	for _, sh := range missing {
		calls = append(calls, co.read(sh.Name))
	}
	return calls
}

func (co *Commit) shardRead(an archive.Answer) []archive.Call {
	switch {
	case an.Result == archive.ResultNotFound && co.attempts < MaxAttempts:
		// A garbage collection may have deleted the shard after a newer root was
		// written.
		return co.startAttempt()
	case an.Result != archive.ResultDone:
		return co.refuseRead(an, "shard "+an.Object.Name)
	}
	co.snapshot.Values = append(co.snapshot.Values, ShardValue{Name: an.Object.Name, Bytes: an.Object.Value})
	if co.waiting > 0 {
		return nil
	}
	return co.evaluate(an.Object.StoreTime)
}

// ErrNotAuthorized says that the owner is not entitled to change the
// configuration at this time.
var ErrNotAuthorized = errors.New("no authority to change the configuration")

// maxSummaryBytes is the largest length of Entry.Summary, in bytes. A longer
// text is cut.
const maxSummaryBytes = 200
