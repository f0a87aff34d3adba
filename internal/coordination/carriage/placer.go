package carriage

import (
	"container/heap"
	"net/netip"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/state/catalog"
)

const (
	// ConfirmTimeout is how long a balancer waits for the confirmation of an
	// opening: several round trips between failure domains.
	ConfirmTimeout = 25 * time.Millisecond
	// starved is how late a look at the deadlines may come before it tells that
	// the process had to wait for the processor, and confirmations with it.
	starved = 3 * time.Millisecond
	// starvedGrace is what an opening is given more then, once.
	starvedGrace = 15 * time.Millisecond
	// FlowIdle is how long a balancer remembers where an idle flow is. Forgetting
	// costs a search only.
	FlowIdle = 60 * time.Second
	// maxFlows bounds the flows that a balancer remembers.
	maxFlows = 1 << 17
	// maxAttempts bounds the hosts that one opening packet is sent to.
	maxAttempts = 6
	// maxOffers is the number of hosts that may decline an opening as busy
	// before the next one is asked to take it.
	maxOffers = 2
	// freshCopy is the age from which an opening packet of a known flow is taken
	// for a new flow of the same caller's address.
	freshCopy = time.Second
	// startupTime is how long after its start a balancer may not know all hosts.
	startupTime = 3 * time.Second
)

// phase is how far a balancer has come with a flow.
type phase uint8

const (
	// phaseOpening waits for the confirmation of an opening.
	phaseOpening phase = iota + 1
	// phaseLocated is a flow whose agent is known.
	phaseLocated
	// phaseSearching is a flow whose agent is being asked for.
	phaseSearching
	// phaseLost is a flow that no agent has claimed.
	phaseLost
	// phaseParked is an opening that waits for a host to appear.
	phaseParked
)

// passage is what a balancer knows of one flow.
type passage struct {
	flow   Flow
	phase  phase
	agent  *agent
	opened time.Time
	// opening is the opening packet until it is confirmed.
	opening []byte
	copy    uint32
	service string
	// tried are the agents that the opening went to, busy those of them that
	// declined it as their hosts were busy.
	tried []netip.AddrPort
	busy  []netip.AddrPort
	// unconfirmed says that a host which did not answer may open the flow yet.
	unconfirmed bool
	// spared says that the deadline was put off as the process was starved.
	spared bool
	search search
	// deadline is when the passage needs attention; at is its heap position.
	deadline time.Time
	at       int
}

// Placer decides for a balancer. It is not safe for concurrent use.
type Placer struct {
	domain string
	// startup is until when hosts may be there that are not known yet.
	startup time.Time
	routes  *catalog.Routes
	parking parking
	isolation
	agents map[netip.AddrPort]*agent
	pools  map[string][]*agent
	// typical holds the typical service time of each service.
	typical map[string]typical
	flows   recent[*passage]
	due     schedule[*passage]
	pings   schedule[*agent]
	out     []Action
}

// PlacerSettings are the settings of a Placer.
type PlacerSettings struct {
	// Domain is the failure domain of the balancer.
	Domain string
	// OpeningTimeout is when a caller gives up an opening without an answer.
	OpeningTimeout time.Duration
}

// NewPlacer returns the placer of a balancer that starts now.
func NewPlacer(now time.Time, st PlacerSettings) *Placer {
	return &Placer{
		domain: st.Domain, startup: now.Add(startupTime),
		agents:  make(map[netip.AddrPort]*agent),
		pools:   make(map[string][]*agent),
		typical: make(map[string]typical),
		flows:   newRecent[*passage](),
		parking: newParking(st.OpeningTimeout),
	}
}

// SetRoutes takes a newer configuration. An older one is ignored.
func (pl *Placer) SetRoutes(now time.Time, ro *catalog.Routes) []Action {
	pl.out = pl.out[:0]
	if pl.routes == nil || ro.Version > pl.routes.Version {
		pl.routes = ro
		pl.unpark(now)
	}
	return pl.out
}

