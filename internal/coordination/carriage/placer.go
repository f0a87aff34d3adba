package carriage

import (
	"container/heap"
	"net/netip"
	"slices"
	"time"

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

// phase is the state of a flow at a balancer.
type phase uint8

const (
	// phaseOpening is a flow whose opening was sent to an agent and is not
	// confirmed.
	phaseOpening phase = iota + 1
	// phaseLocated is a flow whose agent is known.
	phaseLocated
	// phaseSearching is a flow whose agent is being searched for.
	phaseSearching
	// phaseLost is a flow that the last search didn't find.
	phaseLost
	// phaseParked is an opening that waits for a host to become available.
	phaseParked
)

// trackedFlow is what a balancer knows of one flow.
type trackedFlow struct {
	flow   Flow
	phase  phase
	agent  *agent
	opened time.Time
	// opening is the opening packet until it is confirmed.
	opening []byte
	// copyNumber is Packet.Copy of that packet, openingSequence its sequence number,
	// which all copies share.
	copyNumber      uint32
	openingSequence uint32
	service         string
	// tried are the agents that the opening was sent to, in order; busy are those
	// of them that declined it because their hosts were busy.
	tried []netip.AddrPort
	busy  []netip.AddrPort
	// unconfirmed says that a host may have accepted the opening, or may still do
	// so, without its confirmation being known here.
	unconfirmed bool
	// established says that a packet after the opening was forwarded.
	established bool
	// extended says that the deadline of this attempt was extended by
	// tickDelayGrace.
	extended bool
	search   search
	// deadline is when Tick handles the flow next; index is its position in the
	// heap, -1 while it has no deadline.
	deadline time.Time
	index    int
}

// Placer is the state machine of a balancer: it chooses hosts for new flows and
// finds the hosts of flows that it doesn't know. It is not safe for concurrent
// use.
type Placer struct {
	domain string
	// startup is the end of the time in which hosts may run that are not known
	// yet.
	startup time.Time
	routes  *catalog.Routes
	parking parking
	isolation
	agents map[netip.AddrPort]*agent
	// pools holds the agents of each service, sorted by address.
	pools map[string]pool
	// medians caches the median service time of each service.
	medians map[string]medianTime
	flows   recent[*trackedFlow]
	// due holds the flows that have a deadline, pings the suspected agents.
	due     schedule[*trackedFlow]
	pings   schedule[*agent]
	actions []Action
}

// PlacerSettings are the settings of a Placer.
type PlacerSettings struct {
	// Domain is the failure domain of the balancer.
	Domain string
	// OpeningTimeout is how long after its first opening packet a caller gives up
	// if it gets no answer.
	OpeningTimeout time.Duration
}

// NewPlacer returns the Placer of a balancer that starts now.
func NewPlacer(now time.Time, st PlacerSettings) *Placer {
	return &Placer{
		domain: st.Domain, startup: now.Add(startupTime),
		agents:  make(map[netip.AddrPort]*agent),
		pools:   make(map[string]pool),
		medians: make(map[string]medianTime),
		flows:   newRecent[*trackedFlow](),
		parking: newParking(st.OpeningTimeout),
	}
}

// SetRoutes replaces the routes if the given ones are of a higher version, and
// then places openings that wait.
func (pl *Placer) SetRoutes(now time.Time, ro *catalog.Routes) []Action {
	pl.actions = pl.actions[:0]
	if pl.routes == nil || ro.Version > pl.routes.Version {
		pl.routes = ro
		pl.unpark(now)
	}
	return pl.actions
}

// Ready reports whether the placer can serve callers: it has routes, knows at
// least one agent and is not isolated.
func (pl *Placer) Ready(now time.Time) bool {
	return pl.routes != nil && len(pl.agents) > 0 && !pl.isolated(now)
}

// Idle reports whether no opening waits or is unconfirmed, and no search is under way.
func (pl *Placer) Idle() bool {
	return len(pl.due.items) == 0 && pl.parking.length() == 0
}

// Deadline returns when Tick is due, zero if nothing is.
func (pl *Placer) Deadline() time.Time {
	first := time.Time{}
	if len(pl.due.items) > 0 {
		first = pl.due.items[0].due()
	}
	if len(pl.pings.items) > 0 {
		if at := pl.pings.items[0].due(); first.IsZero() || at.Before(first) {
			first = at
		}
	}
	if at := pl.parking.retry; !at.IsZero() && (first.IsZero() || at.Before(first)) {
		first = at
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
			pl.nextRound(now, tf)
		}
	}
	pl.unpark(now)
	for len(pl.pings.items) > 0 && !now.Before(pl.pings.items[0].nextPing) {
		pl.ping(now, pl.pings.items[0])
	}
	for _, tf := range pl.flows.expire(now.Add(-FlowIdleTimeout), maxFlows) {
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
	if pk.Opening && !pk.Resets {
		pl.handleOpening(now, pk, data, tf)
		return pl.actions
	}
	if !known {
		pl.startSearch(now, pk, data)
		return pl.actions
	}
	switch tf.phase {
	case phaseSearching:
		tf.search.buffer(data)
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
		if tf.agent == nil {
			pl.restartSearch(now, tf, pk, data)
			break
		}
		tf.established = true
		pl.forward(tf.agent, pk.Flow, data, Action{Mode: DeliverOrQueue})
	}
	return pl.actions
}

// handleOpening handles an opening packet or a copy of one.
func (pl *Placer) handleOpening(now time.Time, pk Packet, data []byte, tf *trackedFlow) {
	if tf != nil && tf.isReopenedBy(now, pk) {
		pl.forget(tf)
		tf = nil
	}
	if tf != nil && (tf.phase == phaseOpening || tf.phase == phaseParked) {
		// An earlier copy is being confirmed by an agent or waits for a host.
		return
	}
	if tf != nil && tf.phase == phaseLocated && tf.agent.takesNewFlows() {
		tf.phase = phaseOpening
		tf.opening = append(tf.opening[:0], data...)
		tf.tried = append(tf.tried[:0], tf.agent.address)
		pl.sendOpening(now, tf, tf.agent, DeliverOrQueue)
		return
	}
	service, re := pl.serviceOf(pk.Flow)
	if re != ReasonNone && pl.routes != nil {
		pl.refuse(pk.Flow, pk.Copy, re)
		return
	}
	if tf != nil {
		pl.forget(tf)
	}
	tf = &trackedFlow{
		flow: pk.Flow, phase: phaseOpening, opened: now, service: service,
		copyNumber: pk.Copy, openingSequence: pk.Sequence,
		opening: append([]byte(nil), data...), unconfirmed: pk.Copy > 0, index: -1,
	}
	pl.flows.put(now, pk.Flow, tf)
	switch {
	case pl.routes == nil:
		pl.park(now, tf)
	case pl.isolated(now):
		pl.refuseOpening(tf, ReasonIsolated)
	default:
		pl.place(now, tf)
	}
}

// serviceOf returns the service that a new flow goes to.
func (pl *Placer) serviceOf(flow Flow) (string, Reason) {
	if pl.routes == nil {
		return "", ReasonNoRoute
	}
	de, ok := pl.routes.Addresses[flow.Service]
	if !ok {
		return "", ReasonNoRoute
	}
	service := de.Services.Pick(flow.Hash())
	if service == "" {
		return "", ReasonNoRoute
	}
	return service, ReasonNone
}

// place sends the opening packet to the agent with the lowest cost that wasn't
// tried. The packet is sent as DeliverIfFree while the host is estimated to have a
// free slot and fewer than maxOffers hosts have declined the opening as busy, else
// as DeliverOrQueue. If no agent is left or the opening was sent maxAttempts times,
// it is parked or refused.
func (pl *Placer) place(now time.Time, tf *trackedFlow) {
	ag := pl.choose(now, tf)
	switch {
	case ag == nil || len(tf.tried) >= maxAttempts:
		pl.parkOrRefuse(now, tf)
	case len(tf.busy) < maxOffers && ag.takesNewFlows() && ag.estimate(now) < float64(ag.report.Slots):
		pl.attempt(now, tf, ag, DeliverIfFree)
	default:
		pl.attempt(now, tf, ag, DeliverOrQueue)
	}
}

// attempt sends the opening packet to the agent and notes the agent as tried.
func (pl *Placer) attempt(now time.Time, tf *trackedFlow, ag *agent, mode DeliveryMode) {
	tf.tried = append(tf.tried, ag.address)
	pl.sendOpening(now, tf, ag, mode)
}

// sendOpening sends the opening packet to the agent and sets the deadline of the
// confirmation.
func (pl *Placer) sendOpening(now time.Time, tf *trackedFlow, ag *agent, mode DeliveryMode) {
	tf.agent = ag
	tf.extended = false
	ag.sent++
	pl.postponeSlowRetry(now, ag)
	pl.forward(ag, tf.flow, tf.opening, Action{
		Mode: mode, ServiceHash: serviceHash(tf.service), Opening: true, Attempt: len(tf.tried),
		InProgress: ag.estimate(now), ServiceTime: ag.report.ServiceTime, Reported: ag.reported, Started: tf.started(),
	})
	pl.setDeadline(tf, now.Add(ConfirmTimeout))
}

// handleConfirmTimeout suspects the agent that has not confirmed an opening in
// time and places the opening again.
func (pl *Placer) handleConfirmTimeout(now time.Time, tf *trackedFlow) {
	tf.unconfirmed = true
	pl.suspectAgent(now, tf.agent)
	pl.place(now, tf)
}

// refuse answers an opening packet with a reset. A later copy (copyNumber > 0) is
// dropped instead, as an earlier one may have been accepted meanwhile, and so is
// any copy while the routes are unknown.
func (pl *Placer) refuse(flow Flow, copyNumber uint32, re Reason) {
	if copyNumber > 0 || pl.routes == nil {
		pl.drop(flow, re, true)
		return
	}
	pl.actions = append(pl.actions, Action{Kind: KindReset, Flow: flow, Reason: re, Opening: true})
}

// HandleConfirmation handles an agent's confirmation that its host has accepted
// the flow, or that the opening waits in the agent's queue.
func (pl *Placer) HandleConfirmation(now time.Time, from netip.AddrPort, flow Flow, re Report) []Action {
	pl.actions = pl.actions[:0]
	ag := pl.applyReport(now, from, re)
	tf, ok := pl.flows.get(now, flow)
	if !ok || ag == nil || tf.phase != phaseOpening {
		return pl.actions
	}
	pl.clearDeadline(tf)
	tf.phase = phaseLocated
	tf.agent = ag
	tf.opening = nil
	pl.actions = append(pl.actions, Action{Kind: KindServed, To: from, Flow: flow, Started: tf.opened})
	return pl.actions
}

// HandleDecline handles a packet that an agent declined and sent back.
func (pl *Placer) HandleDecline(now time.Time, from netip.AddrPort, pk Packet, data []byte, why Reason, re Report) []Action {
	pl.actions = pl.actions[:0]
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
			tf.search.exclude(from)
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
	case ReasonFull:
		pl.refuseOpening(tf, why)
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

// started returns when the caller sent the first copy of its opening packet,
// estimated from the copy's number.
func (tf *trackedFlow) started() time.Time { return tf.opened.Add(-copyAge(tf.copyNumber)) }

// isReopenedBy reports whether the opening packet is that of another flow between the
// same addresses, and no copy of the packet that opened this one.
func (tf *trackedFlow) isReopenedBy(now time.Time, pk Packet) bool {
	if tf.service != "" && pk.Sequence != tf.openingSequence {
		return true
	}
	return pk.Copy == 0 && now.Sub(tf.opened) > reopenAge
}

// isOpening reports whether an agent may still decline the flow's opening: it isn't
// confirmed, or it may be waiting at the agent.
func (tf *trackedFlow) isOpening() bool {
	return tf.phase == phaseOpening || tf.phase == phaseLocated && !tf.established
}

func (tf *trackedFlow) due() time.Time { return tf.deadline }

func (tf *trackedFlow) setIndex(index int) { tf.index = index }

// hasTried reports whether the opening was sent to the agent before and must not
// be sent there again. Once maxOffers hosts have declined it as busy, it may be
// sent to them again to be queued.
func (tf *trackedFlow) hasTried(ag *agent) bool {
	if len(tf.busy) >= maxOffers && slices.Contains(tf.busy, ag.address) {
		return false
	}
	return slices.Contains(tf.tried, ag.address)
}
