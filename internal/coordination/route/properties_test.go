package route

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// maxUnsettled is the largest number of hosts that may be unsettled at a time so
// that a chain has room for all possible holders: these hosts and the best settled
// one.
const maxUnsettled = MaxChain - 1

// plan is a simulation to which random changes of hosts are made.
type plan struct {
	*simulation
	*rapid.T
	// hostCount is the number of hosts that have ever joined.
	hostCount int
	// settlesAt holds the time at which each changed host has settled in all views.
	settlesAt map[*testAgent]time.Time
}

// mayChange reports whether a change of a host, nil for a new one, leaves at most
// maxUnsettled hosts unsettled.
func (pl *plan) mayChange(ag *testAgent) bool {
	changing := 0
	for other, deadline := range pl.settlesAt {
		if other != ag && deadline.After(pl.now) {
			changing++
		}
	}
	return changing < maxUnsettled
}

func (pl *plan) markUnsettled(ag *testAgent) {
	pl.settlesAt[ag] = pl.now.Add(HolderWindow + pl.skew)
}

// pick returns a random host of the service for which accept returns true and that
// may change, nil if there is none or if fewer than two hosts take new work.
func (pl *plan) pick(accept func(*testAgent) bool) *testAgent {
	var found []*testAgent
	eligible := 0
	for i := range pl.hostCount {
		ag := pl.agents[hostAddress(i)]
		if ag == nil || ag.dead || ag.record.Service != testService {
			continue
		}
		if ag.record.State.TakesNewWork() {
			eligible++
		}
		if accept(ag) && pl.mayChange(ag) {
			found = append(found, ag)
		}
	}
	if len(found) == 0 || eligible < 2 {
		return nil
	}
	return found[rapid.IntRange(0, len(found)-1).Draw(pl.T, "host")]
}

// step makes a random change and lets up to 20 seconds pass.
func (pl *plan) step() {
	takes := func(ag *testAgent) bool { return ag.record.State.TakesNewWork() }
	switch rapid.SampledFrom([]string{"join", "drain", "crash", "reweight", "leave", "reassign", "wait"}).Draw(pl.T, "change") {
	case "join":
		if pl.mayChange(nil) {
			pl.markUnsettled(pl.join(pl.hostCount, register.StateWarming, uint16(rapid.IntRange(5, 100).Draw(pl.T, "weight"))))
			pl.hostCount++
		}
	case "drain":
		if ag := pl.pick(takes); ag != nil {
			pl.setState(ag, register.StateDraining, ag.record.Weight)
			pl.settlesAt[ag] = pl.now.Add(time.Hour)
		}
	case "crash":
		if ag := pl.pick(takes); ag != nil {
			pl.crash(ag)
			pl.markUnsettled(ag)
		}
	case "reweight":
		if ag := pl.pick(takes); ag != nil {
			pl.setState(ag, register.StateReady, uint16(rapid.IntRange(5, 200).Draw(pl.T, "weight")))
			pl.markUnsettled(ag)
		}
	case "leave":
		idle := func(ag *testAgent) bool {
			return ag.record.State == register.StateDraining && ag.table.Flows() == 0 && ag.table.ForwardedFlows() == 0
		}
		if ag := pl.pick(idle); ag != nil {
			pl.setState(ag, register.StateGone, ag.record.Weight)
			ag.dead = true
			pl.markUnsettled(ag)
		}
	case "reassign":
		pl.reassign()
	}
	pl.runUntil(pl.now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(pl.T, "wait")) * time.Millisecond))
}

// reassign gives the address of a host that has left to a host of another service
// at once. The low 16 bits of the two incarnations are equal, so that instances can
// tell the hosts apart only by their service.
func (pl *plan) reassign() {
	for i := range pl.hostCount {
		ag := pl.agents[hostAddress(i)]
		if ag.dead && pl.mayChange(ag) {
			ho := ag.record
			ho.Incarnation, ho.Service, ho.State = ho.Incarnation+1<<16, testService+1, register.StateReady
			pl.addAgent(ho)
			pl.announce(ho)
			return
		}
	}
}

// ownerOnlyView is a view whose chains name only the owner.
type ownerOnlyView struct{ tableView }

func newOwnerOnlyView(hosts []register.Host) testView {
	return &ownerOnlyView{*newTableView(hosts).(*tableView)}
}

func newPlan(t *rapid.T, newView func([]register.Host) testView) *plan {
	hosts := rapid.IntRange(2, 8).Draw(t, "hosts")
	balancers := rapid.IntRange(1, 5).Draw(t, "balancers")
	pl := &plan{T: t, hostCount: hosts, settlesAt: make(map[*testAgent]time.Time)}
	pl.simulation = newSimulation(rapid.Uint64().Draw(t, "seed"), hosts, balancers, newView)
	pl.lossShare = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
	pl.startFlows(60, 100*time.Second, 5*time.Second, testStart.Add(time.Hour))
	return pl
}

// run makes up to ten changes and lets another minute pass, in which all hosts that
// don't drain settle in all views.
func (pl *plan) run() {
	for range rapid.IntRange(1, 10).Draw(pl.T, "changes") {
		pl.step()
	}
	pl.runUntil(pl.now.Add(time.Minute))
}

func TestFlowsKeepTheirHost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pl := newPlan(t, newTableView)
		pl.run()
		if pl.delivered == 0 || pl.broken != 0 || pl.misrouted != 0 || pl.openedWhileDraining != 0 {
			t.Fatalf("delivered %d, broken %d, misrouted %d, opened while draining %d",
				pl.delivered, pl.broken, pl.misrouted, pl.openedWhileDraining)
		}
		if pl.lossShare < 0.1 && pl.stuck() != 0 {
			t.Fatalf("%d flows are stuck, %d packets at the hop limit", pl.stuck(), pl.hopLimit)
		}
	})
}

// TestChainsWithoutHoldersBreakFlows guards against a simulation that can't find
// faults: without the other holders in the chain it must find broken flows.
func TestChainsWithoutHoldersBreakFlows(t *testing.T) {
	broken, plans := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		pl := newPlan(t, newOwnerOnlyView)
		pl.run()
		plans++
		if pl.broken > 0 {
			broken++
		}
	})
	if broken*4 < plans {
		t.Fatalf("broken flows were found in only %d of %d runs whose chains name the owner alone", broken, plans)
	}
}
