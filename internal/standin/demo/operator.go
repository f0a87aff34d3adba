package demo

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/coordination/change"
	"corneltiller.dev/corneltiller/internal/protocol/command"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/transport/console"
	"corneltiller.dev/corneltiller/internal/transport/store"
)

// The owners of the configuration in the demo. The first one begins with the say,
// which is the right to change the configuration.
const (
	ownerGlenrug = "glenrug"
	ownerZhuldyz = "zhuldyz"
)

// operator is one owner with a console.
type operator struct {
	owner string
	// mu serializes the use of the console.
	mu      sync.Mutex
	console *console.Console
	out     bytes.Buffer
}

// attempt is one change that an operator asked for, and its outcome as reported to
// the operator. If it is neither accepted nor refused, it may or may not
// have been written.
type attempt struct {
	// class is the unique class that the change adds.
	class    string
	outcome  console.Outcome
	accepted bool
	refused  bool
}

// changeRecords records the operators' changes; mu guards the fields.
type changeRecords struct {
	mu       sync.Mutex
	attempts []attempt
	// inForce is the longest time until an accepted change was in force everywhere.
	inForce time.Duration
	// reverted is the number of times that an instance went back to a lower version.
	reverted int
}

// ownerKey returns the owner's private key, which is derived from the name.
func ownerKey(owner string) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, owner)
	return ed25519.NewKeyFromSeed(seed)
}

func ownerClause(owner string) string {
	return fmt.Sprintf("OWNER %s KEY %q", owner, command.FormatKey(change.PublicKey(ownerKey(owner))))
}

// openOperators returns the consoles of both owners.
func (fl *fleet) openOperators() []*operator {
	var list []*operator
	for _, owner := range []string{ownerGlenrug, ownerZhuldyz} {
		op := &operator{owner: owner}
		op.console = &console.Console{
			Store: &store.Client{Address: fl.store.Address()},
			Fleet: fl.consoleFleet(),
			Owner: owner,
			Key:   ownerKey(owner),
			Out:   &op.out,
			JSON:  true,
		}
		list = append(list, op)
	}
	return list
}

// consoleFleet returns a client that asks the balancers only for the membership
// records that a change is checked against. All other queries fail at once, so that
// the console does not wait for a change to be in force: attemptChange does.
func (fl *fleet) consoleFleet() console.Fleet {
	client := console.NewFleet(fl.pool, fl.seeds())
	ask := client.Ask
	client.Ask = func(ctx context.Context, qu command.Query) (command.Status, error) {
		if !qu.Records {
			return command.Status{}, console.ErrNoBalancer
		}
		return ask(ctx, qu)
	}
	return client
}

// run executes statements at the console and returns the outcome of the last one.
func (op *operator) run(ctx context.Context, text string) (console.Outcome, error) {
	op.mu.Lock()
	defer op.mu.Unlock()
	op.out.Reset()
	err := op.console.Run(ctx, op.owner, text)
	var ou console.Outcome
	decoder := json.NewDecoder(&op.out)
	for decoder.More() {
		ou = console.Outcome{}
		if failure := decoder.Decode(&ou); failure != nil {
			return ou, errors.Wrap(failure, "decode console output")
		}
	}
	return ou, err
}

// configure opens the consoles and writes the first configuration.
func (fl *fleet) configure(ctx context.Context) error {
	fl.operators = fl.openOperators()
	text := "INITIALIZE " + ownerClause(ownerGlenrug) + "; BEGIN; CREATE " + ownerClause(ownerZhuldyz)
	for _, sv := range fl.services {
		text += fmt.Sprintf("; CREATE SERVICE %s FOR FIRM %s ADDRESS %s HOSTS 127.0.0.0/8", sv.Name, sv.Firm, sv.Addresses[0])
	}
	if _, err := fl.operators[0].run(ctx, text+"; COMMIT"); err != nil {
		return errors.Wrapf(err, "write the first configuration: %s", fl.operators[0].out.String())
	}
	return nil
}

