// Package console runs the operators' query and command language against the
// platform's store and a live balancer.
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

// The times of a console.
const (
	// changeTimeout is when a change is given up.
	changeTimeout = 20 * time.Second
	// readTimeout bounds a query of the store.
	readTimeout = 5 * time.Second
	// inForceTimeout is how long the console watches an accepted change come
	// into force before it reports what it saw.
	inForceTimeout = 10 * time.Second
	// inForceInterval is the time between two questions meanwhile.
	inForceInterval = 200 * time.Millisecond
	// collectEvery is how many versions lie between two collections.
	collectEvery = 64
)

// The errors of a script whose last outcome was not accepted.
var (
	// ErrRefused says that a change was refused.
	ErrRefused = errors.New("refused")
	// ErrUnknown says that the outcome of a change is unknown.
	ErrUnknown = errors.New("unknown")
	// ErrNoBatch says that a batch command came without BEGIN.
	ErrNoBatch = errors.New("no batch was begun")
	// ErrNoKey says that the console can't sign changes.
	ErrNoKey = errors.New("changes need the settings Owner and OwnerKey")
)

// Fleet asks live processes. Without any balancer, Ask returns an error.
type Fleet struct {
	// Ask asks a balancer.
	Ask func(ctx context.Context, qu command.Query) (command.Status, error)
	// Flows asks the agents of the hosts for their open flows.
	Flows func(ctx context.Context, st command.Status) []HostFlows
	// Snapshot fetches the version in force.
	Snapshot func(ctx context.Context) (*change.Snapshot, error)
}

// Console runs statements. It is used by one goroutine at a time.
type Console struct {
	Store *store.Client
	Fleet Fleet
	// Owner and Key sign changes. Without a key only queries are answered.
	Owner string
	Key   ed25519.PrivateKey
	Out   io.Writer
	// JSON prints one object for each statement, for scripts.
	JSON bool
	// DryRun lets no change be written.
	DryRun bool

	calls *archive.Client
	// batch holds the changes since BEGIN; open says that there was one.
	batch []change.Edit
	open  bool
	known *change.Snapshot
}

// Run parses the text and runs its statements in order. It stops at the first
// change that is not accepted.
func (co *Console) Run(ctx context.Context, source, text string) error {
	script, err := command.Parse(source, text)
	if err != nil {
		return err
	}
	for _, st := range script.Statements {
		if err := co.run(ctx, st); err != nil {
			return err
		}
	}
	return nil
}

// run runs one statement.
func (co *Console) run(ctx context.Context, st *command.Statement) error {
	if ed, ok := st.Edit(); ok {
		return co.edit(ctx, ed)
	}
	switch {
	case st.Begin:
		co.batch, co.open = nil, true
		return co.print(newMessage("batch begun"))
	case st.Rollback:
		co.batch, co.open = nil, false
		return co.print(newMessage("batch dropped"))
	case st.Commit, st.DryRun:
		return co.finish(ctx, st.DryRun)
	case st.Initialize != nil:
		return co.change(ctx, change.Request{Initial: true, Edits: []change.Edit{st.Initialize.Edit()}})
	case st.Reinstate:
		return co.reinstate(ctx)
	case st.Settle != "":
		return co.inquire(ctx, change.Identity(st.Settle), true)
	case st.Help:
		return co.print(newMessage(command.Grammar()))
	case st.Explain != nil:
		return co.explain(ctx, st.Explain)
	default:
		return co.show(ctx, st.Show)
	}
}

// edit adds the edit to the batch, or makes it a change of its own.
func (co *Console) edit(ctx context.Context, ed change.Edit) error {
	if co.open {
		co.batch = append(co.batch, ed)
		return co.print(newMessage("added to the batch: " + ed.Summary))
	}
	return co.change(ctx, change.Request{Edits: []change.Edit{ed}, DryRun: co.DryRun})
}

// finish makes the batch one change. A dry run keeps the batch open.
func (co *Console) finish(ctx context.Context, dry bool) error {
	if !co.open {
		return ErrNoBatch
	}
	rq := change.Request{Edits: co.batch, DryRun: dry || co.DryRun}
	if !dry {
		co.batch, co.open = nil, false
	}
	return co.change(ctx, rq)
}

