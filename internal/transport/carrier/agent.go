package carrier

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/coordination/absence"
	"corneltiller.dev/corneltiller/internal/coordination/carriage"
	"corneltiller.dev/corneltiller/internal/coordination/evacuation"
	"corneltiller.dev/corneltiller/internal/coordination/members"
	"corneltiller.dev/corneltiller/internal/protocol/waybill"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/settings"
	"corneltiller.dev/corneltiller/internal/transport/gauge"
)

// minAgentStopTime is the shortest time of an agent's graceful shutdown:
// within it the balancers learn that the host takes no new flows.
const minAgentStopTime = 300 * time.Millisecond

// AgentConfig is the configuration of an agent.
type AgentConfig struct {
	Settings settings.CarrierAgent
	Codec    Codec
	Store    Store
	Metrics  *gauge.Registry
	// OpeningTimeout is how long after its first opening packet a caller gives up
	// if it gets no answer.
	OpeningTimeout time.Duration
	// NewReadyHandler returns the handler that serves the readiness that ready
	// reports.
	NewReadyHandler func(ready func() bool) http.Handler
	// NewControlHandler returns the handler that serves the check-ins of the
	// agent's host.
	NewControlHandler func(ag *Agent) http.Handler
}

// Agent delivers callers' packets, which balancers forward, to its host and sends
// the host's packets to the callers. It is safe for concurrent use.
type Agent struct {
	*node
	config AgentConfig
	// hostConn exchanges packets with the host and sends the host's packets to the
	// callers.
	hostConn *net.UDPConn
	// gate is the agent's state machine.
	gate     *carriage.Gate
	draining bool
	// routesReceived is signaled when routes are put in force.
	routesReceived chan struct{}
}

// OpenAgent opens the UDP sockets of an agent. An error names the address that
// can't be listened on.
func OpenAgent(co AgentConfig) (*Agent, error) {
	no, err := newNode(co.Settings.Carrier, co.Store, co.Metrics, members.RoleAgent)
	if err != nil {
		return nil, err
	}
	hostConn, err := listenUDP(co.Settings.HostPackets)
	if err != nil {
		no.close()
		return nil, err
	}
	no.firstStart = co.Settings.FirstStart
	ag := &Agent{node: no, config: co, hostConn: hostConn, routesReceived: make(chan struct{}, 1)}
	ag.gate = carriage.NewGate(no.started, carriage.GateSettings{
		Service:           co.Settings.Service,
		HostAddress:       co.Settings.Backend,
		HeartbeatInterval: time.Duration(co.Settings.HeartbeatInterval),
		FlowLifetime:      time.Duration(co.Settings.FlowLifetime),
		OpeningTimeout:    co.OpeningTimeout,
		FirstStart:        co.Settings.FirstStart,
		ReportsWork:       co.Settings.ByRemainingWork(),
	})
	no.onDeadline = func(now time.Time) {
		if !now.Before(ag.gate.Deadline()) {
			ag.performFlowActions(now, ag.gate.Tick(now))
		}
	}
	no.deadline = ag.gate.Deadline
	no.onFlowMessage = ag.handleFlowMessage
	no.onEntriesListed = func(time.Time) {}
	no.onMemberChanged = func(time.Time, members.Record) {}
	no.onMemberRemoved = func(netip.AddrPort) {}
	no.onMemberHeard = func(time.Time, netip.AddrPort) {}
	no.onRoutes = func(_ time.Time, ro *catalog.Routes) {
		ag.gate.SetRoutes(ro)
		signal(ag.routesReceived)
	}
	no.onEvacuations = func(now time.Time, set evacuation.Set) {
		ag.performFlowActions(now, ag.gate.SetEvacuated(now, set.Contains(ag.settings.Domain)))
	}
	return ag, nil
}

