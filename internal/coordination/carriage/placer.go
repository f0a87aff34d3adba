package carriage

import (
	"container/heap"
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/absence"
	"corneltiller.dev/corneltiller/internal/coordination/evacuation"
	"corneltiller.dev/corneltiller/internal/state/catalog"
)

const (
	// ConfirmTimeout is how long a balancer waits for an agent to confirm an
	// opening: several round trips between failure domains.
	ConfirmTimeout = 25 * time.Millisecond
	// maxTickDelay is how late a deadline may be handled before the process is
	// taken to have waited for CPU time; confirmations may then have arrived without
	// having been read.
	maxTickDelay = 3 * time.Millisecond
	// tickDelayGrace is by how much the deadline of an opening is extended in
	// that case, once for each attempt.
	tickDelayGrace = 15 * time.Millisecond
	// FlowIdleTimeout is how long a balancer remembers the agent of an idle flow,
	// and the longest time that an agent remembers one. A later packet of a flow
	// that its balancer has forgotten only costs a search.
	FlowIdleTimeout = 60 * time.Second
	// maxFlows bounds the flows that a balancer remembers.
	maxFlows = 1 << 17
	// maxAttempts bounds how often one opening is sent to agents before it is
	// parked or refused.
	maxAttempts = 6
	// maxOffers is the number of hosts that may decline an opening as busy. The
	// next one is asked to queue it instead.
	maxOffers = 2
	// reopenAge is the age of a flow above which the first copy of an opening
	// packet between the same addresses is taken for a new flow.
	reopenAge = time.Second
	// startupTime is how long after its start a balancer is taken not to know all
	// hosts yet.
	startupTime = 3 * time.Second
)

// Placer is the state machine of a balancer: it chooses hosts for new flows and
// finds the hosts of flows that it doesn't know. It is not safe for concurrent
// use.
type Placer struct {
	domain string
	// started is when the balancer started; lifetime is the longest time that a flow may
	// last.
	started  time.Time
	lifetime time.Duration
	// startup is the end of the time in which hosts may run that are not known
	// yet.
	startup time.Time
	routes  *catalog.Routes
	// confirmed is PlacerSettings.Confirmed.
	confirmed func() time.Time
	// evacuations are the failure domains whose agents get no openings; awaitsEvacuations
	// says that none were set and openings wait for them.
	evacuations       evacuation.Set
	awaitsEvacuations bool
	parking           parking
	// sharing is the number of other balancers that take new work.
	sharing int
	isolation
	agents map[netip.AddrPort]*agent
	// pools holds the agents of each service, sorted by address.
	pools map[string]pool
	// medians caches the median service time of each service.
	medians map[string]medianTime
	// bases decides between ranking by counts and by remaining work.
	bases bases
	flows recent[*trackedFlow]
	// due holds the flows that have a deadline, pings the suspected agents.
	due   schedule[*trackedFlow]
	pings schedule[*agent]
	// outboxes holds the agents with collected questions, turns the searches that wait
	// until budget lets them ask. inquiries is the number of the last message with
	// questions, agentNumber that of the last agent.
	outboxes    schedule[*outbox]
	turns       turns
	budget      absence.Budget
	inquiries   uint32
	agentNumber uint32
	// newestVersion is the highest version of routes that an agent has reported.
	newestVersion uint64
	// listed is when the balancer first read the members' entries, zero before; settled
	// says that its view is complete since then.
	listed  time.Time
	settled bool
	early   earlyResets
	actions []Action
}

// PlacerSettings are the settings of a Placer.
type PlacerSettings struct {
	// Domain is the failure domain of the balancer.
	Domain string
	// OpeningTimeout is how long after its first opening packet a caller gives up
	// if it gets no answer.
	OpeningTimeout time.Duration
	// FlowLifetime is the longest time that a flow may last.
	FlowLifetime time.Duration
	// ByRemainingWork says that hosts are ranked by their remaining work where this
	// predicts better than counts.
	ByRemainingWork bool
	// AwaitEvacuations makes openings wait until SetEvacuations was called.
	AwaitEvacuations bool
	// Confirmed returns the latest time at which the routes are known to have been the
	// newest. Nil stands for routes that always are.
	Confirmed func() time.Time
}