// Ready reports whether the placer can serve callers: it has routes, knows
// agents and is not cut off.
func (pl *Placer) Ready(now time.Time) bool {
	return pl.routes != nil && len(pl.agents) > 0 && !pl.isolated(now)
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

// Tick does what has become due.
func (pl *Placer) Tick(now time.Time) []Action {
	pl.out = pl.out[:0]
	for len(pl.due.items) > 0 && !now.Before(pl.due.items[0].deadline) {
		pa := pl.due.items[0]
		heap.Remove(&pl.due, 0)
		switch pa.phase {
		case phaseOpening:
			if !pa.spared && now.Sub(pa.deadline) > starved {
				pa.spared = true
				pl.wait(pa, now.Add(starvedGrace))
				break
			}
			pl.unconfirmed(now, pa)
		case phaseSearching:
			pl.searchFurther(now, pa)
		case phaseLost:
			pl.flows.remove(pa.flow)
		}
	}
	pl.unpark(now)
	for len(pl.pings.items) > 0 && !now.Before(pl.pings.items[0].nextPing) {
		pl.ping(now, pl.pings.items[0])
	}
	for _, pa := range pl.flows.expire(now.Add(-FlowIdle), maxFlows) {
		pl.cancel(pa)
	}
	return pl.out
}

// HandlePacket takes a packet from the fabric.
func (pl *Placer) HandlePacket(now time.Time, pk Packet, data []byte) []Action {
	pl.out = pl.out[:0]
	if pk.Accepting || pk.Returned {
		pl.drop(pk.Flow, ReasonForged, pk.Opening)
		return pl.out
	}
	pa, known := pl.flows.get(now, pk.Flow)
	if pk.Opening && !pk.Resets {
		pl.arriveOpening(now, pk, data, pa)
		return pl.out
	}
	if !known {
		pl.startSearch(now, pk, data)
		return pl.out
	}
	switch pa.phase {
	case phaseSearching:
		pa.search.keep(data)
	case phaseLost:
		pl.drop(pk.Flow, ReasonNotFound, false)
	default:
		if pa.agent == nil {
			pl.restartSearch(now, pa, pk, data)
			break
		}
		pl.carry(pa.agent, pk.Flow, data, Action{Mode: UrgencyTake})
	}
	return pl.out
}

// arriveOpening handles an opening packet or a copy of one.
func (pl *Placer) arriveOpening(now time.Time, pk Packet, data []byte, pa *passage) {
	if pa != nil && pk.Copy == 0 && now.Sub(pa.opened) > freshCopy {
		pl.forget(pa)
		pa = nil
	}
	if pa != nil && (pa.phase == phaseOpening || pa.phase == phaseParked) {
		// An earlier copy is on its way to a host or waits for one.
		return
	}
	if pa != nil && pa.phase == phaseLocated && pa.agent.takes() {
		pa.phase = phaseOpening
		pa.opening = append(pa.opening[:0], data...)
		pa.tried = append(pa.tried[:0], pa.agent.address)
		pl.openAt(now, pa, pa.agent, UrgencyTake)
		return
	}
	service, re := pl.serviceOf(pk.Flow)
	if re != ReasonNone && pl.routes != nil {
		pl.refuse(pk.Flow, pk.Copy, re)
		return
	}
	if pa != nil {
		pl.forget(pa)
	}
	pa = &passage{
		flow: pk.Flow, phase: phaseOpening, opened: now, service: service, copy: pk.Copy,
		opening: append([]byte(nil), data...), unconfirmed: pk.Copy > 0, at: -1,
	}
	pl.flows.put(now, pk.Flow, pa)
	switch {
	case pl.routes == nil:
		pl.park(now, pa)
	case pl.isolated(now):
		pl.refuseOpening(pa, ReasonIsolated)
	default:
		pl.place(now, pa)
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

// place sends the opening packet to the best host that wasn't tried: as an offer
// while that one seems to have a free slot, else to wait at its agent.
func (pl *Placer) place(now time.Time, pa *passage) {
	ag := pl.choose(now, pa)
	switch {
	case ag == nil || len(pa.tried) >= maxAttempts:
		pl.giveUp(now, pa)
	case len(pa.busy) < maxOffers && ag.takes() && ag.estimate(now) < float64(ag.report.Slots):
		pl.try(now, pa, ag, UrgencyOffer)
	default:
		pl.try(now, pa, ag, UrgencyTake)
	}
}

// try sends the opening packet to the agent, which was chosen for it.
func (pl *Placer) try(now time.Time, pa *passage, ag *agent, ur DeliveryMode) {
	pa.tried = append(pa.tried, ag.address)
	pl.openAt(now, pa, ag, ur)
}

// openAt sends the opening packet and waits for the confirmation.
func (pl *Placer) openAt(now time.Time, pa *passage, ag *agent, ur DeliveryMode) {
	pa.agent = ag
	pa.spared = false
	ag.sent++
	pl.noteSlow(now, ag)
	pl.carry(ag, pa.flow, pa.opening, Action{
		Mode: ur, ServiceHash: serviceTag(pa.service), Opening: true, Attempt: len(pa.tried),
		InProgress: ag.estimate(now), ServiceTime: ag.report.ServiceTime, Reported: ag.reported, Started: pa.started(),
	})
	pl.wait(pa, now.Add(ConfirmTimeout))
}

// unconfirmed handles an opening that no agent has confirmed in time.
func (pl *Placer) unconfirmed(now time.Time, pa *passage) {
	pa.unconfirmed = true
	pl.suspect(now, pa.agent)
	pl.place(now, pa)
}

// refuse resets an opening packet. A later copy stays without an answer: an
// earlier one may have been accepted meanwhile.
func (pl *Placer) refuse(flow Flow, copies uint32, re Reason) {
	if copies > 0 || pl.routes == nil {
		pl.drop(flow, re, true)
		return
	}
	pl.out = append(pl.out, Action{Kind: KindReset, Flow: flow, Reason: re, Opening: true})
}

// HandleConfirmation takes an agent's word that its host accepted the flow.
func (pl *Placer) HandleConfirmation(now time.Time, from netip.AddrPort, flow Flow, re Report) []Action {
	pl.out = pl.out[:0]
	ag := pl.heard(now, from, re)
	pa, ok := pl.flows.get(now, flow)
	if !ok || ag == nil || pa.phase != phaseOpening {
		return pl.out
	}
	pl.cancel(pa)
	pa.phase = phaseLocated
	pa.agent = ag
	pa.opening = nil
	pl.out = append(pl.out, Action{Kind: KindServed, To: from, Flow: flow, Started: pa.opened})
	return pl.out
}

// HandleDecline takes a packet that an agent handed back.
func (pl *Placer) HandleDecline(now time.Time, from netip.AddrPort, pk Packet, data []byte, why Reason, re Report) []Action {
	pl.out = pl.out[:0]
	ag := pl.heard(now, from, re)
	pa, ok := pl.flows.get(now, pk.Flow)
	if !pk.Opening {
		switch {
		case why == ReasonHostLost && ok && pa.agent == ag && ag != nil:
			pl.forget(pa)
			pl.out = append(pl.out, Action{
				Kind: KindReset, Flow: pk.Flow, Reason: why, Acknowledged: pk.Acknowledged,
			})
		case !ok:
			pl.startSearch(now, pk, data)
		case pa.phase == phaseSearching:
			pa.search.exclude(from)
		case (pa.phase == phaseLocated || pa.phase == phaseOpening) && pa.agent == ag:
			pl.restartSearch(now, pa, pk, data)
		}
		return pl.out
	}
	if !ok || pa.phase != phaseOpening || pa.agent != ag || ag == nil {
		return pl.out
	}
	pl.cancel(pa)
	switch why {
	case ReasonBusy:
		pa.busy = append(pa.busy, from)
		pl.place(now, pa)
	case ReasonFull:
		pl.refuseOpening(pa, why)
	default:
		pl.place(now, pa)
	}
	return pl.out
}

// HandleReport takes an agent's report that came by itself.
func (pl *Placer) HandleReport(now time.Time, from netip.AddrPort, re Report) []Action {
	pl.out = pl.out[:0]
	pl.heard(now, from, re)
	return pl.out
}

func (pl *Placer) carry(ag *agent, flow Flow, data []byte, ac Action) {
	ac.Kind = KindForward
	ac.To = ag.address
	ac.Flow = flow
	ac.Data = data
	pl.out = append(pl.out, ac)
}

func (pl *Placer) drop(flow Flow, re Reason, opening bool) {
	pl.out = append(pl.out, Action{Kind: KindDrop, Flow: flow, Reason: re, Opening: opening})
}

// forget removes everything known of the flow.
func (pl *Placer) forget(pa *passage) {
	pl.cancel(pa)
	pl.flows.remove(pa.flow)
}

// wait sets when the passage needs attention next.
func (pl *Placer) wait(pa *passage, deadline time.Time) {
	pl.cancel(pa)
	pa.deadline = deadline
	heap.Push(&pl.due, pa)
}

func (pl *Placer) cancel(pa *passage) {
	if pa.at >= 0 {
		heap.Remove(&pl.due, pa.at)
	}
}

// started returns when the caller sent the first copy of its opening.
func (pa *passage) started() time.Time { return pa.opened.Add(-copyAge(pa.copy)) }

func (pa *passage) due() time.Time { return pa.deadline }

func (pa *passage) place(at int) { pa.at = at }

// hasTried reports whether the opening went to the agent before and must not
// again. One that declined offers as busy may be asked to take it.
func (pa *passage) hasTried(ag *agent) bool {
	if len(pa.busy) >= maxOffers && slices.Contains(pa.busy, ag.address) {
		return false
	}
	return slices.Contains(pa.tried, ag.address)
}
