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

// MaxAttempts bounds how often a change is made again from a newer root after
// another change came first.
const MaxAttempts = 16

// Edit is one step of a change.
type Edit struct {
	// Summary is the step as the operator wrote it.
	Summary string
	// Apply edits the configuration or says why it can't.
	Apply func(*catalog.Configuration) error
}

// Request is a change that an owner asks for.
type Request struct {
	Owner string
	// Sign returns the owner's Ed25519 signature.
	Sign func(message []byte) []byte
	// Edits are applied together or not at all.
	Edits []Edit
	// Initial allows the first change of an empty store.
	Initial bool
	// DryRun stops before anything is written.
	DryRun bool
	// InForceEverywhere is the newest version that every live instance is known to
	// have in force; zero if that is not known.
	InForceEverywhere catalog.Version
	// NewestInForce is the newest version that any instance was seen to have.
	NewestInForce catalog.Version
	// Hosts are the live hosts, for finding services that would be stranded.
	Hosts []register.Host
	// Deadline is when the change is given up.
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
	// OutcomeUnknown says that the store could not be asked what became of it.
	OutcomeUnknown
)

// String returns the kind as operators read it.
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

// Outcome is what the operator is told.
type Outcome struct {
	Kind     OutcomeKind
	Identity Identity
	// Version is the accepted version, or that of the root that was read.
	Version catalog.Version
	// Reason says why the change was refused or is unknown.
	Reason string
	// Holder and Until say who has the say, if that was read.
	Holder string
	Until  time.Time
	// Difference is what the change alters, one line each.
	Difference []string
	DryRun     bool
	// Root is the root after an accepted change.
	Root *Root
	// Snapshot is the accepted configuration with its shards.
	Snapshot *Snapshot
}

// step is where a commit stands.
type step uint8

const (
	stepRoot step = iota
	stepShards
	stepWriteShards
	stepWriteRoot
	stepCheckWrite
	stepPage
	stepFence
	stepDone
)

// Commit is the decision core of one change.
type Commit struct {
	request Request
	random  *rand.Rand
	step    step
	// calls numbers the calls; waiting counts those without an answer. Answers
	// to calls up to the number in stale belong to an attempt given up.
	calls    uint64
	ignoredUpTo    uint64
	waiting  int
	attempts int

	// rootVersion is the store's version of the root that the attempt started from.
	rootVersion   uint64
	before   *Root
	snapshot *Snapshot
	after    *Root
	newShards   []ShardValue
	identity Identity
	outcome  Outcome
	now      time.Time
}

// NewCommit returns the core for the request. The random numbers go into identities.
func NewCommit(rq Request, random *rand.Rand) *Commit {
	return &Commit{request: rq, random: random, snapshot: &Snapshot{}}
}

// Done reports whether the outcome stands.
func (co *Commit) Done() bool {
	return co.step == stepDone
}

// Outcome returns the outcome once Done reports true.
func (co *Commit) Outcome() Outcome {
	return co.outcome
}

// Interrupt ends a change whose caller waits no longer.
func (co *Commit) Interrupt() {
	if co.step < stepWriteRoot {
		co.refuse("interrupted; nothing was changed")
		return
	}
	if co.step != stepDone {
		co.unknown()
	}
}

// writeCheckTime is how long a write without an answer is asked after beyond the
// deadline of the change.
const writeCheckTime = 10 * time.Second

// Deadline returns when the calls that were just returned are to be given up.
func (co *Commit) Deadline() time.Time {
	if co.step >= stepCheckWrite {
		return co.request.Deadline.Add(writeCheckTime)
	}
	return co.request.Deadline
}

// Start returns the first calls.
func (co *Commit) Start(now time.Time) []archive.Call {
	co.now = now
	return co.startAttempt()
}

// startAttempt reads the root for a new attempt.
func (co *Commit) startAttempt() []archive.Call {
	co.step = stepRoot
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
	case stepRoot:
		return co.rootRead(an)
	case stepShards:
		return co.shardRead(an)
	case stepWriteShards:
		return co.shardWritten(an)
	case stepWriteRoot:
		return co.rootWritten(an)
	case stepCheckWrite:
		return co.writeChecked(an)
	case stepPage:
		return co.pageRead(an)
	case stepFence:
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

// refuseRead refuses a change before anything that matters was written.
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
		return co.refuse("the store went back to version %s, but %s is in force; REINSTATE it", ro.Version, co.request.NewestInForce)
	}
	if err := ro.Verify(nil, nil); err != nil {
		return co.refuse("the root is not to be trusted: %v", err)
	}
	return co.readShards(an.Object.StoreTime)
}

// readShards reads the shards that no earlier attempt has read.
func (co *Commit) readShards(asked time.Time) []archive.Call {
	co.step = stepShards
	if !asked.IsZero() {
		co.now = asked
	}
	co.outcome.Root = co.before
	missing := co.snapshot.Missing()
	if len(missing) == 0 {
		return co.evaluate(asked)
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
		// A collection may have removed it after a newer root was written.
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

// ErrNotAuthorized says that the owner may not change the configuration now.
var ErrNotAuthorized = errors.New("no authority to change the configuration")

// maxSummaryBytes bounds what the history keeps of the operator's words.
const maxSummaryBytes = 200
