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

	"corneltiller.dev/corneltiller/internal/coordination/carriage"
	"corneltiller.dev/corneltiller/internal/coordination/members"
	"corneltiller.dev/corneltiller/internal/protocol/waybill"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/settings"
	"corneltiller.dev/corneltiller/internal/transport/gauge"
)

// agentStop is the least time of an agent's graceful shutdown: the balancers
// hear of it within that time.
const agentStop = 300 * time.Millisecond

// AgentConfig is what an agent is opened with.
type AgentConfig struct {
	Settings settings.CarrierAgent
	Codec    Codec
	Store    Store
	Metrics  *gauge.Registry
	// OpeningTimeout is when a caller gives up an opening without an answer.
	OpeningTimeout time.Duration
	// NewReadyHandler serves the readiness that the function reports.
	NewReadyHandler func(ready func() bool) http.Handler
	// NewControlHandler serves the check-ins of the host.
	NewControlHandler func(ag *Agent) http.Handler
}

// Agent carries packets between the balancers, its host and the callers.
type Agent struct {
	*node
	config   AgentConfig
	hostConn *net.UDPConn
	gate     *carriage.Gate
	leaving  bool
	// routed tells that routes have come.
	routed chan struct{}
}

// OpenAgent opens the sockets of an agent.
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
	ag := &Agent{node: no, config: co, hostConn: hostConn, routed: make(chan struct{}, 1)}
	ag.gate = carriage.NewGate(no.started, carriage.GateSettings{
		HeartbeatInterval: time.Duration(co.Settings.HeartbeatInterval),
		FlowLifetime:      time.Duration(co.Settings.FlowLifetime),
		OpeningTimeout:    co.OpeningTimeout,
		FirstStart:        co.Settings.FirstStart,
	})
	no.tick = func(now time.Time) {
		if !now.Before(ag.gate.Deadline()) {
			ag.act(now, ag.gate.Tick(now))
		}
	}
	no.deadline = ag.gate.Deadline
	no.message = ag.takeWaybill
	no.changed = func(time.Time) {}
	no.heard = func(time.Time, netip.AddrPort) {}
	no.rerouted = func(_ time.Time, ro *catalog.Routes) {
		ag.gate.SetRoutes(ro)
		signal(ag.routed)
	}
	return ag, nil
}

// Run carries packets until the context ends, then stops gracefully.
func (ag *Agent) Run(ctx context.Context) error {
	klog.InfoS("Agent started", "name", ag.settings.Name, "domain", ag.settings.Domain,
		"peers", ag.settings.Peers, "backend", ag.config.Settings.Backend, "store", ag.settings.Store)
	return ag.run(ctx, life{
		start: func(work context.Context, gr *errgroup.Group) {
			gr.Go(func() error { return read(ag.hostConn, ag.takeHostPacket) })
			gr.Go(func() error { return serve(work, ag.config.Settings.Control, ag.config.NewControlHandler(ag)) })
			gr.Go(func() error { return serve(work, ag.settings.Ready, ag.config.NewReadyHandler(ag.Ready)) })
			if !ag.config.Settings.FirstStart {
				gr.Go(func() error { return ag.presume(work) })
			}
		},
		leave: func(now time.Time) {
			ag.leaving = true
			ag.act(now, ag.gate.Drain(now))
		},
		idle:  func(time.Time) bool { return ag.gate.InProgress() == 0 },
		least: agentStop,
		close: func() { ag.hostConn.Close() },
	})
}

// healthTimeout bounds the question after the host's health.
const healthTimeout = 500 * time.Millisecond

// presume asks the host for its health once, as soon as the path is known, so
// that an agent that was restarted need not wait for the next check-in.
func (ag *Agent) presume(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-ag.routed:
	}
	service := ag.config.Settings.Service
	ag.mu.Lock()
	path, known := ag.routes.HealthPaths[service], ag.gate.Service() != ""
	ag.mu.Unlock()
	if path == "" || known {
		return nil
	}
	err := ag.askHealth(ctx, path)
	klog.InfoS("Host asked for its health", "service", service, "healthy", err == nil, "err", err)
	if err != nil {
		return nil
	}
	ag.mu.Lock()
	defer ag.mu.Unlock()
	now := time.Now()
	ag.act(now, ag.gate.PresumeHealthy(now, service))
	ag.schedule(now)
	return nil
}

