package carrier

import (
	"context"
	"math"
	"net"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/coordination/absence"
	"corneltiller.dev/corneltiller/internal/coordination/carriage"
	"corneltiller.dev/corneltiller/internal/coordination/evacuation"
	"corneltiller.dev/corneltiller/internal/coordination/members"
	"corneltiller.dev/corneltiller/internal/protocol/waybill"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
	"corneltiller.dev/corneltiller/internal/state/settings"
	"corneltiller.dev/corneltiller/internal/transport/explain"
	"corneltiller.dev/corneltiller/internal/transport/gauge"
)

const (
	// idleTimeBeforeStop is the time without a caller's packet after which a draining
	// balancer stops: the fabric sends the packets to other balancers by then.
	idleTimeBeforeStop = 600 * time.Millisecond
	// minBalancerStopTime is the shortest time of a balancer's graceful shutdown: two
	// readiness probes of the fabric and their delays.
	minBalancerStopTime = 1500 * time.Millisecond
)

// BalancerConfig is the configuration of a balancer.
type BalancerConfig struct {
	Settings settings.CarrierBalancer
	Codec    Codec
	Store    Store
	Metrics  *gauge.Registry
	// OpeningTimeout is how long after its first opening packet a caller gives up
	// if it gets no answer.
	OpeningTimeout time.Duration
	// NewReadyHandler returns the handler that serves the readiness that ready
	// reports.
	NewReadyHandler func(ready func() bool) http.Handler
}

// Balancer forwards callers' packets from the fabric to agents. It is safe for
// concurrent use.
type Balancer struct {
	*node
	config BalancerConfig
	// callerConn receives callers' packets from the fabric and sends resets.
	callerConn *net.UDPConn
	// placer is the balancer's state machine.
	placer *carriage.Placer
	// lastPacket is when the last packet of a caller arrived, zero if none did.
	lastPacket time.Time
	draining   bool
	// sharing are the other balancers that take new work.
	sharing map[netip.AddrPort]struct{}
}

// OpenBalancer opens the UDP sockets of a balancer. An error names the address
// that can't be listened on.
func OpenBalancer(co BalancerConfig) (*Balancer, error) {
	no, err := newNode(co.Settings.Carrier, co.Store, co.Metrics, members.RoleBalancer)
	if err != nil {
		return nil, err
	}
	callerConn, err := listenUDP(co.Settings.Callers)
	if err != nil {
		no.close()
		return nil, err
	}
	requestArrivalTimes(callerConn)
	ba := &Balancer{node: no, config: co, callerConn: callerConn, sharing: make(map[netip.AddrPort]struct{}), placer: carriage.NewPlacer(no.started, carriage.PlacerSettings{
		Domain: co.Settings.Domain, OpeningTimeout: co.OpeningTimeout, FlowLifetime: time.Duration(co.Settings.FlowLifetime),
		ByRemainingWork:  co.Settings.ByRemainingWork(),
		AwaitEvacuations: no.evacuations != nil,
		Confirmed:        no.view.Confirmed,
	})}
	no.onDeadline = func(now time.Time) { ba.performFlowActions(now, ba.placer.Tick(now)) }
	no.deadline = ba.placer.Deadline
	no.onFlowMessage = ba.handleFlowMessage
	no.onMemberHeard = func(now time.Time, from netip.AddrPort) {
		ba.performFlowActions(now, ba.placer.HandlePeerAlive(now, from))
	}
	no.onEntriesListed = func(now time.Time) { ba.placer.MembersListed(now) }
	no.onMemberChanged = ba.setMember
	no.onMemberRemoved = ba.removeMember
	no.onRoutes = func(now time.Time, ro *catalog.Routes) { ba.performFlowActions(now, ba.placer.SetRoutes(now, ro)) }
	no.onEvacuations = func(now time.Time, set evacuation.Set) {
		ba.performFlowActions(now, ba.placer.SetEvacuations(now, set))
	}
	no.view.SetSelf(no.started, members.Record{State: register.StateReady})
	co.Metrics.Handle(explain.Path, explain.Handler(ba.explain))
	return ba, nil
}