// Run delivers packets until the context ends, then shuts down gracefully. It
// returns the first error of a server, wrapped with the address.
func (ag *Agent) Run(ctx context.Context) error {
	klog.InfoS("Agent started", "name", ag.settings.Name, "domain", ag.settings.Domain,
		"peers", ag.settings.Peers, "backend", ag.config.Settings.Backend, "store", ag.settings.Store)
	return ag.run(ctx, lifecycle{
		start: func(work context.Context, gr *errgroup.Group) {
			gr.Go(func() error { return readDatagrams(ag.hostConn, ag.handleHostPacket) })
			gr.Go(func() error { return serve(work, ag.config.Settings.Control, ag.config.NewControlHandler(ag)) })
			gr.Go(func() error { return serve(work, ag.settings.Ready, ag.config.NewReadyHandler(ag.Ready)) })
			if !ag.config.Settings.FirstStart {
				gr.Go(func() error { return ag.checkHostAtStart(work) })
			}
		},
		drain: func(now time.Time) {
			ag.draining = true
			ag.performFlowActions(now, ag.gate.Drain(now))
		},
		idle:         func(time.Time) bool { return ag.gate.Idle() },
		minStopTime:  minAgentStopTime,
		leaves:       func() bool { return ag.gate.Gone() },
		closeSockets: func() { ag.hostConn.Close() },
	})
}

// healthCheckTimeout bounds the health check of checkHostAtStart.
const healthCheckTimeout = 500 * time.Millisecond

// checkHostAtStart checks the host's health once, when the first routes are put in
// force, so that an agent that was restarted need not wait for the next check-in.
// It does nothing if the routes have no health path for the service, or if the
// host has checked in by then.
func (ag *Agent) checkHostAtStart(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-ag.routesReceived:
	}
	service := ag.config.Settings.Service
	ag.mu.Lock()
	path, known := ag.routes.HealthPaths[service], ag.gate.Service() != ""
	ag.mu.Unlock()
	if path == "" || known {
		return nil
	}
	err := ag.checkHealth(ctx, path)
	klog.InfoS("Host health checked", "service", service, "healthy", err == nil, "err", err)
	if err != nil {
		return nil
	}
	ag.mu.Lock()
	defer ag.mu.Unlock()
	now := time.Now()
	ag.performFlowActions(now, ag.gate.PresumeHealthy(now))
	ag.schedule(now)
	return nil
}

// checkHealth returns nil if the host's health check answers with status 200: the
// host is healthy and not draining.
func (ag *Agent) checkHealth(ctx context.Context, path string) error {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	backend := ag.config.Settings.Backend
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+backend.String()+path, http.NoBody)
	if err != nil {
		return errors.Wrapf(err, "check health of host %s", backend)
	}
	rq.Close = true
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return errors.Wrapf(err, "check health of host %s", backend)
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return errors.Errorf("check health of host %s: status %d", backend, rs.StatusCode)
	}
	return nil
}

// Ready reports whether the host could take new flows. It does so also while the failure
// domain is evacuated: the process and its host are well, and must not be replaced.
func (ag *Agent) Ready() bool {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	return !ag.draining && ag.gate.HostState(time.Now()).TakesNewWork()
}

// CheckIn handles a check-in of the host. It returns carriage.ErrOtherHost or
// carriage.ErrOldCheckIn for one that changes nothing.
func (ag *Agent) CheckIn(now time.Time, ci carriage.CheckIn) error {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	before, wasCertain := ag.gate.Report(now).State, ag.gate.Certain(now)
	list, err := ag.gate.CheckIn(now, ci)
	ag.metrics.Count("CheckIns", 1)
	state, certain := ag.gate.Report(now).State, ag.gate.Certain(now)
	if err != nil || state != before || certain != wasCertain {
		klog.InfoS("Check-in", "host", ci.Name, "started", ci.StartedAt, "sequence", ci.Sequence, "service", ci.Service,
			"address", ci.Address, "draining", ci.Draining, "before", before, "state", state, "certain", certain, "err", err)
	}
	ag.performFlowActions(now, list)
	ag.schedule(now)
	return err
}

// CheckOut handles the message of the host that it stops. It changes nothing if a
// host of another name has checked in.
func (ag *Agent) CheckOut(now time.Time, name string) {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	list, current := ag.gate.CheckOut(now, name)
	klog.InfoS("Check-out", "host", name, "current", current)
	ag.performFlowActions(now, list)
	ag.schedule(now)
}

// RejectCheckIn counts and logs a check-in that can't be decoded.
func (ag *Agent) RejectCheckIn(name string, err error) {
	ag.metrics.Count("CheckInsRefused", 1)
	klog.ErrorS(err, "Check-in refused", "host", name)
}