// NewPlacer returns the Placer of a balancer that starts now.
func NewPlacer(now time.Time, st PlacerSettings) *Placer {
	return &Placer{
		domain: st.Domain, started: now, lifetime: st.FlowLifetime, startup: now.Add(startupTime),
		// An agent may answer a former process's question late. Microseconds pass faster
		// than messages are sent, so its numbers aren't given again.
		inquiries: uint32(now.UnixMicro()),

		agents:  make(map[netip.AddrPort]*agent),
		pools:   make(map[string]pool),
		medians: make(map[string]medianTime), bases: newBases(st.ByRemainingWork),
		flows:   newRecent[*trackedFlow](),
		parking: newParking(st.OpeningTimeout), awaitsEvacuations: st.AwaitEvacuations,
		confirmed: st.Confirmed,
	}
}

// SetRoutes replaces the routes unless the given ones are of a lower version, and
// then places openings that wait.
func (pl *Placer) SetRoutes(now time.Time, ro *catalog.Routes) []Action {
	pl.actions = pl.actions[:0]
	if pl.routes == nil || ro.Version >= pl.routes.Version {
		pl.routes = ro
		pl.bases.forgetRoutes(ro)
		pl.unpark(now)
	}
	return pl.actions
}

// Ready reports whether the placer can serve callers: it has routes and, unless
// evacuation is off, the evacuated domains, knows at least one agent and is not isolated.
func (pl *Placer) Ready(now time.Time) bool {
	return pl.informed() && len(pl.agents) > 0 && !pl.isolated(now)
}

// Idle reports whether no opening waits or is unconfirmed, and no search is under way.
func (pl *Placer) Idle() bool {
	return len(pl.due.items) == 0 && pl.parking.length() == 0
}

