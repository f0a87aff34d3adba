package carriage

import (
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

const (
	// hostTimeout is how long a host may leave openings without an answer until
	// it counts as silent: well above the time of a handshake on one machine.
	hostTimeout = 40 * time.Millisecond
	// leastUnanswered is the number of openings without an answer that it takes
	// for a host to count as silent.
	leastUnanswered = 2
	// checkInsMissed is the number of heartbeat intervals without a check-in or
	// packet after which the host counts as gone.
	checkInsMissed = 3
	// drainGrace is how long after the acknowledgement a leaving host still
	// takes flows that no other host takes: less than the operators allow.
	drainGrace = 2 * time.Second
	// handshakeTimeout is how long a flow counts as in progress before its caller
	// ends the handshake: several round trips. A caller that has given up never
	// does.
	handshakeTimeout = 60 * time.Millisecond
	// firstRefusal and lastRefusal bound how long a host that returned an opening
	// gets none.
	firstRefusal = 200 * time.Millisecond
	lastRefusal  = 1600 * time.Millisecond
	// workTimeout is how long a flow without packets counts as in progress.
	workTimeout = 2 * time.Second
	// maxHeld bounds the flows that an agent remembers.
	maxHeld = 1 << 14
)

// CheckIn is what a host says about itself.
type CheckIn struct {
	// Name is the host's name; a host may start again under the same one.
	Name string
	// Born is when the host started, by its own clock. It only tells starts
	// of hosts apart.
	Born time.Time
	// Sequence grows with each check-in of one start.
	Sequence uint64
	Service  string
	// Draining says that the host is about to leave.
	Draining bool
	// Slots is the number of requests that the host works on at once.
	Slots uint16
	// WarmAt is when the host reaches its full speed.
	WarmAt time.Time
}

// stage is how far a flow has come at its host.
type stage uint8

const (
	// stageOffered is an opening without an answer of the host.
	stageOffered stage = iota + 1
	// stageAccepted is a flow that waits for the end of the handshake.
	stageAccepted
	// stageOpen is a flow that the host holds.
	stageOpen
	// stageTried is a flow that the host may hold.
	stageTried
	// stageAbsent is a flow that the host was found not to hold.
	stageAbsent
	// stageLost is a flow that the host held before it started anew.
	stageLost
)

// holding is what an agent knows of a flow of its host.
type holding struct {
	flow     Flow
	stage    stage
	balancer netip.AddrPort
	// first is the number of the host's first byte.
	first uint32
	// working says that the flow counts as in progress.
	working bool
	// opened is when the opening was given to the host, zero if unknown.
	opened time.Time
	// lastUsed is when the last packet of the flow came.
	lastUsed time.Time
}

// Gate decides for an agent. It is not safe for concurrent use.
type Gate struct {
	started   time.Time
	heartbeat time.Duration
	lifetime  time.Duration
	routes    *catalog.Routes
	host      CheckIn
	known     bool
	// presumed says that the host was found healthy but has not checked in.
	presumed  bool
	gone      bool
	leaving   bool
	drainedAt time.Time
	// lastSign is when the host last gave a sign of life.
	lastSign time.Time
	// unanswered counts openings since the host's last packet, the first of
	// which was handed over at waitingSince.
	unanswered   int
	waitingSince time.Time
	silent       bool
	// refusals counts the openings that the host returned in a row; until
	// refusedUntil it is taken for one that takes none.
	refusals     int
	refusedUntil time.Time
	// elder says that the host is older than the agent and may hold flows of
	// which the agent doesn't know.
	elder    bool
	flows    recent[*holding]
	queue    queue
	progress int
	// handshakes are the openings handed over, the oldest first.
	handshakes []*holding
	nextScan   time.Time
	told       Report
	out        []Action
}

// GateSettings are the settings of a Gate.
type GateSettings struct {
	// HeartbeatInterval is the time between two check-ins of a host.
	HeartbeatInterval time.Duration
	// FlowLifetime is how long a flow may last.
	FlowLifetime time.Duration
	// OpeningTimeout is when a caller gives up an opening without an answer.
	OpeningTimeout time.Duration
	// FirstStart says that the whole system starts for the first time, so that
	// no host holds a flow yet.
	FirstStart bool
}

// NewGate returns the gate of an agent that starts now.
func NewGate(now time.Time, st GateSettings) *Gate {
	return &Gate{
		started: now, heartbeat: st.HeartbeatInterval, lifetime: st.FlowLifetime,
		elder: !st.FirstStart, flows: newRecent[*holding](), queue: newQueue(st.OpeningTimeout), nextScan: now,
	}
}

// SetRoutes takes a newer configuration. An older one is ignored.
func (ga *Gate) SetRoutes(ro *catalog.Routes) {
	if ga.routes == nil || ro.Version > ga.routes.Version {
		ga.routes = ro
	}
}

// Report returns what the agent says about its host.
func (ga *Gate) Report(now time.Time) Report {
	load := ga.progress + len(ga.queue.items)
	re := Report{State: ga.state(now), InProgress: uint16(min(load, 1<<16-1)), Slots: ga.host.Slots}
	if ga.routes != nil {
		re.Version = ga.routes.Version
	}
	return re
}

// Service returns the service of the host, "" while it is unknown.
func (ga *Gate) Service() string { return ga.host.Service }

// InProgress returns the number of flows whose request is not yet answered,
// those that wait for the host included.
func (ga *Gate) InProgress() int { return ga.progress + len(ga.queue.items) }

// Flows returns the number of flows that are remembered.
func (ga *Gate) Flows() int { return ga.flows.length() }

// state returns the state of the host as the balancers are to see it.
func (ga *Gate) state(now time.Time) register.State {
	switch {
	case ga.gone:
		return register.StateGone
	case !ga.known || ga.silent || now.Before(ga.refusedUntil):
		return 0
	case ga.leaving || ga.host.Draining:
		return register.StateDraining
	case now.Before(ga.host.WarmAt):
		return register.StateWarming
	default:
		return register.StateReady
	}
}

// CheckIn takes a host's word about itself. It reports whether the word is
// current; an older one must not be acted on.
func (ga *Gate) CheckIn(now time.Time, ci CheckIn) ([]Action, bool) {
	ga.out = ga.out[:0]
	if ga.known && !ga.presumed && !ga.supersedes(ci) {
		return ga.out, false
	}
	if ga.known && !ga.presumed && !ci.Born.Equal(ga.host.Born) {
		ga.restarted()
	}
	if ga.presumed || !ga.known {
		ga.elder = ga.elder && ci.Sequence > newbornSequence
	}
	if ci.Draining && !ga.host.Draining && ga.known && !ga.presumed {
		// A host that was already leaving when the agent started has no grace.
		ga.drainedAt = now
	}
	ga.refusedUntil = time.Time{}
	ga.known = true
	ga.presumed = false
	ga.gone = false
	ga.host = ci
	ga.sign(now)
	ga.announce(now)
	return ga.out, true
}

// newbornSequence is the number of a host's check-ins up to which it counts as
// just started: some may have failed while its agent started too. Before one is
// acknowledged a host takes no flow.
const newbornSequence = 4

// presumedSlots is taken for the slots of a host that has not checked in.
const presumedSlots = 2

// Presume takes that the host of the service answered as healthy and not leaving
// before it has checked in. It lets an agent that was restarted serve at once.
func (ga *Gate) Presume(now time.Time, service string) []Action {
	ga.out = ga.out[:0]
	if ga.known || ga.gone {
		return ga.out
	}
	ga.known = true
	ga.presumed = true
	ga.host = CheckIn{Service: service, Slots: presumedSlots}
	ga.sign(now)
	ga.announce(now)
	return ga.out
}

// supersedes reports whether the check-in is newer than the last one.
func (ga *Gate) supersedes(ci CheckIn) bool {
	if !ci.Born.Equal(ga.host.Born) {
		return ci.Born.After(ga.host.Born)
	}
	return ci.Name == ga.host.Name && ci.Sequence > ga.host.Sequence
}

// restarted notes that the flows of the host's former start are lost.
func (ga *Gate) restarted() {
	ga.elder = false
	ga.handshakes = nil
	for el := ga.flows.order.Front(); el != nil; {
		next := el.Next()
		ho := el.Value.(*used[*holding]).value
		if ho.stage == stageOpen {
			ga.setWorking(ho, false)
			ho.stage = stageLost
		} else {
			ga.forget(ho)
		}
		el = next
	}
}

// CheckOut takes a host's word that it ends. It reports whether the word is
// current.
func (ga *Gate) CheckOut(now time.Time, name string) ([]Action, bool) {
	ga.out = ga.out[:0]
	if ga.known && !ga.presumed && name != ga.host.Name {
		return ga.out, false
	}
	ga.gone = true
	ga.announce(now)
	return ga.out, true
}

// Leave takes the agent's own stop: no new flow, the open ones go on.
func (ga *Gate) Leave(now time.Time) []Action {
	ga.out = ga.out[:0]
	ga.leaving = true
	ga.announce(now)
	return ga.out
}

// sign takes a sign of life of the host.
func (ga *Gate) sign(now time.Time) {
	ga.lastSign = now
	ga.unanswered = 0
	ga.silent = false
}

// announce asks for the report to be spread if the state has changed.
func (ga *Gate) announce(now time.Time) {
	re := ga.Report(now)
	if re.State == ga.told.State && re.Slots == ga.told.Slots {
		return
	}
	ga.told = re
	ga.out = append(ga.out, Action{Kind: KindAnnounce})
}

// Offer is a packet that a balancer carries to the agent.
type Offer struct {
	Packet
	From    netip.AddrPort
	Urgency Urgency
	// Started is when the caller sent the first copy of an opening, by the
	// receiver's clock.
	Started time.Time
	// Tag is the number of the service that an opening is for.
	Tag uint32
	// Version is that of the balancer's routes.
	Version uint64
}

// FromBalancer takes a packet of a caller.
func (ga *Gate) FromBalancer(now time.Time, of Offer, data []byte) []Action {
	ga.out = ga.out[:0]
	ho, ok := ga.flows.get(now, of.Flow)
	switch {
	case of.Accepting || of.Returned:
		ga.out = append(ga.out, Action{Kind: KindDrop, Flow: of.Flow, Reason: ReasonForged})
	case of.Opening && !of.Resets:
		ga.opening(now, of, data, ho)
	case !ok:
		ga.unheld(now, of, data)
	default:
		ga.held(now, of, data, ho)
	}
	return ga.out
}

// opening handles an opening packet.
func (ga *Gate) opening(now time.Time, of Offer, data []byte, ho *holding) {
	if ho == nil || ho.stage >= stageTried {
		if re := ga.refusal(now, of); re != ReasonNone {
			ga.decline(of, data, re)
			return
		}
		if ga.progress >= ga.limit() {
			ga.enqueue(now, of, data)
			return
		}
		ho = &holding{flow: of.Flow, stage: stageOffered, opened: now}
		ga.flows.put(now, of.Flow, ho)
		ga.setWorking(ho, true)
	}
	ga.handOver(now, of, data, ho)
}

// overlap is the number of flows for each slot that the host may have at once:
// while one is worked on the next one ends its handshake.
const overlap = 2

// limit returns the number of flows in progress above which openings wait.
func (ga *Gate) limit() int {
	return overlap * int(max(ga.host.Slots, 1))
}

// enqueue lets an opening wait for the host.
func (ga *Gate) enqueue(now time.Time, of Offer, data []byte) {
	var route catalog.Route
	if ga.routes != nil {
		route = ga.routes.Addresses[of.Service]
	}
	// A copy of an opening that waits is confirmed as well, or its balancer would
	// take it to another host.
	if !ga.queue.contains(of.Flow) && !ga.queue.add(now, of, data, route, ga.limit()) {
		ga.decline(of, data, ReasonFull)
		return
	}
	ga.out = append(ga.out, Action{
		Kind: KindConfirm, To: of.From, Flow: of.Flow, Reason: ReasonBusy, InProgress: float64(ga.InProgress()),
	})
}

// serveQueue hands waiting openings over while the host has room, and declines
// them if it takes no more.
func (ga *Gate) serveQueue(now time.Time) {
	ga.endHandshakes(now)
	if len(ga.queue.items) == 0 {
		return
	}
	for _, it := range ga.queue.expired(now) {
		ga.out = append(ga.out, Action{Kind: KindDrop, Flow: it.offer.Flow, Reason: ReasonUnconfirmed, Opening: true})
	}
	if st := ga.state(now); !st.TakesNewWork() {
		for _, it := range ga.queue.drain() {
			ga.decline(it.offer, it.data, ReasonDraining)
		}
		return
	}
	for ga.progress < ga.limit() {
		it, ok := ga.queue.next(now)
		if !ok {
			return
		}
		ho := &holding{flow: it.offer.Flow, stage: stageOffered, opened: now}
		ga.flows.put(now, it.offer.Flow, ho)
		ga.setWorking(ho, true)
		ga.handOver(now, it.offer, it.data, ho)
	}
}

// endHandshakes frees the slots of callers that did not end the handshake.
func (ga *Gate) endHandshakes(now time.Time) {
	for len(ga.handshakes) > 0 {
		ho := ga.handshakes[0]
		if ho.stage <= stageAccepted && now.Sub(ho.opened) < handshakeTimeout {
			return
		}
		if ho.stage <= stageAccepted {
			ga.setWorking(ho, false)
		}
		ga.handshakes = ga.handshakes[1:]
	}
}

// handOver gives an opening to the host.
func (ga *Gate) handOver(now time.Time, of Offer, data []byte, ho *holding) {
	ho.balancer = of.From
	ho.lastUsed = now
	if ho.stage == stageOffered {
		ga.handshakes = append(ga.handshakes, ho)
		if ga.unanswered == 0 {
			ga.waitingSince = now
		}
		ga.unanswered++
	}
	ga.deliver(of.Flow, data, true)
}

// refusal returns why the host doesn't take a new flow.
func (ga *Gate) refusal(now time.Time, of Offer) Reason {
	st := ga.state(now)
	switch {
	case ga.gone:
		return ReasonDraining
	case st == register.StateDraining && !ga.mayTakeLate(now, of):
		return ReasonDraining
	case st == 0 && (!ga.known || of.Urgency != UrgencyTake):
		return ReasonHostUnknown
	case of.Tag != serviceTag(ga.host.Service):
		return ReasonWrongService
	case ga.dropped(of):
		return ReasonNoRoute
	case of.Urgency == UrgencyOffer && ga.progress >= int(max(ga.host.Slots, 1)):
		return ReasonBusy
	default:
		return ReasonNone
	}
}

// mayTakeLate reports whether a leaving host takes a flow that no other takes.
func (ga *Gate) mayTakeLate(now time.Time, of Offer) bool {
	return of.Urgency == UrgencyTake && ga.host.Draining && !ga.leaving && now.Sub(ga.drainedAt) < drainGrace
}

// dropped reports whether the agent's configuration is the newer one and has no
// such route.
func (ga *Gate) dropped(of Offer) bool {
	if ga.routes == nil || ga.routes.Version < of.Version {
		return false
	}
	return !ga.routes.Addresses[of.Service].Services.Contains(ga.host.Service)
}

// unheld handles a packet of a flow that the agent doesn't know.
func (ga *Gate) unheld(now time.Time, of Offer, data []byte) {
	if of.Urgency != UrgencyTry || !ga.mayHold(now) {
		ga.decline(of, data, ReasonNotHeld)
		return
	}
	ga.flows.put(now, of.Flow, &holding{flow: of.Flow, stage: stageTried, balancer: of.From, lastUsed: now})
	ga.deliver(of.Flow, data, false)
}

// held handles a packet of a flow that the agent knows.
func (ga *Gate) held(now time.Time, of Offer, data []byte, ho *holding) {
	switch ho.stage {
	case stageOffered:
		// The caller answers another host's acceptance.
		ga.forget(ho)
		ga.decline(of, data, ReasonNotHeld)
		return
	case stageAccepted:
		if !of.Resets && !acknowledges(of.Acknowledged, ho.first) {
			ga.forget(ho)
			ga.decline(of, data, ReasonNotHeld)
			return
		}
		ho.stage = stageOpen
		ga.setWorking(ho, true)
	case stageTried:
		if of.Urgency != UrgencyTry {
			ga.decline(of, data, ReasonNotHeld)
			return
		}
	case stageAbsent:
		ga.decline(of, data, ReasonNotHeld)
		return
	case stageLost:
		ga.decline(of, data, ReasonHostLost)
		return
	}
	ho.balancer = of.From
	ho.lastUsed = now
	ga.deliver(of.Flow, data, false)
}

// acknowledges reports whether the number answers the acceptance with the first
// number. Before a flow is open the host sends nothing else, so a caller can't
// wait for a later byte; a wider window would take the answer to another host's
// acceptance for this one's.
func acknowledges(number, first uint32) bool {
	return number-first <= 1
}

// FromHost takes a packet that the host sends.
func (ga *Gate) FromHost(now time.Time, pk Packet, data []byte) []Action {
	ga.out = ga.out[:0]
	wasSilent := ga.silent
	ga.sign(now)
	if wasSilent {
		ga.announce(now)
	}
	if pk.Returned {
		ga.returned(now, pk, data)
		ga.serveQueue(now)
		return ga.out
	}
	ga.answered(now, pk)
	ga.out = append(ga.out, Action{Kind: KindReturn, Flow: pk.Flow, Data: data})
	ga.serveQueue(now)
	return ga.out
}

// returned handles a caller's packet that the host handed back.
func (ga *Gate) returned(now time.Time, pk Packet, data []byte) {
	el, ok := ga.flows.entries[pk.Flow]
	if !ok {
		ga.out = append(ga.out, Action{Kind: KindDrop, Flow: pk.Flow, Reason: ReasonNotHeld})
		return
	}
	ho := el.Value.(*used[*holding]).value
	re := ReasonNotHeld
	if ho.stage == stageOpen {
		re = ReasonHostLost
	}
	if pk.Opening {
		re = ReasonHostRefused
		ga.refusedUntil = now.Add(min(firstRefusal<<min(ga.refusals, 8), lastRefusal))
		ga.refusals++
		ga.announce(now)
	}
	ga.setWorking(ho, false)
	ho.stage = stageAbsent
	if re == ReasonHostLost {
		ho.stage = stageLost
	}
	ga.out = append(ga.out, Action{
		Kind: KindDecline, To: ho.balancer, Flow: pk.Flow, Data: data, Reason: re, Opening: pk.Opening,
	})
}

// answered learns from a packet of the host to a caller.
func (ga *Gate) answered(now time.Time, pk Packet) {
	ho, ok := ga.flows.get(now, pk.Flow)
	if !ok {
		if pk.Resets {
			return
		}
		ho = &holding{flow: pk.Flow, stage: stageOpen}
		if pk.Accepting {
			// The caller may have opened the flow at another host meanwhile.
			ho.stage = stageOffered
		}
		ga.flows.put(now, pk.Flow, ho)
	}
	ho.lastUsed = now
	switch {
	case pk.Accepting:
		ga.refusals = 0
		if ho.stage == stageOffered || ho.stage >= stageTried {
			ho.stage = stageAccepted
		}
		ho.first = pk.Sequence
		ga.confirm(ho)
	case ho.stage >= stageTried && !pk.Resets:
		ho.stage = stageOpen
		ga.out = append(ga.out, Action{Kind: KindHeld, To: ho.balancer, Flow: pk.Flow, Sure: true})
	}
	if pk.Finishes || pk.Resets {
		if ho.working && !ho.opened.IsZero() {
			ga.queue.served(now.Sub(ho.opened))
			ga.out = append(ga.out, Action{Kind: KindServed, Flow: pk.Flow, Started: ho.opened})
		}
		ga.setWorking(ho, false)
	}
}

func (ga *Gate) confirm(ho *holding) {
	if ho.balancer.IsValid() {
		ga.out = append(ga.out, Action{Kind: KindConfirm, To: ho.balancer, Flow: ho.flow})
	}
}

// Find answers a balancer that searches a flow.
func (ga *Gate) Find(now time.Time, from netip.AddrPort, flow Flow, acknowledged uint32) []Action {
	ga.out = ga.out[:0]
	el, ok := ga.flows.entries[flow]
	if !ok {
		if ga.mayHold(now) {
			ga.out = append(ga.out, Action{Kind: KindHeld, To: from, Flow: flow})
		}
		return ga.out
	}
	ho := el.Value.(*used[*holding]).value
	holds := ho.stage == stageOpen || ho.stage == stageLost || ho.stage == stageAccepted && acknowledges(acknowledged, ho.first)
	if holds {
		ga.out = append(ga.out, Action{Kind: KindHeld, To: from, Flow: flow, Sure: true})
	}
	return ga.out
}

// mayHold reports whether the host may hold flows that the agent doesn't know:
// those that are older than the agent.
func (ga *Gate) mayHold(now time.Time) bool {
	return ga.elder && now.Sub(ga.started) < ga.lifetime
}

// Deadline returns when Tick is due.
func (ga *Gate) Deadline() time.Time { return ga.nextScan }

const (
	// idleScan is the time between two ticks of an agent without openings.
	idleScan = 250 * time.Millisecond
	// busyScan is that of an agent whose host owes an answer.
	busyScan = 20 * time.Millisecond
)

// Tick does what has become due.
func (ga *Gate) Tick(now time.Time) []Action {
	ga.out = ga.out[:0]
	ga.nextScan = now.Add(idleScan)
	if ga.unanswered > 0 && !ga.silent || len(ga.queue.items) > 0 {
		ga.nextScan = now.Add(busyScan)
	}
	if ga.unanswered >= leastUnanswered && now.Sub(ga.waitingSince) >= hostTimeout {
		ga.silent = true
	}
	if ga.known && now.Sub(ga.lastSign) >= checkInsMissed*ga.heartbeat {
		ga.silent = true
	}
	ga.releaseIdle(now)
	ga.announce(now)
	ga.serveQueue(now)
	return ga.out
}

// releaseIdle ends the work of flows whose packets have stopped and forgets the
// old ones.
func (ga *Gate) releaseIdle(now time.Time) {
	idle := FlowIdle
	if ga.routes != nil && ga.routes.IdleTimeout > 0 {
		idle = min(idle, 2*ga.routes.IdleTimeout)
	}
	for _, ho := range ga.flows.expire(now.Add(-idle), maxHeld) {
		ga.setWorking(ho, false)
	}
	for el := ga.flows.order.Front(); el != nil && ga.progress > 0; el = el.Next() {
		us := el.Value.(*used[*holding])
		if now.Sub(us.at) < workTimeout {
			return
		}
		ga.setWorking(us.value, false)
	}
}

func (ga *Gate) deliver(flow Flow, data []byte, opening bool) {
	ga.out = append(ga.out, Action{
		Kind: KindDeliver, Flow: flow, Data: data, Opening: opening, InProgress: float64(ga.progress),
	})
}

func (ga *Gate) decline(of Offer, data []byte, re Reason) {
	ga.out = append(ga.out, Action{
		Kind: KindDecline, To: of.From, Flow: of.Flow, Data: data, Reason: re,
		Opening: of.Opening, InProgress: float64(ga.progress),
	})
}

func (ga *Gate) forget(ho *holding) {
	ga.setWorking(ho, false)
	ga.flows.remove(ho.flow)
}

func (ga *Gate) setWorking(ho *holding, working bool) {
	if ho.working == working {
		return
	}
	ho.working = working
	if working {
		ga.progress++
	} else {
		ga.progress--
	}
}