// change runs one change and prints its outcome.
func (co *Console) change(ctx context.Context, rq change.Request) error {
	ou, err := co.commit(ctx, rq)
	if err != nil {
		return err
	}
	re := newOutcome(ou)
	if ou.Kind == change.OutcomeAccepted && !ou.DryRun {
		co.known = ou.Snapshot
		re.InForce = co.watch(ctx, ou.Version)
		co.collect(ctx, ou.Version)
	}
	if err := co.print(re); err != nil {
		return err
	}
	return errorOf(ou)
}

// commit fills in the request and runs it.
func (co *Console) commit(ctx context.Context, rq change.Request) (change.Outcome, error) {
	if co.Key == nil {
		return change.Outcome{}, ErrNoKey
	}
	rq.Owner = co.Owner
	rq.Sign = func(text []byte) []byte { return ed25519.Sign(co.Key, text) }
	rq.Deadline = time.Now().Add(changeTimeout)
	if st, err := co.Fleet.Ask(ctx, command.Query{Records: true}); err == nil {
		rq.InForce = st.InForce.Newest
		rq.Everywhere = st.InForce.InForceOnAll(st.Expected)
		rq.Hosts = st.Hosts
	}
	core := change.New(rq, newRandom())
	if err := co.drive(ctx, core, core.Deadline); err != nil {
		core.Interrupt()
	}
	return core.Outcome(), nil
}

// errorOf returns the error that a script ends with.
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

// watch asks until the version is in force everywhere or the time is over, and
// returns the last answer; nil without any.
func (co *Console) watch(ctx context.Context, version catalog.Version) *InForce {
	deadline := time.Now().Add(inForceTimeout)
	for {
		in := co.inForce(ctx)
		if in == nil || in.complete(version) || time.Now().After(deadline) {
			return in
		}
		select {
		case <-ctx.Done():
			return in
		case <-time.After(inForceInterval):
		}
	}
}

// inForce asks a balancer what the fleet has in force.
func (co *Console) inForce(ctx context.Context) *InForce {
	st, err := co.Fleet.Ask(ctx, command.Query{})
	if err != nil {
		return nil
	}
	return &InForce{Report: st.InForce, Expected: st.Expected}
}

// collect removes shards that nothing refers to, now and then.
func (co *Console) collect(ctx context.Context, version catalog.Version) {
	if version.Number%collectEvery != 0 {
		return
	}
	deadline := time.Now().Add(readTimeout)
	// What is not collected now will be by a later collection.
	_ = co.drive(ctx, change.NewCollection(), func() time.Time { return deadline })
}

// reinstate puts the version in force back into the store.
func (co *Console) reinstate(ctx context.Context) error {
	sn, err := co.Fleet.Snapshot(ctx)
	if err != nil {
		return err
	}
	core := change.NewReinstatement(sn)
	deadline := time.Now().Add(changeTimeout)
	if err := co.drive(ctx, core, func() time.Time { return deadline }); err != nil {
		return err
	}
	ou := core.Outcome()
	if err := co.print(newOutcome(ou)); err != nil {
		return err
	}
	return errorOf(ou)
}

// inquire prints what became of a change.
func (co *Console) inquire(ctx context.Context, identity change.Identity, settle bool) error {
	core, err := change.NewInquiry(identity, settle)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(readTimeout)
	if err := co.drive(ctx, core, func() time.Time { return deadline }); err != nil {
		return err
	}
	fate, en, err := core.Fate()
	if err != nil {
		return err
	}
	return co.print(newFate(identity, fate, en))
}

// read returns the configuration in the store and the store's time.
func (co *Console) read(ctx context.Context) (*change.Snapshot, *catalog.Configuration, time.Time, error) {
	core := change.NewReading(co.known)
	deadline := time.Now().Add(readTimeout)
	if err := co.drive(ctx, core, func() time.Time { return deadline }); err != nil {
		return nil, nil, time.Time{}, err
	}
	sn, asked, err := core.Snapshot()
	if err != nil {
		return nil, nil, asked, errors.Wrapf(err, "read configuration from store %s", co.Store.Address)
	}
	co.known = sn
	decoded, err := sn.Configuration()
	return sn, decoded, asked, err
}

func (co *Console) drive(ctx context.Context, core store.StateMachine, deadline func() time.Time) error {
	if co.calls == nil {
		co.calls = archive.New(archive.DefaultPolicy, newRandom())
	}
	return co.Store.Run(ctx, co.calls, core, deadline)
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
