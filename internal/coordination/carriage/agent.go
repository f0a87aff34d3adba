package carriage

import (
	"container/heap"
	"math"
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/warmup"
	"corneltiller.dev/corneltiller/internal/state/register"
)

const (
	// minPingInterval and maxPingInterval bound the time between two pings of a
	// silent agent.
	minPingInterval = 50 * time.Millisecond
	maxPingInterval = time.Second
	// loadHalfLife is the time in which the weight of a reported load halves: a
	// few times as long as a host takes for one request.
	loadHalfLife = 60 * time.Millisecond
	// remoteCost is added to the cost of a host of another failure domain; 1 is
	// the cost of a host with all slots taken. It is high enough that a free slot
	// of the balancer's own domain is filled first.
	remoteCost = 0.6
	// warmingFactor multiplies the cost of a host that warms up: by this factor it
	// takes longer for a request.
	warmingFactor = 1.6
)

// Agent is an agent and the state of its host, as its membership record has it.
type Agent struct {
	// Revision is the revision of the agent's record.
	register.Revision
	Address netip.AddrPort
	Service string
	Domain  string
	State   register.State
	Slots   uint16
	// ServiceTime is how long the host takes for a request on average, zero if
	// unknown.
	ServiceTime time.Duration
}

// agent is what a balancer knows of an agent and its host.
type agent struct {
	address netip.AddrPort
	// number identifies the agent in a proof of absence. It is never given again.
	number uint32
	// seed is combined with a flow's hash to rank the agent for the flow.
	seed uint64
	// revision is the revision of the record from which service, domain and state
	// were taken last.
	revision register.Revision
	service  string
	domain   string
	report   Report
	// reported is when the report was received, zero before the first.
	reported time.Time
	// sent is the number of openings sent since the last report.
	sent int
	// sentLoad is the expected cost of these openings in requests of the mean cost.
	sentLoad float64
	// retrySlow is the time from which a slow host is ranked like one that isn't
	// slow, until the next opening is sent to it.
	retrySlow time.Time
	// suspect says that the agent did not confirm an opening in time and hasn't
	// been heard since.
	suspect bool
	// evacuated says that the agent's failure domain is evacuated.
	evacuated bool
	// presumedCold is until when the host counts as cold after an evacuation, zero once the
	// agent has reported. sentCold counts the openings sent to the host.
	presumedCold time.Time
	sentCold     warmup.Limiter
	// pings is the number of pings sent since the agent was suspected; index is its
	// position in the schedule of pings, -1 if it isn't in it.
	pings    int
	nextPing time.Time
	index    int
	outbox   outbox
}

func (ag *agent) due() time.Time { return ag.nextPing }

func (ag *agent) setIndex(index int) { ag.index = index }

// takesNewFlows reports whether the agent is to get new flows.
func (ag *agent) takesNewFlows() bool {
	return !ag.suspect && !ag.evacuated && ag.report.State.TakesNewWork()
}

// estimate returns the estimated number of requests that the host works on: the
// reported number, which gives way with age to the one expected of open flows, and
// the openings sent since.
func (ag *agent) estimate(now time.Time) float64 {
	age := now.Sub(ag.reported)
	decay := math.Exp2(-float64(age) / float64(loadHalfLife))
	expected := ag.report.Expected
	return expected + (float64(ag.report.InProgress)-expected)*decay + float64(ag.sent)
}

// cost returns the cost of placing a new flow at the agent's host; the lowest is
// chosen. It is the share of the host's slots that are taken with this flow,
// adjusted for slow, warming and remote hosts. In the ranking by remaining work the
// requests count with their expected costs.
func (pl *Placer) cost(now time.Time, ag *agent, ba basis) float64 {
	var cost float64
	if ba.byWork() {
		cost = ag.costByWork(now, ba)
	} else {
		cost = (ag.estimate(now) + 1) / float64(max(ag.report.Slots, 1)) * ag.slowness(now, ba.median)
		if ag.report.State == register.StateWarming {
			cost *= warmingFactor
		}
	}
	if ag.domain != pl.domain {
		cost += remoteCost
	}
	return cost
}

// drainingCost is added to the cost of a draining host. It is far above the cost
// of any other host, so that those are chosen first.
const drainingCost = 1000

// extraCost returns the cost that is added for a host that should not take new
// flows.
func (ag *agent) extraCost() float64 {
	if ag.takesNewFlows() {
		return 0
	}
	return drainingCost
}

// applyReport stores an agent's report, which also shows that the agent is alive.
// It returns nil if the agent is unknown.
func (pl *Placer) applyReport(now time.Time, from netip.AddrPort, re Report) *agent {
	ag, ok := pl.agents[from]
	if !ok {
		return nil
	}
	former := ag.report.State
	ag.report = re
	pl.newestVersion = max(pl.newestVersion, re.Version)
	pl.noteState(now, ag, former)
	ag.reported = now
	ag.presumedCold = time.Time{}
	ag.sent, ag.sentLoad = 0, 0
	pl.markAlive(now, ag)
	pl.reviewBasis(now, ag.service)
	return ag
}

// markAlive ends the suspicion of an agent that has been heard, and places
// openings that wait.
func (pl *Placer) markAlive(now time.Time, ag *agent) {
	ag.outbox.noteHeard(now)
	if ag.suspect {
		ag.suspect = false
		pl.silentSince = time.Time{}
		pl.stopPings(ag)
		pl.actions = append(pl.actions, Action{Kind: KindRecovered, To: ag.address, Attempt: ag.pings})
	}
	pl.unpark(now)
}

// suspectAgent excludes an agent that did not confirm in time from new flows and
// starts to ping it.
func (pl *Placer) suspectAgent(now time.Time, ag *agent) {
	if ag == nil || ag.suspect || pl.agents[ag.address] != ag {
		return
	}
	ag.suspect = true
	ag.pings = 0
	ag.sent, ag.sentLoad = 0, 0
	ag.nextPing = now
	heap.Push(&pl.pings, ag)
	pl.actions = append(pl.actions, Action{Kind: KindSuspect, To: ag.address, Reported: ag.reported})
	pl.ping(now, ag)
}

// ping sends a ping to a silent agent and schedules the next one. The interval
// doubles from minPingInterval to maxPingInterval. If all agents of the service are
// silent, the other balancers are pinged as well.
func (pl *Placer) ping(now time.Time, ag *agent) {
	pl.actions = append(pl.actions, Action{Kind: KindPing, To: ag.address})
	if pl.allSilent(ag.service) {
		pl.pingBalancers(now)
	}
	pause := min(minPingInterval<<min(ag.pings, 8), maxPingInterval)
	ag.pings++
	ag.nextPing = now.Add(pause)
	heap.Fix(&pl.pings, ag.index)
}

func (pl *Placer) stopPings(ag *agent) {
	if ag.index >= 0 {
		heap.Remove(&pl.pings, ag.index)
	}
}