// Run forwards packets until the context ends, then shuts down gracefully. It
// returns the first error of a server, wrapped with the address.
func (ba *Balancer) Run(ctx context.Context) error {
	klog.InfoS("Balancer started", "name", ba.settings.Name, "domain", ba.settings.Domain,
		"peers", ba.settings.Peers, "callers", ba.settings.Callers, "store", ba.settings.Store)
	ready := ba.config.NewReadyHandler(ba.Ready)
	return ba.run(ctx, lifecycle{
		start: func(work context.Context, gr *errgroup.Group) {
			gr.Go(func() error { return readWithWait(ba.callerConn, ba.handleCallerPacket) })
			gr.Go(func() error { return serve(work, ba.settings.Ready, ready) })
			gr.Go(func() error { return serve(work, ba.config.Settings.Control, ready) })
			gr.Go(func() error { return ba.followRoutes(work) })
			gr.Go(func() error { return ba.recordServices(work) })
			gr.Go(func() error { return ba.reviewEntries(work) })
			if ba.evacuations != nil {
				gr.Go(func() error { return ba.followEvacuations(work) })
			}
		},
		drain: func(now time.Time) {
			ba.draining = true
			ba.performMemberActions(now, ba.view.SetSelf(now, members.Record{State: register.StateDraining}))
		},
		idle: func(now time.Time) bool {
			return now.Sub(ba.lastPacket) > idleTimeBeforeStop && ba.placer.Idle()
		},
		minStopTime:  minBalancerStopTime,
		closeSockets: func() { ba.callerConn.Close() },
	})
}

// Ready reports whether the fabric may send packets to the balancer.
func (ba *Balancer) Ready() bool {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	return !ba.draining && ba.placer.Ready(time.Now())
}

// setMember passes a new record of a member to the placer. It is called with mu
// held.
func (ba *Balancer) setMember(now time.Time, re members.Record) {
	ba.countMembers()
	if re.Role != members.RoleAgent {
		ba.setSharing(re.Address, re.Role == members.RoleBalancer && re.State.TakesNewWork())
		return
	}
	ba.performFlowActions(now, ba.placer.SetAgent(now, carriage.Agent{
		Revision: re.Revision, Address: re.Address, Service: re.Service, Domain: re.Domain,
		State: re.State, Slots: re.Slots, ServiceTime: re.ServiceTime,
	}))
}

// removeMember tells the placer that a member was removed. It is called with mu
// held.
func (ba *Balancer) removeMember(address netip.AddrPort) {
	ba.countMembers()
	ba.setSharing(address, false)
	ba.placer.RemoveAgent(address)
}

// setSharing notes whether another balancer takes new work, and so shares the warm-up
// limits with this one.
func (ba *Balancer) setSharing(address netip.AddrPort, sharing bool) {
	if sharing {
		ba.sharing[address] = struct{}{}
	} else {
		delete(ba.sharing, address)
	}
	ba.placer.SetSharingBalancers(len(ba.sharing))
}

// countMembers passes the number of other balancers to the placer.
func (ba *Balancer) countMembers() {
	ba.placer.SetOtherBalancers(ba.view.Balancers())
	ba.metrics.Set("Agents", int64(ba.view.Agents()))
}

// handleCallerPacket handles a caller's packet from the fabric that has waited in the
// socket.
func (ba *Balancer) handleCallerPacket(_ netip.AddrPort, datagram []byte, wait time.Duration) {
	pk, err := ba.config.Codec.DecodeCallerPacket(datagram)
	if err != nil {
		ba.metrics.Count("PacketsRefused", 1)
		return
	}
	pk.Wait = wait
	ba.mu.Lock()
	defer ba.mu.Unlock()
	now := time.Now()
	ba.lastPacket = now
	ba.performFlowActions(now, ba.placer.HandlePacket(now, pk, datagram))
	ba.schedule(now)
}