// askHealth returns nil if the host says that it is healthy and not leaving.
func (ag *Agent) askHealth(ctx context.Context, path string) error {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	backend := ag.config.Settings.Backend
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+backend.String()+path, http.NoBody)
	if err != nil {
		return errors.Wrapf(err, "ask host %s for its health", backend)
	}
	rq.Close = true
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return errors.Wrapf(err, "ask host %s for its health", backend)
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return errors.Errorf("ask host %s for its health: status %d", backend, rs.StatusCode)
	}
	return nil
}

// Ready reports whether the host takes new flows.
func (ag *Agent) Ready() bool {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	return !ag.leaving && ag.gate.Report(time.Now()).State.TakesNewWork()
}

// CheckIn takes the host's word about itself and reports whether it is current.
func (ag *Agent) CheckIn(now time.Time, ci carriage.CheckIn) bool {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	before := ag.gate.Report(now).State
	list, current := ag.gate.CheckIn(now, ci)
	ag.board.Count("CheckIns", 1)
	state := ag.gate.Report(now).State
	if !current || state != before {
		klog.InfoS("Check-in", "host", ci.Name, "sequence", ci.Sequence, "draining", ci.Draining,
			"current", current, "before", before, "state", state)
	}
	ag.act(now, list)
	ag.schedule(now)
	return current
}

// CheckOut takes the host's word that it ends.
func (ag *Agent) CheckOut(now time.Time, name string) {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	list, current := ag.gate.CheckOut(now, name)
	klog.InfoS("Check-out", "host", name, "current", current)
	ag.act(now, list)
	ag.schedule(now)
}

// RejectCheckIn notes a check-in that can't be read.
func (ag *Agent) RejectCheckIn(name string, err error) {
	ag.board.Count("CheckInsRefused", 1)
	klog.ErrorS(err, "Check-in refused", "host", name)
}

