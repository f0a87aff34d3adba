package demo

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	ordinaryLoad = 0.4
	overloadLoad = 1.5
	// changesPerOwner is the number of changes that each owner asks for when both
	// do so concurrently.
	changesPerOwner = 1
	changeTimeout   = 2 * time.Second
)

// plan is a schedule of operations and faults that are applied to the fleet while
// callers send requests.
type plan struct {
	name string
	// load is the offered load as a share of the capacity of all slots.
	load float64
	// steps run one after another, in this order.
	steps []step
}

// step is one operation on the fleet, or one fault.
type step struct {
	// at is when the step begins, as a share of the demo's duration; up to 5% of it
	// is added or taken off at random.
	at   float64
	name string
	run  func(ctx context.Context, fl *fleet, random *rand.Rand) error
}

// plans returns all plans.
func plans() []plan {
	return []plan{
		{name: "calm", load: ordinaryLoad, steps: changeSteps()},
		{name: "rolling", load: ordinaryLoad, steps: rollingSteps()},
		{name: "drain", load: ordinaryLoad, steps: drainSteps()},
		{name: "crash", load: ordinaryLoad, steps: crashSteps()},
		{name: "store", load: ordinaryLoad, steps: storeSteps()},
		{name: "handover", load: ordinaryLoad, steps: handoverSteps()},
		{name: "overload", load: overloadLoad, steps: changeSteps()},
		{name: "all", load: ordinaryLoad, steps: allSteps()},
	}
}

// PlanNames returns the names of all plans.
func PlanNames() []string {
	var names []string
	for _, pl := range plans() {
		names = append(names, pl.name)
	}
	return names
}

func findPlan(name string) (plan, error) {
	for _, pl := range plans() {
		if pl.name == name {
			return pl, nil
		}
	}
	return plan{}, errors.Errorf("find plan %q: want one of %v", name, PlanNames())
}

func rollingSteps() []step {
	var steps []step
	for i := range balancerCount {
		steps = append(steps, step{
			at:   0.1 + 0.25*float64(i),
			name: "replace balancer",
			run:  func(_ context.Context, fl *fleet, _ *rand.Rand) error { return fl.replaceBalancer(i) },
		})
	}
	return steps
}

// drainSteps changes the configuration, then drains three hosts, each after a new
// host of the same service has been started.
func drainSteps() []step {
	drain := func(_ context.Context, fl *fleet, random *rand.Rand) error {
		if err := fl.addHost(fl.services[0], true); err != nil {
			return err
		}
		fl.drainHost(fl.pickUndisturbedHost(0, random))
		return nil
	}
	drainOther := func(_ context.Context, fl *fleet, random *rand.Rand) error {
		if err := fl.addHost(fl.services[1], true); err != nil {
			return err
		}
		fl.drainHost(fl.pickUndisturbedHost(1, random))
		return nil
	}
	return []step{
		{at: 0.05, name: "change the configuration", run: expectChangeAccepted},
		{at: 0.1, name: "drain host", run: drain},
		{at: 0.25, name: "drain host of the other service", run: drainOther},
		{at: 0.4, name: "drain host", run: drain},
	}
}

func crashSteps() []step {
	return []step{
		{at: 0.2, name: "crash balancer", run: func(_ context.Context, fl *fleet, random *rand.Rand) error {
			fl.crashBalancer(random.IntN(balancerCount))
			return nil
		}},
		{at: 0.4, name: "crash host", run: func(_ context.Context, fl *fleet, random *rand.Rand) error {
			fl.crashHost(fl.pickUndisturbedHost(0, random))
			return nil
		}},
	}
}

// changeSteps changes the configuration once and disturbs nothing else.
func changeSteps() []step {
	return []step{{at: 0.5, name: "change the configuration", run: expectChangeAccepted}}
}

// expectChangeAccepted makes a change as the first owner, who has the say (the
// right to change the configuration), and returns an error unless it is accepted.
func expectChangeAccepted(ctx context.Context, fl *fleet, _ *rand.Rand) error {
	if at := fl.attemptChange(ctx, fl.operators[0]); !at.accepted {
		return errors.Errorf("change refused: %s", at.outcome.Reason)
	}
	return nil
}

