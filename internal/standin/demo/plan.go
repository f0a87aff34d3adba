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
	overload     = 1.5
	// racingChanges is the number of changes of each owner in a race.
	racingChanges = 1
	changeTimeout = 2 * time.Second
)

// plan is what is done to the fleet while callers are served.
type plan struct {
	name string
	// load is what callers offer, as a share of what the slots can do.
	load float64
	// steps are done one after another.
	steps []step
}

// step is one thing done to the fleet.
type step struct {
	// at is the share of the demo's time at which the step begins.
	at   float64
	name string
	do   func(ctx context.Context, fl *fleet, random *rand.Rand) error
}

// plans returns every plan by its name.
func plans() []plan {
	return []plan{
		{name: "calm", load: ordinaryLoad, steps: changeSteps()},
		{name: "rolling", load: ordinaryLoad, steps: rollingSteps()},
		{name: "drain", load: ordinaryLoad, steps: drainSteps()},
		{name: "crash", load: ordinaryLoad, steps: crashSteps()},
		{name: "store", load: ordinaryLoad, steps: storeSteps()},
		{name: "handover", load: ordinaryLoad, steps: handoverSteps()},
		{name: "overload", load: overload, steps: changeSteps()},
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
			do:   func(_ context.Context, fl *fleet, _ *rand.Rand) error { return fl.replaceBalancer(i) },
		})
	}
	return steps
}

func drainSteps() []step {
	drain := func(_ context.Context, fl *fleet, random *rand.Rand) error {
		if err := fl.addHost(fl.services[0], true); err != nil {
			return err
		}
		fl.drainHost(fl.anySteadyHost(0, random))
		return nil
	}
	other := func(_ context.Context, fl *fleet, random *rand.Rand) error {
		if err := fl.addHost(fl.services[1], true); err != nil {
			return err
		}
		fl.drainHost(fl.anySteadyHost(1, random))
		return nil
	}
	return []step{
		{at: 0.05, name: "change the configuration", do: tryChange},
		{at: 0.1, name: "drain host", do: drain},
		{at: 0.25, name: "drain host of the other service", do: other},
		{at: 0.4, name: "drain host", do: drain},
	}
}

func crashSteps() []step {
	return []step{
		{at: 0.2, name: "crash balancer", do: func(_ context.Context, fl *fleet, random *rand.Rand) error {
			fl.crashBalancer(random.IntN(balancerCount))
			return nil
		}},
		{at: 0.4, name: "crash host", do: func(_ context.Context, fl *fleet, random *rand.Rand) error {
			fl.crashHost(fl.anySteadyHost(0, random))
			return nil
		}},
	}
}

// changeSteps change the configuration while nothing else happens.
func changeSteps() []step {
	return []step{{at: 0.5, name: "change the configuration", do: tryChange}}
}

// tryChange lets the owner with the say change something.
func tryChange(ctx context.Context, fl *fleet, _ *rand.Rand) error {
	if at := fl.try(ctx, fl.operators[0]); !at.accepted {
		return errors.Errorf("change refused: %s", at.outcome.Reason)
	}
	return nil
}

// storeSteps take the store down for the middle of the plan, try a change
// meanwhile, and lose an answer afterwards.
func storeSteps() []step {
	return []step{
		{at: 0.2, name: "store goes down", do: func(_ context.Context, fl *fleet, _ *rand.Rand) error {
			fl.platform.SetOutage(true)
			return nil
		}},
		{at: 0.3, name: "change while the store is down", do: func(ctx context.Context, fl *fleet, _ *rand.Rand) error {
			ctx, cancel := context.WithTimeout(ctx, changeTimeout)
			defer cancel()
			if at := fl.try(ctx, fl.operators[0]); at.accepted {
				return errors.New("change accepted without the store")
			}
			return nil
		}},
		{at: 0.45, name: "balancer replaced while the store is down", do: func(_ context.Context, fl *fleet, _ *rand.Rand) error {
			return fl.replaceBalancer(0)
		}},
		{at: 0.6, name: "store comes back and loses an answer", do: func(ctx context.Context, fl *fleet, random *rand.Rand) error {
			fl.platform.SetOutage(false)
			fl.platform.DropWriteAnswers(1)
			return tryChange(ctx, fl, random)
		}},
	}
}

// handoverSteps hand the say on and back while both owners race.
func handoverSteps() []step {
	race := func(ctx context.Context, fl *fleet, _ *rand.Rand) error {
		fl.race(ctx)
		return nil
	}
	return []step{
		{at: 0.1, name: "owners race", do: race},
		{at: 0.3, name: "say is handed on during a race", do: func(ctx context.Context, fl *fleet, _ *rand.Rand) error {
			return fl.handOver(ctx, 0, 1)
		}},
		{at: 0.5, name: "owners race", do: race},
		{at: 0.7, name: "say is handed back during a race", do: func(ctx context.Context, fl *fleet, _ *rand.Rand) error {
			return fl.handOver(ctx, 1, 0)
		}},
	}
}

// race lets both owners change things at the same moment. The one without the
// say is refused.
func (fl *fleet) race(ctx context.Context) {
	var racing sync.WaitGroup
	for _, op := range fl.operators {
		racing.Go(func() {
			for range racingChanges {
				fl.try(ctx, op)
			}
		})
	}
	racing.Wait()
}

// handOver hands the say from one owner to the other while both race.
func (fl *fleet) handOver(ctx context.Context, from, to int) error {
	var racing sync.WaitGroup
	racing.Go(func() { fl.race(ctx) })
	_, err := fl.operators[from].run(ctx, "HAND SAY TO "+fl.operators[to].owner)
	racing.Wait()
	if err != nil {
		return errors.Wrap(err, "hand the say on")
	}
	return nil
}

// allSteps do several things at once.
func allSteps() []step {
	var steps []step
	for _, list := range [][]step{rollingSteps(), drainSteps(), crashSteps(), handoverSteps()} {
		steps = append(steps, list...)
	}
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return steps
}

// anySteadyHost returns the position of a host of the service that nothing was
// done to.
func (fl *fleet) anySteadyHost(service int, random *rand.Rand) int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var positions []int
	for i, ho := range fl.hosts {
		if ho.service.ID == fl.services[service].ID && ho.book.steady() {
			positions = append(positions, i)
		}
	}
	return positions[random.IntN(len(positions))]
}

// follow does the plan's steps at their times.
func (pl plan) follow(ctx context.Context, fl *fleet, start time.Time, length time.Duration, seed uint64, progress func(string)) error {
	random := rand.New(rand.NewPCG(seed, 99))
	for _, st := range pl.steps {
		jitter := (random.Float64() - 0.5) / 10
		at := start.Add(time.Duration((st.at + st.at*jitter) * float64(length)))
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Until(at)):
		}
		if time.Since(start) > length {
			return nil
		}
		progress(st.name)
		if err := st.do(ctx, fl, random); err != nil {
			return errors.Wrap(err, st.name)
		}
	}
	return nil
}