// takeHostPacket handles a packet of the host.
func (ag *Agent) takeHostPacket(_ netip.AddrPort, datagram []byte) {
	pk, err := ag.config.Codec.DecodeHostPacket(datagram)
	if err != nil {
		ag.board.Count("PacketsRefused", 1)
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
	ag.act(now, ag.gate.HandleHostPacket(now, pk, datagram))
	ag.schedule(now)
}

// takeWaybill handles a message of a balancer about flows.
func (ag *Agent) takeWaybill(now time.Time, from netip.AddrPort, datagram []byte) {
	switch waybill.KindOf(datagram) {
	case waybill.KindCarry:
		ag.takeCarry(now, from, datagram)
	case waybill.KindFind:
		flow, acknowledged, err := waybill.DecodeFind(datagram)
		if err != nil {
			ag.refuse(from, err)
			return
		}
		ag.act(now, ag.gate.HandleFind(now, from, flow, acknowledged))
	case waybill.KindPing:
		ag.scratch = waybill.AppendReport(ag.scratch[:0], ag.gate.Report(now))
		ag.send(from, ag.scratch)
	default:
		ag.refuse(from, waybill.ErrMalformed)
	}
}

func (ag *Agent) takeCarry(now time.Time, from netip.AddrPort, datagram []byte) {
	ca, packet, err := waybill.DecodeCarry(datagram)
	if err != nil {
		ag.refuse(from, err)
		return
	}
	pk, err := ag.config.Codec.DecodeCallerPacket(packet)
	if err != nil {
		ag.refuse(from, err)
		return
	}
	klog.V(2).InfoS("Caller packet", "flow", pk.Flow, "balancer", from, "opening", pk.Opening, "copy", pk.Copy,
		"finishes", pk.Finishes, "resets", pk.Resets, "urgency", ca.Urgency, "bytes", len(packet))
	of := carriage.ForwardedPacket{
		Packet: pk, From: from, Mode: ca.Urgency, Started: now.Add(-ca.Waited), ServiceHash: ca.Tag, Version: ca.Version,
	}
	ag.act(now, ag.gate.HandleForwarded(now, of, packet))
	if ca.Version > ag.view.Version() {
		ag.perform(now, ag.view.HandleVersion(from, ca.Version))
	}
}

// act carries out what the gate wants done.
func (ag *Agent) act(now time.Time, list []carriage.Action) {
	for i := range list {
		ac := &list[i]
		switch ac.Kind {
		case carriage.KindDeliver:
			ag.deliver(ac)
		case carriage.KindReturn:
			ag.write(ac, netip.AddrPortFrom(ac.Flow.Caller.Addr(), ag.settings.Callers.Port()))
		case carriage.KindConfirm:
			klog.InfoS("Opening accepted", "flow", ac.Flow, "balancer", ac.To, "waits", ac.Reason == carriage.ReasonBusy,
				"inProgress", ag.gate.InProgress())
			ag.scratch = waybill.AppendConfirm(ag.scratch[:0], ac.Flow, ag.gate.Report(now))
			ag.send(ac.To, ag.scratch)
		case carriage.KindServed:
			ag.board.Observe("ServedMilliseconds", ac.Flow.Service.String(), now.Sub(ac.Started))
			klog.InfoS("Flow answered", "flow", ac.Flow, "took", now.Sub(ac.Started).Round(time.Millisecond))
		case carriage.KindDecline:
			ag.board.Count("Declined."+ac.Reason.String(), 1)
			klog.InfoS("Packet declined", "flow", ac.Flow, "reason", ac.Reason, "opening", ac.Opening,
				"balancer", ac.To, "inProgress", ac.InProgress)
			ag.scratch = waybill.AppendDecline(ag.scratch[:0], ac.Reason, ag.gate.Report(now), ac.Data)
			ag.send(ac.To, ag.scratch)
		case carriage.KindHeld:
			klog.InfoS("Flow claimed", "flow", ac.Flow, "balancer", ac.To, "sure", ac.Sure)
			ag.scratch = waybill.AppendHeld(ag.scratch[:0], ac.Flow, ac.Sure)
			ag.send(ac.To, ag.scratch)
		case carriage.KindDrop:
			ag.board.Count("Dropped."+ac.Reason.String(), 1)
			klog.InfoS("Packet dropped", "flow", ac.Flow, "reason", ac.Reason)
		case carriage.KindAnnounce:
			ag.announce(now)
		}
	}
}

// deliver hands a packet to the host.
func (ag *Agent) deliver(ac *carriage.Action) {
	if ac.Opening {
		ag.board.Count("Openings", 1)
		klog.InfoS("Opening handed over", "flow", ac.Flow, "inProgress", ac.InProgress)
	}
	ag.write(ac, ag.config.Settings.Backend)
}

func (ag *Agent) write(ac *carriage.Action, to netip.AddrPort) {
	if _, err := ag.hostConn.WriteToUDPAddrPort(ac.Data, to); err != nil {
		ag.board.Count("SendsFailed", 1)
		klog.V(1).InfoS("Packet not sent", "flow", ac.Flow, "to", to, "err", err)
	}
}

// announce spreads the state of the host.
func (ag *Agent) announce(now time.Time) {
	re := ag.gate.Report(now)
	klog.InfoS("Host state", "state", re.State, "service", ag.gate.Service(), "slots", re.Slots,
		"serviceTime", re.ServiceTime.Round(time.Millisecond))
	ag.perform(now, ag.view.SetSelf(now, members.Record{
		State: re.State, Service: ag.gate.Service(), Slots: re.Slots, ServiceTime: re.ServiceTime.Round(time.Millisecond),
	}))
}