// attemptChange asks for a change that adds a unique class. If it is accepted,
// attemptChange waits until it is in force everywhere, at most until inForceLimit
// after the request. The attempt is recorded and returned.
func (fl *fleet) attemptChange(ctx context.Context, op *operator) attempt {
	fl.mu.Lock()
	fl.changeCount++
	at := attempt{class: fmt.Sprintf("probe%d", fl.changeCount)}
	fl.mu.Unlock()
	watching, stop := context.WithTimeout(ctx, inForceLimit)
	defer stop()
	everywhere := fl.watchClass(watching, at.class)
	statement := fmt.Sprintf("SET CLASS %s OF yardline URGENT PATHS /%s", at.class, at.class)
	ou, err := op.run(ctx, statement)
	at.outcome = ou
	at.accepted = err == nil
	at.refused = errors.Is(err, console.ErrRefused)
	var took time.Duration
	if at.accepted {
		took = <-everywhere
	}
	fl.changes.mu.Lock()
	defer fl.changes.mu.Unlock()
	fl.changes.inForce = max(fl.changes.inForce, took)
	fl.changes.attempts = append(fl.changes.attempts, at)
	return at
}

// watchClass returns a channel that delivers the time from now until every instance
// has a configuration with the class, or until the context ends.
func (fl *fleet) watchClass(ctx context.Context, class string) <-chan time.Duration {
	took := make(chan time.Duration, 1)
	start := time.Now()
	go func() {
		for ctx.Err() == nil && !fl.inForceEverywhere(class) {
			time.Sleep(pollInterval)
		}
		took <- time.Since(start)
	}()
	return took
}

// inForceEverywhere reports whether every instance has a configuration with the class.
func (fl *fleet) inForceEverywhere(class string) bool {
	for _, cfg := range fl.configurations() {
		if !hasClass(cfg, class) {
			return false
		}
	}
	return true
}

func hasClass(cfg *catalog.Configuration, class string) bool {
	if cfg == nil {
		return false
	}
	for _, sv := range cfg.Services {
		for _, cl := range sv.Classes {
			if cl.Name == class {
				return true
			}
		}
	}
	return false
}

// configurations returns the configuration that each running instance has in force,
// nil for an instance that has none.
func (fl *fleet) configurations() []*catalog.Configuration {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var list []*catalog.Configuration
	for _, ba := range fl.balancers {
		if ba.running() {
			list = append(list, ba.balancer.Configuration())
		}
	}
	for _, ho := range fl.hosts {
		if ho.running() {
			list = append(list, ho.agent.Configuration())
		}
	}
	return list
}

// running reports whether the instance has been neither stopped nor crashed.
func (in *instance) running() bool {
	select {
	case <-in.done:
		return false
	default:
		return !in.stopping.Load()
	}
}

// countReversions counts how often an instance goes back to a lower version, until
// the context ends.
func (fl *fleet) countReversions(ctx context.Context) {
	last := make(map[any]catalog.Version)
	observe := func(instance any, cfg *catalog.Configuration) {
		if cfg == nil {
			return
		}
		if cfg.Version.Less(last[instance]) {
			fl.changes.mu.Lock()
			fl.changes.reverted++
			fl.changes.mu.Unlock()
		}
		last[instance] = cfg.Version
	}
	for ctx.Err() == nil {
		fl.mu.Lock()
		for _, ba := range fl.balancers {
			observe(ba, ba.balancer.Configuration())
		}
		for _, ho := range fl.hosts {
			observe(ho, ho.agent.Configuration())
		}
		fl.mu.Unlock()
		time.Sleep(pollInterval)
	}
}

// checkChanges compares the outcomes that the operators were told with the
// configurations in force at the end.
func (fl *fleet) checkChanges(re *Report) {
	fl.changes.mu.Lock()
	defer fl.changes.mu.Unlock()
	re.RevertedConfigurations = fl.changes.reverted
	re.ConfigurationInForceMilliseconds = fl.changes.inForce.Milliseconds()
	final := fl.configurations()
	for _, at := range fl.changes.attempts {
		for _, cfg := range final {
			switch present := hasClass(cfg, at.class); {
			case at.accepted && !present:
				re.RevertedConfigurations++
			case at.refused && present:
				re.RefusedButInForce++
			}
		}
	}
}