// handleHostPacket handles a packet from the host.
func (ag *Agent) handleHostPacket(_ netip.AddrPort, datagram []byte) {
	pk, err := ag.config.Codec.DecodeHostPacket(datagram)
	if err != nil {
		ag.metrics.Count("PacketsRefused", 1)
		return
	}
	if pk.Returned {
		ag.config.Codec.ClearReturned(datagram)
	}
	ag.mu.Lock()
	defer ag.mu.Unlock()
	now := time.Now()
	klog.V(2).InfoS("Host packet", "flow", pk.Flow, "accepting", pk.Accepting, "finishes", pk.Finishes,
		"resets", pk.Resets, "returned", pk.Returned, "bytes", len(datagram))
	ag.performFlowActions(now, ag.gate.HandleHostPacket(now, pk, datagram))
	ag.schedule(now)
}

// handleFlowMessage handles a message of a balancer about flows. It is called with
// mu held.
func (ag *Agent) handleFlowMessage(now time.Time, from netip.AddrPort, datagram []byte) {
	switch waybill.KindOf(datagram) {
	case waybill.KindForward:
		ag.handleForwarded(now, from, datagram)
	case waybill.KindFindHolder:
		fr, err := waybill.DecodeFindHolder(datagram)
		if err != nil {
			ag.refuseMessage(from, err)
			return
		}
		ag.performFlowActions(now, ag.gate.HandleFind(now, from, fr))
	case waybill.KindFindHolders:
		number, list, err := waybill.DecodeFindHolders(datagram)
		if err != nil {
			ag.refuseMessage(from, err)
			return
		}
		ag.performFlowActions(now, ag.gate.HandleFindHolders(now, from, number, list))
	case waybill.KindPing:
		ag.scratch = waybill.AppendReport(ag.scratch[:0], ag.gate.Report(now))
		ag.send(from, ag.scratch)
	default:
		ag.refuseMessage(from, waybill.ErrMalformed)
	}
}

// handleForwarded handles a caller's packet that a balancer has forwarded.
func (ag *Agent) handleForwarded(now time.Time, from netip.AddrPort, datagram []byte) {
	fo, packet, err := waybill.DecodeForward(datagram)
	if err != nil {
		ag.refuseMessage(from, err)
		return
	}
	pk, err := ag.config.Codec.DecodeCallerPacket(packet)
	if err != nil {
		ag.refuseMessage(from, err)
		return
	}
	klog.V(2).InfoS("Caller packet", "flow", pk.Flow, "balancer", from, "opening", pk.Opening, "copy", pk.Copy,
		"finishes", pk.Finishes, "resets", pk.Resets, "urgency", fo.Mode, "bytes", len(packet))
	fp := carriage.ForwardedPacket{
		Packet: pk, From: from, Mode: fo.Mode, Started: now.Add(-fo.OpeningAge), ServiceHash: fo.ServiceTag, Version: fo.Version,
	}
	ag.performFlowActions(now, ag.gate.HandleForwarded(now, fp, packet))
	if fo.Version > ag.view.Version() {
		ag.performMemberActions(now, ag.view.HandleVersion(from, fo.Version))
	}
}

