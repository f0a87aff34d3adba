// Package console executes the operators' language, whose grammar is in package
// command. It reads and changes the configuration in the platform's store, and
// queries balancers and agents about the running system.
//
// # The say
//
// One owner at a time has the right to change the configuration, until a set
// time. The language calls this right the say. A new term begins each time that
// it passes to another owner; terms are numbered from 1.
//
// # Usage
//
//	co := &console.Console{Store: client, Fleet: fleet, Owner: "glenrug", Key: key, Out: os.Stdout}
//	err := co.Run(ctx, "change.ctl", text)
//	err = co.Interact(ctx, "history")
package console

import (
	"context"
	"crypto/ed25519"
	"io"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/coordination/archive"
	"corneltiller.dev/corneltiller/internal/coordination/change"
	"corneltiller.dev/corneltiller/internal/protocol/command"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/transport/store"
)

// The timeouts and intervals of a console.
const (
	// changeTimeout is how long after its start a change is given up.
	changeTimeout = 20 * time.Second
	// readTimeout bounds reading the configuration, querying or settling the status
	// of a change, and a garbage collection in the store.
	readTimeout = 5 * time.Second
	// inForceTimeout is how long the console waits for an accepted change to come
	// into force at all live instances before it prints how far it got.
	inForceTimeout = 10 * time.Second
	// inForcePollInterval is the time between two queries during that wait.
	inForcePollInterval = 200 * time.Millisecond
	// versionsPerCollection is the number of versions from one garbage collection in
	// the store to the next.
	versionsPerCollection = 64
)

// The errors that end a script.
var (
	// ErrRefused says that a change was refused.
	ErrRefused = errors.New("refused")
	// ErrUnknown says that the outcome of a change is unknown.
	ErrUnknown = errors.New("unknown")
	// ErrNoBatch says that COMMIT, DRY RUN or SHOW DIFF came without BEGIN.
	ErrNoBatch = errors.New("no batch was begun")
	// ErrNoKey says that the console has no key to sign changes with.
	ErrNoKey = errors.New("changes need the settings Owner and OwnerKey")
)

// Fleet holds the functions that query running balancers and agents.
type Fleet struct {
	// Ask sends a query to a balancer. It returns an error if none answers.
	Ask func(ctx context.Context, qu command.Query) (command.Status, error)
	// Flows asks the agents of the status's hosts for their numbers of open flows.
	Flows func(ctx context.Context, st command.Status) []HostFlows
	// Snapshot fetches the configuration that is in force at a balancer.
	Snapshot func(ctx context.Context) (*change.Snapshot, error)
}

// Console executes statements. It is not safe for concurrent use.
type Console struct {
	Store *store.Client
	Fleet Fleet
	// Owner is the owner who makes the changes, and Key the private key that signs
	// them. Without a key, statements that submit a change, even as a dry run, fail
	// with ErrNoKey.
	Owner string
	Key   ed25519.PrivateKey
	// Out takes the results of statements.
	Out io.Writer
	// JSON prints each result as a JSON object, for scripts.
	JSON bool
	// DryRun makes each edit and each batch a dry run. INITIALIZE, REINSTATE and
	// SETTLE CHANGE still write.
	DryRun bool

	// calls is the client that retries and limits the calls to the store. The first
	// call creates it.
	calls *archive.Client
	// batch holds the edits since BEGIN, and inBatch is set while a batch is open.
	batch   []change.Edit
	inBatch bool
	// cached is the configuration that was last read or written. The next reading
	// reuses its shards.
	cached *change.Snapshot
}

// Run parses the text and executes its statements in order. It stops at the
// first error and returns it, such as ErrRefused for a change that was refused.
// The source is the name of the text in parse errors.
func (co *Console) Run(ctx context.Context, source, text string) error {
	script, err := command.Parse(source, text)
	if err != nil {
		return err
	}
	for _, st := range script.Statements {
		if err := co.runStatement(ctx, st); err != nil {
			return err
		}
	}
	return nil
}