// handleFlowMessage handles a message of an agent about flows. It is called with
// mu held.
func (ba *Balancer) handleFlowMessage(now time.Time, from netip.AddrPort, datagram []byte) {
	var err error
	var re carriage.Report
	switch waybill.KindOf(datagram) {
	case waybill.KindConfirm:
		var flow carriage.Flow
		if flow, re, err = waybill.DecodeConfirm(datagram); err == nil {
			ba.performFlowActions(now, ba.placer.HandleConfirmation(now, from, flow, re))
		}
	case waybill.KindDecline:
		re, err = ba.handleDecline(now, from, datagram)
	case waybill.KindHeld:
		var flow carriage.Flow
		var sure bool
		if flow, sure, err = waybill.DecodeHeld(datagram); err == nil {
			klog.InfoS("Flow search answered", "flow", flow, "agent", from, "sure", sure)
			ba.performFlowActions(now, ba.placer.HandleFindAnswer(now, from, flow, sure))
		}
	case waybill.KindHolders:
		var number uint32
		var answers []absence.Answer
		if number, answers, err = waybill.DecodeHolders(datagram); err == nil {
			klog.V(1).InfoS("Flow searches answered", "agent", from, "number", number, "answers", answers)
			ba.performFlowActions(now, ba.placer.HandleHolders(now, from, number, answers))
		}
	case waybill.KindReport:
		if re, err = waybill.DecodeReport(datagram); err == nil {
			ba.performFlowActions(now, ba.placer.HandleReport(now, from, re))
		}
	default:
		err = waybill.ErrMalformed
	}
	if err != nil {
		ba.refuseMessage(from, err)
		return
	}
	if re.Version > ba.view.Version() {
		ba.performMemberActions(now, ba.view.HandleVersion(from, re.Version))
	}
}

// handleDecline handles a packet that an agent declined and sent back. It returns
// the agent's report.
func (ba *Balancer) handleDecline(now time.Time, from netip.AddrPort, datagram []byte) (carriage.Report, error) {
	reason, re, packet, err := waybill.DecodeDecline(datagram)
	if err != nil {
		return re, err
	}
	pk, err := ba.config.Codec.DecodeCallerPacket(packet)
	if err != nil {
		return re, err
	}
	ba.metrics.Count("Declined."+reason.String(), 1)
	klog.InfoS("Packet declined", "flow", pk.Flow, "agent", from, "reason", reason, "opening", pk.Opening,
		"state", re.State, "inProgress", re.InProgress, "version", re.Version)
	ba.performFlowActions(now, ba.placer.HandleDecline(now, from, pk, packet, reason, re))
	return re, nil
}

// performFlowActions performs the actions of the placer. It is called with mu held.
func (ba *Balancer) performFlowActions(now time.Time, list []carriage.Action) {
	for i := range list {
		ac := &list[i]
		switch ac.Kind {
		case carriage.KindForward:
			ba.forward(now, ac)
		case carriage.KindReset:
			ba.sendReset(now, ac)
		case carriage.KindDrop:
			ba.metrics.Count("Dropped."+ac.Reason.String(), 1)
			klog.InfoS("Packet dropped", "flow", ac.Flow, "reason", ac.Reason, "opening", ac.Opening)
		case carriage.KindPark:
			ba.metrics.Count("Parked", 1)
			klog.InfoS("Opening waits for a host", "flow", ac.Flow, "version", ba.view.Version())
		case carriage.KindServed:
			ba.metrics.Observe("ConfirmedMilliseconds", ac.Flow.Service.String(), now.Sub(ac.Started))
		case carriage.KindFind:
			ba.find(ac)
		case carriage.KindPing:
			ba.scratch = waybill.AppendPing(ba.scratch[:0])
			ba.send(ac.To, ba.scratch)
		case carriage.KindPingBalancers:
			ba.performMemberActions(now, ba.view.PingBalancers(now))
		case carriage.KindSuspect:
			ba.metrics.Count("Suspicions", 1)
			klog.InfoS("Agent silent", "agent", ac.To, "reportAge", reportAge(now, ac.Reported))
		case carriage.KindRecovered:
			klog.InfoS("Agent answers again", "agent", ac.To, "pings", ac.Attempt)
		case carriage.KindRanking:
			ba.noteRanking(ac)
		}
	}
}