// performFlowActions performs the actions of the gate. It is called with mu held.
func (ag *Agent) performFlowActions(now time.Time, list []carriage.Action) {
	for i := range list {
		ac := &list[i]
		switch ac.Kind {
		case carriage.KindDeliver:
			ag.deliver(ac)
		case carriage.KindReturn:
			ag.sendFromHostSocket(ac, netip.AddrPortFrom(ac.Flow.Caller.Addr(), ag.settings.Callers.Port()))
		case carriage.KindConfirm:
			klog.InfoS("Opening accepted", "flow", ac.Flow, "balancer", ac.To, "waits", ac.Reason == carriage.ReasonBusy,
				"inProgress", ag.gate.InProgress())
			ag.scratch = waybill.AppendConfirm(ag.scratch[:0], ac.Flow, ag.gate.ReportOn(now, ac.Flow))
			ag.send(ac.To, ag.scratch)
		case carriage.KindServed:
			ag.metrics.Observe("ServedMilliseconds", ac.Flow.Service.String(), now.Sub(ac.Started))
			klog.InfoS("Request answered", "flow", ac.Flow, "took", now.Sub(ac.Started).Round(time.Millisecond))
		case carriage.KindDecline:
			ag.metrics.Count("Declined."+ac.Reason.String(), 1)
			klog.InfoS("Packet declined", "flow", ac.Flow, "reason", ac.Reason, "opening", ac.Opening,
				"balancer", ac.To, "acknowledged", ac.Acknowledged, "inProgress", ac.InProgress)
			ag.decline(now, ac)
		case carriage.KindHeld:
			klog.InfoS("Flow claimed", "flow", ac.Flow, "balancer", ac.To, "sure", ac.Sure, "acknowledged", ac.Acknowledged)
			ag.scratch = waybill.AppendHeld(ag.scratch[:0], ac.Flow, ac.Sure)
			ag.send(ac.To, ag.scratch)
		case carriage.KindHolders:
			ag.answerQuestions(now, ac)
		case carriage.KindDrop:
			ag.metrics.Count("Dropped."+ac.Reason.String(), 1)
			klog.InfoS("Packet dropped", "flow", ac.Flow, "reason", ac.Reason)
		case carriage.KindAnnounce:
			ag.announce(now)
		}
	}
}

// answerQuestions sends the answers to a balancer's questions about flows.
func (ag *Agent) answerQuestions(now time.Time, ac *carriage.Action) {
	for i, an := range ac.Answers {
		ag.metrics.Count("Answers."+an.String(), 1)
		if an == absence.Held {
			klog.InfoS("Flow claimed", "flow", ac.Questions[i].Flow, "balancer", ac.To, "sure", true,
				"acknowledged", ac.Questions[i].Acknowledged)
		}
	}
	klog.V(1).InfoS("Flow searches answered", "balancer", ac.To, "number", ac.Number, "answers", ac.Answers,
		"certain", ag.gate.Certain(now))
	ag.scratch = waybill.AppendHolders(ag.scratch[:0], ac.Number, ac.Answers)
	ag.send(ac.To, ag.scratch)
}

// decline sends a packet back to the balancer. The message has no room for the host's
// remaining work, which the balancer needs to choose the next host, so a report goes
// before it if there is such work to report.
func (ag *Agent) decline(now time.Time, ac *carriage.Action) {
	re := ag.gate.Report(now)
	if ac.Opening && re.Work.Valid() {
		ag.scratch = waybill.AppendReport(ag.scratch[:0], re)
		ag.send(ac.To, ag.scratch)
	}
	ag.scratch = waybill.AppendDecline(ag.scratch[:0], ac.Reason, re, ac.Data)
	ag.send(ac.To, ag.scratch)
}

// deliver sends a caller's packet to the host.
func (ag *Agent) deliver(ac *carriage.Action) {
	if ac.Opening {
		ag.metrics.Count("Openings", 1)
		klog.InfoS("Opening handed over", "flow", ac.Flow, "inProgress", ac.InProgress)
	}
	ag.sendFromHostSocket(ac, ag.config.Settings.Backend)
}

// sendFromHostSocket sends the action's packet from the socket that receives the
// host's packets. A failure is counted and logged: the network may lose any
// packet.
func (ag *Agent) sendFromHostSocket(ac *carriage.Action, to netip.AddrPort) {
	if _, err := ag.hostConn.WriteToUDPAddrPort(ac.Data, to); err != nil {
		ag.metrics.Count("SendsFailed", 1)
		klog.V(1).InfoS("Packet not sent", "flow", ac.Flow, "to", to, "err", err)
	}
}

// announce puts the state of the host into the agent's membership record, which is
// sent to the balancers if it has changed.
func (ag *Agent) announce(now time.Time) {
	re := ag.gate.Report(now)
	klog.InfoS("Host state", "state", re.State, "service", ag.gate.Service(), "slots", re.Slots,
		"serviceTime", re.ServiceTime.Round(time.Millisecond))
	ag.performMemberActions(now, ag.view.SetSelf(now, members.Record{
		State: re.State, Service: ag.gate.Service(), Slots: re.Slots, ServiceTime: re.ServiceTime.Round(time.Millisecond),
	}))
}
