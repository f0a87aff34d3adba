package carriage

import (
	"container/list"
	"net/netip"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/absence"
	"corneltiller.dev/corneltiller/internal/coordination/warmup"
	"corneltiller.dev/corneltiller/internal/coordination/workload"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

const (
	// hostTimeout is how long a host may leave openings unanswered before it
	// counts as silent. It is well above the time that a handshake takes on one
	// machine.
	hostTimeout = 40 * time.Millisecond
	// minUnanswered is the least number of unanswered openings at which a host
	// counts as silent after hostTimeout.
	minUnanswered = 2
	// maxMissedCheckIns is the number of heartbeat intervals without a check-in
	// or packet after which the host counts as silent.
	maxMissedCheckIns = 3
	// drainGrace is how long after its check-in as draining a host still takes
	// flows that no other host takes. It is shorter than the 3 s for which new flows
	// at a draining host are tolerated.
	drainGrace = 2 * time.Second
	// handshakeTimeout is how long a flow whose caller has not completed the
	// handshake counts as in progress: several round trips. A caller that has
	// given up never completes it.
	handshakeTimeout = 30 * time.Millisecond
	// resetsToEject is the number of consecutive resets of flows in progress at
	// which the host is ejected. Each further one ejects it again.
	resetsToEject = 2
	// minEjection and maxEjection bound how long a host that returned an opening
	// or reset flows gets no new flow, unless a check-in ends the ejection before.
	// The time doubles with each ejection.
	minEjection = 200 * time.Millisecond
	maxEjection = 1600 * time.Millisecond
	// maxHostFlows bounds the flows that an agent remembers.
	maxHostFlows = 1 << 14
)

// CheckIn is the state that a host reports to its agent.
type CheckIn struct {
	// Name is the host's name; a host may start again under the same one.
	Name string
	// StartedAt is when the host started, by its own clock. It is only compared
	// with the times of other starts.
	StartedAt time.Time
	// Sequence grows with each check-in after one start of the host.
	Sequence uint64
	Service  string
	// Address is where the host receives packets.
	Address netip.AddrPort
	// Draining says that the host is to get no new flows and will stop.
	Draining bool
	// Slots is the number of requests that the host works on at once.
	Slots uint16
	// WarmAt is when the host reaches its full speed.
	WarmAt time.Time
}

// Gate is the state machine of an agent: it admits, queues or declines openings,
// tracks the flows of the host and watches whether the host answers. It is not
// safe for concurrent use.
type Gate struct {
	started   time.Time
	heartbeat time.Duration
	lifetime  time.Duration
	// service and hostAddress are those of the agent's host.
	service     string
	hostAddress netip.AddrPort
	routes      *catalog.Routes
	// host is the last check-in; known says that there is one or that the host is
	// presumed to be healthy.
	host  CheckIn
	known bool
	// checkedIn is when the host checked in last; refused is the last check-in that was
	// refused as older, at refusedAt.
	checkedIn time.Time
	refused   CheckIn
	refusedAt time.Time
	// presumed says that the host passed a health check but has not checked in.
	presumed bool
	// gone says that a host has checked out, agentDraining that the agent shuts
	// down. drainStart is when the host checked in as draining, zero if it did so
	// before the agent started.
	gone          bool
	agentDraining bool
	drainStart    time.Time
	// evacuated says that the failure domain of the agent is evacuated.
	evacuated bool
	// presumedCold is until when the host counts as cold by presumption, zero once it has
	// checked in. handedOver counts the openings that the host got.
	presumedCold time.Time
	handedOver   warmup.Limiter
	// lastHeard is when the host last checked in or sent a packet.
	lastHeard time.Time
	// unanswered counts the openings delivered since the host was last heard; the
	// first of them was delivered at unansweredSince.
	unanswered      int
	unansweredSince time.Time
	silent          bool
	// ejections counts how often the host was ejected since it last answered a
	// request completely; until ejectedUntil its state is reported as zero.
	ejections    int
	ejectedUntil time.Time
	// resets counts the flows in progress that the host has reset in a row.
	resets int
	// certainty tells whether the agent knows all flows of the host.
	certainty absence.Certainty
	// hostOlder says that the host has probably started before the agent, as far as start
	// times and sequence numbers tell. It is no proof, as clocks may be off.
	hostOlder bool
	flows     recent[*hostFlow]
	queue     queue
	// inProgress counts the flows that are working; active lists those that are
	// working or answering, the one without packets for the longest time first.
	inProgress int
	active     list.List
	// requests is how long the host takes for a request. expected is the average
	// number of requests in progress that open flows have brought after their first.
	requests serviceTime
	expected loadAverage
	// work follows the host's remaining work, nil if hosts are ranked by counts.
	work *workload.Host
	// handshakes are the openings delivered to the host whose handshakes may still
	// be in progress, the oldest first.
	handshakes []*hostFlow
	nextTick   time.Time
	// announced is the last report that was announced, at announcedAt.
	announced   Report
	announcedAt time.Time
	actions     []Action
}

// GateSettings are the settings of a Gate.
type GateSettings struct {
	// Service is the service of the agent's host, HostAddress where the host receives
	// packets.
	Service     string
	HostAddress netip.AddrPort
	// HeartbeatInterval is the time between two check-ins of a host.
	HeartbeatInterval time.Duration
	// FlowLifetime is the longest time that a flow may last.
	FlowLifetime time.Duration
	// OpeningTimeout is how long after its first opening packet a caller gives up
	// if it gets no answer.
	OpeningTimeout time.Duration
	// FirstStart says that the whole system starts for the first time, so that
	// no host holds a flow yet.
	FirstStart bool
	// ReportsWork says that reports have the host's remaining work.
	ReportsWork bool
}

// NewGate returns the Gate of an agent that starts now.
func NewGate(now time.Time, st GateSettings) *Gate {
	ga := &Gate{
		started: now, heartbeat: st.HeartbeatInterval, lifetime: st.FlowLifetime,
		service: st.Service, hostAddress: st.HostAddress,
		certainty: absence.NewCertainty(now, st.FlowLifetime, st.FirstStart),
		hostOlder: !st.FirstStart, flows: newRecent[*hostFlow](), queue: newQueue(st.OpeningTimeout), nextTick: now,
	}
	if st.ReportsWork {
		ga.work = workload.NewHost()
		ga.queue.shares = newQueueShares(ga)
	}
	return ga
}

// SetRoutes replaces the routes unless the given ones are of a lower version.
func (ga *Gate) SetRoutes(ro *catalog.Routes) {
	if ga.routes == nil || ro.Version >= ga.routes.Version {
		ga.routes = ro
	}
}

// Report returns the agent's current report about its host.
func (ga *Gate) Report(now time.Time) Report {
	re := Report{
		State: ga.state(now), InProgress: uint16(min(ga.InProgress(), 1<<16-1)), Slots: ga.host.Slots,
		ServiceTime: ga.requests.mean, Expected: ga.expected.at(now), Work: ga.workFigures(now),
	}
	if ga.routes != nil {
		re.Version = ga.routes.Version
	}
	return re
}

// Certain reports whether the agent knows all flows that its host may hold.
func (ga *Gate) Certain(now time.Time) bool { return ga.certainty.Certain(now) }

// Gone reports whether the host has checked out. A check-out before any check-in may be
// that of another host: a former one that ran at the same address.
func (ga *Gate) Gone() bool { return ga.gone && ga.known && !ga.presumed }

// Service returns the service of the host, "" while it is unknown.
func (ga *Gate) Service() string { return ga.host.Service }

// InProgress returns the number of flows whose opening or request is not yet
// answered, including openings in the queue.
func (ga *Gate) InProgress() int { return ga.inProgress + len(ga.queue.items) }

// Idle reports whether no opening, request or answer is in progress. Open flows
// between two requests don't count.
func (ga *Gate) Idle() bool { return ga.active.Len() == 0 && len(ga.queue.items) == 0 }

// HostState returns the state of the host, zero while the host is unknown, silent or
// ejected.
func (ga *Gate) HostState(now time.Time) register.State {
	switch {
	case ga.Gone():
		return register.StateGone
	case ga.gone:
		return register.StateDraining
	case !ga.known || ga.silent || now.Before(ga.ejectedUntil):
		return 0
	case ga.agentDraining || ga.host.Draining:
		return register.StateDraining
	case now.Before(ga.coldUntil()):
		return register.StateWarming
	default:
		return register.StateReady
	}
}

// hostHeard records that the host has checked in or sent a packet.
func (ga *Gate) hostHeard(now time.Time) {
	ga.lastHeard = now
	ga.unanswered = 0
	ga.silent = false
}

// announceIfChanged announces the report if state or slots differ from the ones
// announced last.
func (ga *Gate) announceIfChanged(now time.Time) {
	re := ga.Report(now)
	if re.State == ga.announced.State && re.Slots == ga.announced.Slots {
		return
	}
	ga.announce(now)
}

// announce asks the caller to send the report to all balancers.
func (ga *Gate) announce(now time.Time) {
	ga.announced = ga.Report(now)
	ga.announcedAt = now
	ga.actions = append(ga.actions, Action{Kind: KindAnnounce})
}

// ForwardedPacket is a caller's packet that a balancer has sent to the agent.
type ForwardedPacket struct {
	Packet
	From netip.AddrPort
	Mode DeliveryMode
	// Started is when the caller sent the first copy of an opening packet, by the
	// agent's clock.
	Started time.Time
	// ServiceHash identifies the service that an opening is for, zero for other
	// packets.
	ServiceHash uint32
	// Version is the version of the balancer's configuration.
	Version uint64
}

// HandleForwarded handles a packet of a caller that a balancer has forwarded.
func (ga *Gate) HandleForwarded(now time.Time, fp ForwardedPacket, data []byte) []Action {
	ga.actions = ga.actions[:0]
	hf, ok := ga.flows.get(now, fp.Flow)
	switch {
	case fp.Accepting || fp.Returned:
		ga.actions = append(ga.actions, Action{Kind: KindDrop, Flow: fp.Flow, Reason: ReasonForged})
	case fp.Opening && !fp.Resets:
		ga.handleOpening(now, fp, data, hf)
	case !ok:
		ga.handleUnknownFlow(now, fp, data)
	default:
		ga.handleKnownFlow(now, fp, data, hf)
	}
	return ga.actions
}

// Deadline returns when Tick is due.
func (ga *Gate) Deadline() time.Time { return ga.nextTick }

const (
	// idleTickInterval is the time until the next tick while no opening is
	// unanswered or queued.
	idleTickInterval = 250 * time.Millisecond
	// busyTickInterval is the time until the next tick while openings are queued,
	// or unanswered by a host that doesn't count as silent.
	busyTickInterval = 20 * time.Millisecond
)

// Tick detects a silent host, forgets idle flows and serves the queue. It is to be
// called at Deadline.
func (ga *Gate) Tick(now time.Time) []Action {
	ga.actions = ga.actions[:0]
	ga.nextTick = now.Add(idleTickInterval)
	if ga.unanswered > 0 && !ga.silent || len(ga.queue.items) > 0 {
		ga.nextTick = now.Add(busyTickInterval)
	}
	if ga.unanswered >= minUnanswered && now.Sub(ga.unansweredSince) >= hostTimeout {
		ga.silent = true
	}
	if ga.known && now.Sub(ga.lastHeard) >= maxMissedCheckIns*ga.heartbeat {
		ga.silent = true
	}
	ga.expireIdle(now)
	ga.announceIfChanged(now)
	ga.serveQueue(now)
	ga.tickForColdHost(now)
	return ga.actions
}

// expireIdle forgets flows without packets for FlowIdleTimeout, or for twice the
// idle timeout of the routes if that is shorter, and the least recently used ones
// above maxHostFlows.
func (ga *Gate) expireIdle(now time.Time) {
	ga.expireActive(now)
	idle := FlowIdleTimeout
	if ga.routes != nil && ga.routes.IdleTimeout > 0 {
		idle = min(idle, 2*ga.routes.IdleTimeout)
	}
	expired, above := ga.flows.expire(now.Add(-idle), maxHostFlows)
	for _, hf := range expired {
		ga.endProgress(now, hf)
	}
	if above > 0 || !ga.discardsAfter(idle) && slices.ContainsFunc(expired, (*hostFlow).mayBeOpen) {
		ga.certainty.Dropped(now)
	}
}

// discardsAfter reports whether a flow without packets for the given time has ended, or
// may be discarded.
func (ga *Gate) discardsAfter(idle time.Duration) bool {
	return idle >= ga.lifetime || ga.routes != nil && ga.routes.IdleTimeout > 0 && idle >= ga.routes.IdleTimeout
}

// deliver sends a packet to the host.
func (ga *Gate) deliver(flow Flow, data []byte, opening bool) {
	ga.actions = append(ga.actions, Action{
		Kind: KindDeliver, Flow: flow, Data: data, Opening: opening, InProgress: float64(ga.inProgress),
	})
}

// decline sends a packet back to the balancer.
func (ga *Gate) decline(fp ForwardedPacket, data []byte, re Reason) {
	ga.actions = append(ga.actions, Action{
		Kind: KindDecline, To: fp.From, Flow: fp.Flow, Data: data, Reason: re,
		Opening: fp.Opening, Acknowledged: fp.Acknowledged, InProgress: float64(ga.inProgress),
	})
}

func (ga *Gate) forget(now time.Time, hf *hostFlow) {
	ga.endProgress(now, hf)
	ga.flows.remove(hf.flow)
}