// runStatement executes one statement.
func (co *Console) runStatement(ctx context.Context, st *command.Statement) error {
	if ed, ok := st.Edit(); ok {
		return co.runEdit(ctx, ed)
	}
	switch {
	case st.Begin:
		co.batch, co.inBatch = nil, true
		return co.print(newMessage("batch begun"))
	case st.Rollback:
		co.batch, co.inBatch = nil, false
		return co.print(newMessage("batch dropped"))
	case st.Commit, st.DryRun:
		return co.submitBatch(ctx, st.DryRun)
	case st.Initialize != nil:
		return co.runChange(ctx, change.Request{Initial: true, Edits: []change.Edit{st.Initialize.Edit()}})
	case st.Reinstate:
		return co.reinstate(ctx)
	case st.Settle != "":
		return co.showChangeStatus(ctx, change.Identity(st.Settle), true)
	case st.Help:
		return co.print(newMessage(command.Grammar()))
	case st.Explain != nil:
		return co.explain(ctx, st.Explain)
	default:
		return co.show(ctx, st.Show)
	}
}

// runEdit adds the edit to the open batch, or makes it a change of its own if
// there is none.
func (co *Console) runEdit(ctx context.Context, ed change.Edit) error {
	if co.inBatch {
		co.batch = append(co.batch, ed)
		return co.print(newMessage("added to the batch: " + ed.Summary))
	}
	return co.runChange(ctx, change.Request{Edits: []change.Edit{ed}, DryRun: co.DryRun})
}

// submitBatch submits the batch as one change and closes it. The statement DRY
// RUN keeps it open.
func (co *Console) submitBatch(ctx context.Context, dry bool) error {
	if !co.inBatch {
		return ErrNoBatch
	}
	rq := change.Request{Edits: co.batch, DryRun: dry || co.DryRun}
	if !dry {
		co.batch, co.inBatch = nil, false
	}
	return co.runChange(ctx, rq)
}

// runChange submits one change, waits for it to come into force if it was
// accepted, and prints its outcome. It returns ErrRefused or ErrUnknown, wrapped
// with the reason, if the change was not accepted.
func (co *Console) runChange(ctx context.Context, rq change.Request) error {
	ou, err := co.submit(ctx, rq)
	if err != nil {
		return err
	}
	re := newOutcome(ou)
	if ou.Kind == change.OutcomeAccepted && !ou.DryRun {
		co.cached = ou.Snapshot
		re.InForce = co.awaitInForce(ctx, ou.Version)
		co.collectGarbage(ctx, ou.Version)
	}
	if err := co.print(re); err != nil {
		return err
	}
	return errorOf(ou)
}

// submit completes the request with the owner, the deadline and what a balancer
// knows of the live instances, and carries out the change or dry run. If no
// balancer answers, the change is made without that knowledge.
func (co *Console) submit(ctx context.Context, rq change.Request) (change.Outcome, error) {
	if co.Key == nil {
		return change.Outcome{}, ErrNoKey
	}
	rq.Owner = co.Owner
	rq.Sign = func(text []byte) []byte { return ed25519.Sign(co.Key, text) }
	rq.Deadline = time.Now().Add(changeTimeout)
	if st, err := co.Fleet.Ask(ctx, command.Query{Records: true}); err == nil {
		rq.NewestInForce = st.InForce.Newest
		rq.InForceEverywhere = st.InForce.InForceOnAll(st.Expected)
		rq.Hosts = st.Hosts
	}
	commit := change.NewCommit(rq, newRandom())
	if err := co.drive(ctx, commit, commit.Deadline); err != nil {
		commit.Interrupt()
	}
	return commit.Outcome(), nil
}