// find sends questions about flows to an agent. One that isn't known to take several in a
// message may be of a former build; it always is to say whether its host possibly holds the
// flow.
func (ba *Balancer) find(ac *carriage.Action) {
	ba.metrics.Count("Searches", int64(len(ac.Questions)))
	ba.metrics.Count("SearchMessages", 1)
	if ac.Batch {
		ba.scratch = waybill.AppendFindHolders(ba.scratch[:0], ac.Number, ac.Questions)
	} else {
		qu := ac.Questions[0]
		ba.scratch = waybill.AppendFindHolder(ba.scratch[:0], carriage.FindRequest{
			Flow: qu.Flow, Acknowledged: qu.Acknowledged, Possible: true, Number: ac.Number,
		})
	}
	ba.send(ac.To, ba.scratch)
}

// forward sends a caller's packet to the agent that the placer chose.
func (ba *Balancer) forward(now time.Time, ac *carriage.Action) {
	fo := waybill.Forward{Mode: ac.Mode, ServiceTag: ac.ServiceHash, Version: ba.view.Version()}
	if ac.Opening {
		fo.OpeningAge = now.Sub(ac.Started)
	}
	ba.scratch = waybill.AppendForward(ba.scratch[:0], fo, ac.Data)
	ba.send(ac.To, ba.scratch)
	if ac.Found {
		ba.metrics.Count("FlowsFound", 1)
		klog.InfoS("Flow found", "flow", ac.Flow, "agent", ac.To)
	}
	if !ac.Opening {
		return
	}
	ba.metrics.Count("Openings", 1)
	fields := []any{
		"flow", ac.Flow, "agent", ac.To, "attempt", ac.Attempt, "urgency", ac.Mode,
		"inProgress", ac.InProgress, "serviceTime", ac.ServiceTime, "reportAge", reportAge(now, ac.Reported), "version", fo.Version,
	}
	if ac.ByWork {
		ba.metrics.Count("OpeningsByWork", 1)
		fields = append(fields, "load", math.Round(100*ac.Load)/100)
	}
	klog.InfoS("Opening placed", fields...)
}

// noteRanking counts and logs a change between ranking by counts and by remaining work.
func (ba *Balancer) noteRanking(ac *carriage.Action) {
	name := "RankingByCounts"
	if ac.Sure {
		name = "RankingByWork"
	}
	ba.metrics.Count(name, 1)
	klog.InfoS("Ranking of hosts changed", "service", ac.Service, "byWork", ac.Sure,
		"advantage", math.Round(100*ac.Advantage)/100, "reporting", ac.Attempt)
}

// sendReset sends a reset to the caller: its opening is refused or its flow is lost.
func (ba *Balancer) sendReset(now time.Time, ac *carriage.Action) {
	ba.metrics.Count("Refused."+ac.Reason.String(), 1)
	klog.InfoS("Flow reset", "flow", ac.Flow, "reason", ac.Reason, "opening", ac.Opening, "version", ba.view.Version(),
		"confirmed", reportAge(now, ba.view.Confirmed()), "acknowledged", ac.Acknowledged, "absentAtAgents", ac.Agents)
	to := netip.AddrPortFrom(ac.Flow.Caller.Addr(), ba.settings.Callers.Port())
	if _, err := ba.callerConn.WriteToUDPAddrPort(ba.config.Codec.EncodeReset(ac.Flow, ac.Acknowledged), to); err != nil {
		klog.ErrorS(err, "Reset not sent", "flow", ac.Flow)
	}
}

// reportAge returns the age of a report that was received at the given time, or
// "none" if the time is zero because no report was received.
func reportAge(now, at time.Time) any {
	if at.IsZero() {
		return "none"
	}
	return now.Sub(at).Round(time.Millisecond)
}
