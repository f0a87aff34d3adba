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
	handshakeTimeout = 30 * time.Millisecond
	// leastBroken is the number of flows that a host resets in a row until it gets
	// none.
	leastBroken = 2
	// firstRefusal and lastRefusal bound how long a host that returned an opening
	// or reset flows gets none.
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
	// StartedAt is when the host started, by its own clock. It only tells starts
	// of hosts apart.
	StartedAt time.Time
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
	// refusals counts how often the host was taken out since it last answered a
	// request; until refusedUntil it gets no flow.
	refusals     int
	refusedUntil time.Time
	// broken counts the flows in progress that the host has reset in a row.
	broken int
	// elder says that the host is older than the agent and may hold flows of
	// which the agent doesn't know.
	elder    bool
	flows    recent[*holding]
	queue    queue
	progress int
	// handshakes are the openings handed over, the oldest first.
	handshakes []*holding
	nextScan   time.Time
	// told is the last report that was spread, at toldAt.
	told   Report
	toldAt time.Time
	out    []Action
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
	re := Report{
		State: ga.state(now), InProgress: uint16(min(ga.InProgress(), 1<<16-1)), Slots: ga.host.Slots,
		ServiceTime: ga.queue.service.mean,
	}
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
	ga.tell(now)
}

// tell asks for the report to be spread.
func (ga *Gate) tell(now time.Time) {
	ga.told = ga.Report(now)
	ga.toldAt = now
	ga.out = append(ga.out, Action{Kind: KindAnnounce})
}

// ForwardedPacket is a packet that a balancer carries to the agent.
type ForwardedPacket struct {
	Packet
	From    netip.AddrPort
	Mode DeliveryMode
	// Started is when the caller sent the first copy of an opening, by the
	// receiver's clock.
	Started time.Time
	// ServiceHash is the number of the service that an opening is for.
	ServiceHash uint32
	// Version is that of the balancer's routes.
	Version uint64
}

// HandleForwarded takes a packet of a caller.
func (ga *Gate) HandleForwarded(now time.Time, of ForwardedPacket, data []byte) []Action {
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
		ga.held(of, data, ho)
	}
	return ga.out
}

// unheld handles a packet of a flow that the agent doesn't know.
func (ga *Gate) unheld(now time.Time, of ForwardedPacket, data []byte) {
	if of.Mode != DeliverTentatively || !ga.mayHold(now, of.Flow) {
		ga.decline(of, data, ReasonNotHeld)
		return
	}
	ga.flows.put(now, of.Flow, &holding{flow: of.Flow, stage: stageTried, balancer: of.From})
	ga.deliver(of.Flow, data, false)
}

// held handles a packet of a flow that the agent knows.
func (ga *Gate) held(of ForwardedPacket, data []byte, ho *holding) {
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
		if of.Mode != DeliverTentatively {
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
	ga.deliver(of.Flow, data, false)
}

// acknowledges reports whether the number answers the acceptance with the first
// number. Before a flow is open the host sends nothing else, so a caller can't
// wait for a later byte; a wider window would take the answer to another host's
// acceptance for this one's.
func acknowledges(number, first uint32) bool {
	return number-first <= 1
}

// HandleFind answers a balancer that searches a flow.
func (ga *Gate) HandleFind(now time.Time, from netip.AddrPort, flow Flow, acknowledged uint32) []Action {
	ga.out = ga.out[:0]
	el, ok := ga.flows.entries[flow]
	if !ok {
		if ga.mayHold(now, flow) {
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

// mayHold reports whether the host may hold a flow that the agent doesn't know:
// one that is older than the agent, to an address of the host's service.
func (ga *Gate) mayHold(now time.Time, flow Flow) bool {
	return ga.elder && now.Sub(ga.started) < ga.lifetime && !ga.ofOtherService(flow)
}

// ofOtherService reports whether the flow's address belongs to other services
// than the host's. A balancer that doesn't know the routes yet asks all agents.
func (ga *Gate) ofOtherService(flow Flow) bool {
	if ga.routes == nil {
		return false
	}
	ro, ok := ga.routes.Addresses[flow.Service]
	return ok && ga.known && !ro.Services.Contains(ga.host.Service)
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

func (ga *Gate) decline(of ForwardedPacket, data []byte, re Reason) {
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