// storeSteps takes the store down, attempts a change and replaces a balancer
// meanwhile, and loses the answer of the store's first write after the outage.
func storeSteps() []step {
	return []step{
		{at: 0.2, name: "store goes down", run: func(_ context.Context, fl *fleet, _ *rand.Rand) error {
			fl.platform.SetOutage(true)
			return nil
		}},
		{at: 0.3, name: "change while the store is down", run: func(ctx context.Context, fl *fleet, _ *rand.Rand) error {
			ctx, cancel := context.WithTimeout(ctx, changeTimeout)
			defer cancel()
			if at := fl.attemptChange(ctx, fl.operators[0]); at.accepted {
				return errors.New("change accepted without the store")
			}
			return nil
		}},
		{at: 0.45, name: "balancer replaced while the store is down", run: func(_ context.Context, fl *fleet, _ *rand.Rand) error {
			return fl.replaceBalancer(0)
		}},
		{at: 0.6, name: "store comes back and loses an answer", run: func(ctx context.Context, fl *fleet, random *rand.Rand) error {
			fl.platform.SetOutage(false)
			fl.platform.DropWriteAnswers(1)
			return expectChangeAccepted(ctx, fl, random)
		}},
	}
}

// handoverSteps hands the say to the other owner and back while both owners
// attempt changes concurrently.
func handoverSteps() []step {
	concurrent := func(ctx context.Context, fl *fleet, _ *rand.Rand) error {
		fl.attemptConcurrently(ctx)
		return nil
	}
	return []step{
		{at: 0.1, name: "both owners attempt changes", run: concurrent},
		{at: 0.3, name: "say is handed on while both owners attempt changes", run: func(ctx context.Context, fl *fleet, _ *rand.Rand) error {
			return fl.handOver(ctx, 0, 1)
		}},
		{at: 0.5, name: "both owners attempt changes", run: concurrent},
		{at: 0.7, name: "say is handed back while both owners attempt changes", run: func(ctx context.Context, fl *fleet, _ *rand.Rand) error {
			return fl.handOver(ctx, 1, 0)
		}},
	}
}

// attemptConcurrently lets both owners attempt changes at the same time. Those of
// the owner without the say are refused.
func (fl *fleet) attemptConcurrently(ctx context.Context) {
	var running sync.WaitGroup
	for _, op := range fl.operators {
		running.Go(func() {
			for range changesPerOwner {
				fl.attemptChange(ctx, op)
			}
		})
	}
	running.Wait()
}

// handOver hands the say from one owner to the other while both attempt changes.
func (fl *fleet) handOver(ctx context.Context, from, to int) error {
	var running sync.WaitGroup
	running.Go(func() { fl.attemptConcurrently(ctx) })
	_, err := fl.operators[from].run(ctx, "HAND SAY TO "+fl.operators[to].owner)
	running.Wait()
	if err != nil {
		return errors.Wrap(err, "hand the say on")
	}
	return nil
}

// allSteps merges the steps of several plans, ordered by time.
func allSteps() []step {
	var steps []step
	for _, list := range [][]step{rollingSteps(), drainSteps(), crashSteps(), handoverSteps()} {
		steps = append(steps, list...)
	}
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return steps
}

// pickUndisturbedHost returns the position of a random host of the service that the
// plan has neither added, drained nor crashed.
func (fl *fleet) pickUndisturbedHost(service int, random *rand.Rand) int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var positions []int
	for i, ho := range fl.hosts {
		if ho.service.ID == fl.services[service].ID && ho.records.undisturbed() {
			positions = append(positions, i)
		}
	}
	return positions[random.IntN(len(positions))]
}

// execute runs the plan's steps at their times and returns the first error. It
// ends early, without an error, when the context ends or the duration is exceeded.
func (pl plan) execute(ctx context.Context, fl *fleet, start time.Time, duration time.Duration, seed uint64, progress func(string)) error {
	random := rand.New(rand.NewPCG(seed, 99))
	for _, st := range pl.steps {
		jitter := (random.Float64() - 0.5) / 10
		at := start.Add(time.Duration((st.at + st.at*jitter) * float64(duration)))
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Until(at)):
		}
		if time.Since(start) > duration {
			return nil
		}
		progress(st.name)
		if err := st.run(ctx, fl, random); err != nil {
			return errors.Wrap(err, st.name)
		}
	}
	return nil
}