// Deadline returns when Tick is due, zero if nothing is.
func (pl *Placer) Deadline() time.Time {
	list := append(make([]time.Time, 0, 6), pl.questionsDue(), pl.settlesAt(), pl.parking.retry, pl.earlyDue())
	if len(pl.due.items) > 0 {
		list = append(list, pl.due.items[0].due())
	}
	if len(pl.pings.items) > 0 {
		list = append(list, pl.pings.items[0].due())
	}
	first := time.Time{}
	for _, at := range list {
		if !at.IsZero() && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

// Tick handles the deadlines of flows, places openings that wait, pings silent
// agents and forgets idle flows. It is to be called at Deadline.
func (pl *Placer) Tick(now time.Time) []Action {
	pl.actions = pl.actions[:0]
	for len(pl.due.items) > 0 && !now.Before(pl.due.items[0].deadline) {
		tf := pl.due.items[0]
		heap.Remove(&pl.due, 0)
		switch tf.phase {
		case phaseOpening:
			if !tf.extended && now.Sub(tf.deadline) > maxTickDelay {
				tf.extended = true
				pl.setDeadline(tf, now.Add(tickDelayGrace))
				break
			}
			pl.handleConfirmTimeout(now, tf)
		case phaseSearching:
			if tf.search.turn >= 0 {
				pl.endSearch(now, tf)
				break
			}
			pl.nextRound(now, tf)
		}
	}
	pl.settleView(now)
	pl.serveTurns(now)
	pl.checkRemembered(now)
	pl.sendDueInquiries(now)
	pl.unpark(now)
	for len(pl.pings.items) > 0 && !now.Before(pl.pings.items[0].nextPing) {
		pl.ping(now, pl.pings.items[0])
	}
	expired, _ := pl.flows.expire(now.Add(-FlowIdleTimeout), maxFlows)
	for _, tf := range expired {
		pl.leaveTurns(tf)
		pl.clearDeadline(tf)
	}
	return pl.actions
}

// HandlePacket handles a caller's packet from the fabric.
func (pl *Placer) HandlePacket(now time.Time, pk Packet, data []byte) []Action {
	pl.actions = pl.actions[:0]
	if pk.Accepting || pk.Returned {
		pl.drop(pk.Flow, ReasonForged, pk.Opening)
		return pl.actions
	}
	tf, known := pl.flows.get(now, pk.Flow)
	if known {
		tf.endEarlyCheck()
	}
	if pk.Opening && !pk.Resets {
		pl.handleOpening(now, pk, data, tf)
		return pl.actions
	}
	if known && tf.phase != phaseSearching && !tf.isOf(pk) {
		if tf.opensNow(now) {
			pl.drop(pk.Flow, ReasonNotFound, false)
			return pl.actions
		}
		pl.forget(tf)
		known = false
	}
	if !known {
		pl.startSearch(now, pk, data)
		return pl.actions
	}
	tf.number = pk.Sequence
	tf.noteAcknowledged(pk)
	switch tf.phase {
	case phaseSearching:
		if !near(tf.search.acknowledged, pk.Acknowledged) {
			// The caller has used its port again.
			pl.clearDeadline(tf)
			pl.restartSearch(now, tf, pk, data)
			break
		}
		tf.search.buffer(data)
		tf.search.acknowledged = pk.Acknowledged
	case phaseLost:
		switch {
		case now.Before(tf.search.resumes):
			pl.drop(pk.Flow, ReasonNotFound, false)
		case len(pl.due.items) >= maxSearches:
			pl.drop(pk.Flow, ReasonFull, false)
		default:
			pl.restartSearch(now, tf, pk, data)
		}
	default:
		if tf.agent == nil || pl.agents[tf.agent.address] != tf.agent {
			// The agent was removed, and nobody answers at its address.
			pl.restartSearch(now, tf, pk, data)
			break
		}
		tf.established = true
		pl.forward(tf.agent, pk.Flow, data, Action{Mode: DeliverOrQueue})
	}
	return pl.actions
}

// HandleDecline handles a packet that an agent declined and sent back.
func (pl *Placer) HandleDecline(now time.Time, from netip.AddrPort, pk Packet, data []byte, why Reason, re Report) []Action {
	pl.actions = pl.actions[:0]
	if known, ok := pl.agents[from]; ok {
		// The report that comes with a declined packet lacks the expected load and
		// the remaining work; an agent that reports the latter has just sent it.
		re.Expected = known.report.Expected
		re.Work = known.report.Work
	}
	ag := pl.applyReport(now, from, re)
	tf, ok := pl.flows.get(now, pk.Flow)
	if !pk.Opening {
		switch {
		case why == ReasonHostLost && ok && tf.isOpening():
			// A late packet of an earlier flow between the same addresses.
			pl.drop(pk.Flow, why, false)
		case why == ReasonHostLost && ok && tf.agent == ag && ag != nil:
			pl.forget(tf)
			pl.actions = append(pl.actions, Action{
				Kind: KindReset, Flow: pk.Flow, Reason: why, Acknowledged: pk.Acknowledged,
			})
		case !ok:
			pl.startSearch(now, pk, data)
		case tf.phase == phaseSearching:
			pl.handleSearchDecline(now, tf, from)
		case (tf.phase == phaseLocated || tf.phase == phaseOpening) && tf.agent == ag:
			tf.excludeAgent(now, ag)
			pl.restartSearch(now, tf, pk, data)
		}
		return pl.actions
	}
	if !ok || tf.agent != ag || ag == nil || !tf.isOpening() {
		return pl.actions
	}
	pl.clearDeadline(tf)
	tf.phase = phaseOpening
	tf.opening = append(tf.opening[:0], data...)
	switch why {
	case ReasonBusy:
		tf.busy = append(tf.busy, from)
		pl.place(now, tf)
	case ReasonWarming:
		tf.noteWarming(ag)
		pl.place(now, tf)
	case ReasonFull:
		pl.refuseOpening(now, tf, why)
	case ReasonEvacuated:
		tf.evacuated = append(tf.evacuated, ag.domain)
		pl.place(now, tf)
	default:
		pl.place(now, tf)
	}
	return pl.actions
}

// HandleReport handles an agent's report that came without a confirmation or
// declined packet.
func (pl *Placer) HandleReport(now time.Time, from netip.AddrPort, re Report) []Action {
	pl.actions = pl.actions[:0]
	pl.applyReport(now, from, re)
	return pl.actions
}

func (pl *Placer) forward(ag *agent, flow Flow, data []byte, ac Action) {
	ac.Kind = KindForward
	ac.To = ag.address
	ac.Flow = flow
	ac.Data = data
	pl.actions = append(pl.actions, ac)
}

func (pl *Placer) drop(flow Flow, re Reason, opening bool) {
	pl.actions = append(pl.actions, Action{Kind: KindDrop, Flow: flow, Reason: re, Opening: opening})
}

// forget removes the flow and its deadline.
func (pl *Placer) forget(tf *trackedFlow) {
	pl.leaveTurns(tf)
	pl.clearDeadline(tf)
	pl.flows.remove(tf.flow)
}

// setDeadline sets when Tick handles the flow next.
func (pl *Placer) setDeadline(tf *trackedFlow, deadline time.Time) {
	pl.clearDeadline(tf)
	tf.deadline = deadline
	heap.Push(&pl.due, tf)
}

// clearDeadline removes the deadline of the flow, if it has one.
func (pl *Placer) clearDeadline(tf *trackedFlow) {
	if tf.index >= 0 {
		heap.Remove(&pl.due, tf.index)
	}
}
