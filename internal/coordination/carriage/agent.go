package carriage

import (
	"container/heap"
	"math"
	"net/netip"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

const (
	// firstPing and lastPing bound the time between two pings of a silent agent.
	firstPing = 50 * time.Millisecond
	lastPing  = time.Second
	// loadHalfLife is the time in which a reported load loses half its meaning:
	// a few times the work of one request.
	loadHalfLife = 60 * time.Millisecond
	// remoteCost is what a host of another failure domain costs beside one of
	// the balancer's own, in shares of a host: enough to fill a free slot of the
	// own domain first.
	remoteCost = 0.6
	// warmingCost is how much longer a host works that has just started.
	warmingCost = 1.6
)

// Agent is a member of the fleet as a balancer is told of it.
type Agent struct {
	// Revision is that of the agent's record.
	register.Revision
	Address netip.AddrPort
	Service string
	Domain  string
	State   register.State
	Slots   uint16
	// ServiceTime is how long the host takes for a request, zero if unknown.
	ServiceTime time.Duration
}

// agent is what a balancer knows of an agent and its host.
type agent struct {
	address netip.AddrPort
	// seed is the number from which the ranks for all flows follow.
	seed uint64
	// revision is that of the record from which the state was taken last.
	revision register.Revision
	service  string
	domain   string
	report   Report
	// reported is when the report came, zero before the first.
	reported time.Time
	// sent is the number of openings sent since the last report.
	sent int
	// retrySlow is when the host is given a flow again though it is slow.
	retrySlow time.Time
	suspect   bool
	pings     int
	nextPing  time.Time
	at        int
}

func (ag *agent) due() time.Time { return ag.nextPing }

func (ag *agent) place(at int) { ag.at = at }

// takes reports whether the agent is to get new flows.
func (ag *agent) takes() bool {
	return !ag.suspect && ag.report.State.TakesNewWork()
}

// estimate returns the number of requests that the host works on, as far as the
// last report tells.
func (ag *agent) estimate(now time.Time) float64 {
	age := now.Sub(ag.reported)
	decay := math.Exp2(-float64(age) / float64(loadHalfLife))
	return float64(ag.report.InProgress)*decay + float64(ag.sent)
}

// cost is lower for the better host of a new flow. Usual is what the hosts of
// the service take for a request.
func (pl *Placer) cost(now time.Time, ag *agent, usual time.Duration) float64 {
	cost := (ag.estimate(now) + 1) / float64(max(ag.report.Slots, 1)) * ag.slowness(now, usual)
	if ag.report.State == register.StateWarming {
		cost *= warmingCost
	}
	if ag.domain != pl.domain {
		cost += remoteCost
	}
	return cost
}

// SetAgents takes the members of the fleet. What is known of an agent that
// stays is kept.
func (pl *Placer) SetAgents(now time.Time, list []Agent) []Action {
	pl.out = pl.out[:0]
	present := make(map[netip.AddrPort]struct{}, len(list))
	for _, me := range list {
		present[me.Address] = struct{}{}
		ag, ok := pl.agents[me.Address]
		if !ok {
			ag = &agent{address: me.Address, seed: seedOf(me.Address), at: -1}
			pl.agents[me.Address] = ag
		}
		if ok && !me.Supersedes(ag.revision) {
			// A report that came meanwhile is newer.
			continue
		}
		ag.revision = me.Revision
		ag.service, ag.domain = me.Service, me.Domain
		ag.report.State = me.State
		if me.Slots > 0 {
			ag.report.Slots = me.Slots
		}
		ag.report.ServiceTime = me.ServiceTime
	}
	for address, ag := range pl.agents {
		if _, ok := present[address]; !ok {
			pl.unschedule(ag)
			delete(pl.agents, address)
		}
	}
	pl.pool()
	pl.unpark(now)
	return pl.out
}

// pool sorts the agents by service and address.
func (pl *Placer) pool() {
	clear(pl.pools)
	for _, ag := range pl.agents {
		pl.pools[ag.service] = append(pl.pools[ag.service], ag)
	}
	for _, pool := range pl.pools {
		slices.SortFunc(pool, func(a, b *agent) int { return a.address.Compare(b.address) })
	}
}

// choose returns the best host for a new flow of those that were not tried, nil
// if none is left. Hosts that may not take new flows come last.
func (pl *Placer) choose(now time.Time, pa *passage) *agent {
	pool := pl.pools[pa.service]
	if len(pool) == 0 {
		return nil
	}
	var best *agent
	least := math.Inf(1)
	first := pl.candidatesOf(pa.flow, pa.service)
	usual := pl.typicalOf(now, pa.service)
	start := int(pa.flow.Hash() % uint64(len(pool)))
	for i := range pool {
		ag := pool[(start+i)%len(pool)]
		if pa.hasTried(ag) || !ag.mayTake() {
			continue
		}
		cost := pl.cost(now, ag, usual) + ag.reluctance()
		if !first.contains(ag) {
			cost += strangerCost
		}
		if cost < least {
			best, least = ag, cost
		}
	}
	return best
}

// mayTake reports whether an opening may be sent to the agent: also to one whose
// host is leaving, which takes a flow for a while if no other host does.
func (ag *agent) mayTake() bool {
	return ag.takes() || !ag.suspect && ag.report.State == register.StateDraining
}

// lastResort is the cost of a host that is leaving: it comes after all others.
const lastResort = 1000

// reluctance is the cost of a host that should not take new flows.
func (ag *agent) reluctance() float64 {
	if ag.takes() {
		return 0
	}
	return lastResort
}

// heard takes a sign of life of an agent.
func (pl *Placer) heard(now time.Time, from netip.AddrPort, re Report) *agent {
	ag, ok := pl.agents[from]
	if !ok {
		return nil
	}
	ag.report = re
	ag.reported = now
	ag.sent = 0
	pl.trust(now, ag)
	return ag
}

// trust takes an agent that has given a sign of life back into the choice.
func (pl *Placer) trust(now time.Time, ag *agent) {
	if ag.suspect {
		ag.suspect = false
		pl.doubted = time.Time{}
		pl.unschedule(ag)
		pl.out = append(pl.out, Action{Kind: KindRecovered, To: ag.address, Attempt: ag.pings})
	}
	pl.unpark(now)
}

// suspect takes an agent that did not confirm out of the choice and pings it.
func (pl *Placer) suspect(now time.Time, ag *agent) {
	if ag == nil || ag.suspect || pl.agents[ag.address] != ag {
		return
	}
	ag.suspect = true
	ag.pings = 0
	ag.sent = 0
	ag.nextPing = now
	heap.Push(&pl.pings, ag)
	pl.out = append(pl.out, Action{Kind: KindSuspect, To: ag.address, Reported: ag.reported})
	pl.ping(now, ag)
}

// ping asks a silent agent for a sign of life, less and less often.
func (pl *Placer) ping(now time.Time, ag *agent) {
	pl.out = append(pl.out, Action{Kind: KindPing, To: ag.address})
	if pl.silent(ag.service) {
		pl.doubt(now)
	}
	pause := min(firstPing<<min(ag.pings, 8), lastPing)
	ag.pings++
	ag.nextPing = now.Add(pause)
	heap.Fix(&pl.pings, ag.at)
}

func (pl *Placer) unschedule(ag *agent) {
	if ag.at >= 0 {
		heap.Remove(&pl.pings, ag.at)
	}
}