// errorOf returns the error for an outcome that is not accepted, else nil.
func errorOf(ou change.Outcome) error {
	switch ou.Kind {
	case change.OutcomeRefused:
		return errors.Wrap(ErrRefused, ou.Reason)
	case change.OutcomeUnknown:
		return errors.Wrap(ErrUnknown, ou.Reason)
	default:
		return nil
	}
}

// awaitInForce queries a balancer until all live instances have the version in
// force, inForceTimeout has passed or the context ends. It returns the last
// report, or nil as soon as no balancer answers.
func (co *Console) awaitInForce(ctx context.Context, version catalog.Version) *InForce {
	deadline := time.Now().Add(inForceTimeout)
	for {
		in := co.inForce(ctx)
		if in == nil || in.complete(version) || time.Now().After(deadline) {
			return in
		}
		select {
		case <-ctx.Done():
			return in
		case <-time.After(inForcePollInterval):
		}
	}
}

// inForce asks a balancer which versions the live instances have in force. It
// returns nil if no balancer answers.
func (co *Console) inForce(ctx context.Context) *InForce {
	st, err := co.Fleet.Ask(ctx, command.Query{})
	if err != nil {
		return nil
	}
	return &InForce{Report: st.InForce, Expected: st.Expected}
}

// collectGarbage deletes at most change.MaxDeletions shards and history pages that
// the root in the store does not refer to, if the version's number is a multiple of
// versionsPerCollection.
func (co *Console) collectGarbage(ctx context.Context, version catalog.Version) {
	if version.Number%versionsPerCollection != 0 {
		return
	}
	deadline := time.Now().Add(readTimeout)
	// A later collection deletes what this one leaves.
	_ = co.drive(ctx, change.NewGarbageCollection(), func() time.Time { return deadline })
}

// reinstate writes the version in force back to a store that holds an older one.
func (co *Console) reinstate(ctx context.Context) error {
	sn, err := co.Fleet.Snapshot(ctx)
	if err != nil {
		return err
	}
	reinstatement := change.NewReinstatement(sn)
	deadline := time.Now().Add(changeTimeout)
	if err := co.drive(ctx, reinstatement, func() time.Time { return deadline }); err != nil {
		return err
	}
	ou := reinstatement.Outcome()
	if err := co.print(newOutcome(ou)); err != nil {
		return err
	}
	return errorOf(ou)
}

// showChangeStatus prints whether a change took effect. With settle, a change that
// is still pending is prevented from taking effect.
func (co *Console) showChangeStatus(ctx context.Context, identity change.Identity, settle bool) error {
	query, err := change.NewStatusQuery(identity, settle)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(readTimeout)
	if err := co.drive(ctx, query, func() time.Time { return deadline }); err != nil {
		return err
	}
	status, en, err := query.Status()
	if err != nil {
		return err
	}
	return co.print(newFate(identity, status, en))
}

// readConfiguration reads the configuration in the store. It returns it both as
// stored and decoded, and with it the store's time.
func (co *Console) readConfiguration(ctx context.Context) (*change.Snapshot, *catalog.Configuration, time.Time, error) {
	read := change.NewSnapshotRead(co.cached)
	deadline := time.Now().Add(readTimeout)
	if err := co.drive(ctx, read, func() time.Time { return deadline }); err != nil {
		return nil, nil, time.Time{}, err
	}
	sn, storeTime, err := read.Snapshot()
	if err != nil {
		return nil, nil, storeTime, errors.Wrapf(err, "read configuration from store %s", co.Store.Address)
	}
	co.cached = sn
	cfg, err := sn.Configuration()
	return sn, cfg, storeTime, err
}

// drive makes the calls to the store that the state machine returns, until it is
// done. The function deadline returns when a call expires.
func (co *Console) drive(ctx context.Context, sm store.StateMachine, deadline func() time.Time) error {
	if co.calls == nil {
		co.calls = archive.New(archive.DefaultPolicy, newRandom())
	}
	return co.Store.Run(ctx, co.calls, sm, deadline)
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
