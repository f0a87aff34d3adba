package carrier

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/coordination/carriage"
	"corneltiller.dev/corneltiller/internal/coordination/members"
	"corneltiller.dev/corneltiller/internal/protocol/waybill"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
	"corneltiller.dev/corneltiller/internal/state/settings"
	"corneltiller.dev/corneltiller/internal/transport/gauge"
)

const (
	// quietBeforeStop is how long no packet may have come before a leaving
	// balancer ends: the fabric has turned to others by then.
	quietBeforeStop = 600 * time.Millisecond
	// leastStop is the least time of a graceful shutdown: two readiness probes
	// and their delays.
	leastStop = 1500 * time.Millisecond
)

// BalancerConfig is what a balancer is opened with.
type BalancerConfig struct {
	Settings settings.CarrierBalancer
	Codec    Codec
	Store    Store
	Metrics  *gauge.Registry
	// OpeningTimeout is when a caller gives up an opening without an answer.
	OpeningTimeout time.Duration
	// NewReadyHandler serves the readiness that the function reports.
	NewReadyHandler func(ready func() bool) http.Handler
}

// Balancer carries callers' packets to the agents.
type Balancer struct {
	*node
	config  BalancerConfig
	callers *net.UDPConn
	placer  *carriage.Placer
	// lastPacket is when the last packet of a caller came.
	lastPacket time.Time
	leaving    bool
}

// OpenBalancer opens the sockets of a balancer.
func OpenBalancer(co BalancerConfig) (*Balancer, error) {
	no, err := newNode(co.Settings.Carrier, co.Store, co.Metrics, members.RoleBalancer)
	if err != nil {
		return nil, err
	}
	callers, err := listenUDP(co.Settings.Callers)
	if err != nil {
		no.close()
		return nil, err
	}
	ba := &Balancer{node: no, config: co, callers: callers, placer: carriage.NewPlacer(no.started, carriage.PlacerSettings{
		Domain: co.Settings.Domain, OpeningTimeout: co.OpeningTimeout,
	})}
	no.tick = func(now time.Time) { ba.act(now, ba.placer.Tick(now)) }
	no.deadline = ba.placer.Deadline
	no.message = ba.takeWaybill
	no.heard = func(now time.Time, from netip.AddrPort) { ba.act(now, ba.placer.HandlePeerAlive(now, from)) }
	no.changed = ba.setAgents
	no.rerouted = func(now time.Time, ro *catalog.Routes) { ba.act(now, ba.placer.SetRoutes(now, ro)) }
	no.view.SetSelf(no.started, members.Record{State: register.StateReady})
	return ba, nil
}

// Run carries packets until the context ends, then stops gracefully.
func (ba *Balancer) Run(ctx context.Context) error {
	klog.InfoS("Balancer started", "name", ba.settings.Name, "domain", ba.settings.Domain,
		"peers", ba.settings.Peers, "callers", ba.settings.Callers, "store", ba.settings.Store)
	ready := ba.config.NewReadyHandler(ba.Ready)
	return ba.run(ctx, life{
		start: func(work context.Context, gr *errgroup.Group) {
			gr.Go(func() error { return read(ba.callers, ba.takePacket) })
			gr.Go(func() error { return serve(work, ba.settings.Ready, ready) })
			gr.Go(func() error { return serve(work, ba.config.Settings.Control, ready) })
			gr.Go(func() error { return ba.follow(work) })
			gr.Go(func() error { return ba.clean(work) })
		},
		leave: func(now time.Time) {
			ba.leaving = true
			ba.perform(now, ba.view.SetSelf(now, members.Record{State: register.StateDraining}))
		},
		idle:  func(now time.Time) bool { return now.Sub(ba.lastPacket) > quietBeforeStop },
		least: leastStop,
		close: func() { ba.callers.Close() },
	})
}

// Ready reports whether the fabric may send packets here.
func (ba *Balancer) Ready() bool {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	return !ba.leaving && ba.placer.Ready(time.Now())
}

// setAgents hands the agents of the view to the placer.
func (ba *Balancer) setAgents(now time.Time) {
	var list []carriage.Agent
	others := 0
	for _, re := range ba.view.Records() {
		if re.Role != members.RoleAgent {
			others++
			continue
		}
		list = append(list, carriage.Agent{
			Revision: re.Revision, Address: re.Address, Service: re.Service, Domain: re.Domain,
			State: re.State, Slots: re.Slots, ServiceTime: re.ServiceTime,
		})
	}
	ba.placer.SetOtherBalancers(others)
	ba.act(now, ba.placer.SetAgents(now, list))
	ba.board.Set("Agents", int64(len(list)))
}

// takePacket handles a packet from the fabric.
func (ba *Balancer) takePacket(_ netip.AddrPort, datagram []byte) {
	pk, err := ba.config.Codec.DecodeCallerPacket(datagram)
	if err != nil {
		ba.board.Count("PacketsRefused", 1)
		return
	}
	ba.mu.Lock()
	defer ba.mu.Unlock()
	now := time.Now()
	ba.lastPacket = now
	ba.act(now, ba.placer.HandlePacket(now, pk, datagram))
	ba.schedule(now)
}

// takeWaybill handles a message of an agent about flows.
func (ba *Balancer) takeWaybill(now time.Time, from netip.AddrPort, datagram []byte) {
	var err error
	var re carriage.Report
	switch waybill.KindOf(datagram) {
	case waybill.KindConfirm:
		var flow carriage.Flow
		if flow, re, err = waybill.DecodeConfirm(datagram); err == nil {
			ba.act(now, ba.placer.HandleConfirmation(now, from, flow, re))
		}
	case waybill.KindDecline:
		re, err = ba.takeDecline(now, from, datagram)
	case waybill.KindHeld:
		var flow carriage.Flow
		var sure bool
		if flow, sure, err = waybill.DecodeHeld(datagram); err == nil {
			klog.InfoS("Holder named", "flow", flow, "agent", from, "sure", sure)
			ba.act(now, ba.placer.HandleFindAnswer(now, from, flow, sure))
		}
	case waybill.KindReport:
		if re, err = waybill.DecodeReport(datagram); err == nil {
			ba.act(now, ba.placer.HandleReport(now, from, re))
		}
	default:
		err = waybill.ErrMalformed
	}
	if err != nil {
		ba.refuse(from, err)
		return
	}
	if re.Version > ba.view.Version() {
		ba.perform(now, ba.view.HandleVersion(from, re.Version))
	}
}

func (ba *Balancer) takeDecline(now time.Time, from netip.AddrPort, datagram []byte) (carriage.Report, error) {
	why, re, packet, err := waybill.DecodeDecline(datagram)
	if err != nil {
		return re, err
	}
	pk, err := ba.config.Codec.DecodeCallerPacket(packet)
	if err != nil {
		return re, err
	}
	ba.board.Count("Declined."+why.String(), 1)
	klog.InfoS("Packet declined", "flow", pk.Flow, "agent", from, "reason", why, "opening", pk.Opening,
		"state", re.State, "inProgress", re.InProgress, "version", re.Version)
	ba.act(now, ba.placer.HandleDecline(now, from, pk, packet, why, re))
	return re, nil
}

// act carries out what the placer wants done.
func (ba *Balancer) act(now time.Time, list []carriage.Action) {
	for i := range list {
		ac := &list[i]
		switch ac.Kind {
		case carriage.KindForward:
			ba.carry(now, ac)
		case carriage.KindReset:
			ba.reset(ac)
		case carriage.KindDrop:
			ba.board.Count("Dropped."+ac.Reason.String(), 1)
			klog.InfoS("Packet dropped", "flow", ac.Flow, "reason", ac.Reason, "opening", ac.Opening)
		case carriage.KindPark:
			ba.board.Count("Parked", 1)
			klog.InfoS("Opening waits for a host", "flow", ac.Flow, "version", ba.view.Version())
		case carriage.KindServed:
			ba.board.Observe("ConfirmedMilliseconds", ac.Flow.Service.String(), now.Sub(ac.Started))
		case carriage.KindFind:
			ba.board.Count("Searches", 1)
			ba.scratch = waybill.AppendFind(ba.scratch[:0], ac.Flow, ac.Acknowledged)
			ba.send(ac.To, ba.scratch)
		case carriage.KindPing:
			ba.scratch = waybill.AppendPing(ba.scratch[:0])
			ba.send(ac.To, ba.scratch)
		case carriage.KindPingBalancers:
			ba.perform(now, ba.view.PingBalancers(now))
		case carriage.KindSuspect:
			ba.board.Count("Suspicions", 1)
			klog.InfoS("Agent silent", "agent", ac.To, "reportAge", age(now, ac.Reported))
		case carriage.KindRecovered:
			klog.InfoS("Agent answers again", "agent", ac.To, "pings", ac.Attempt)
		}
	}
}

func (ba *Balancer) carry(now time.Time, ac *carriage.Action) {
	ca := waybill.Carry{Urgency: ac.Mode, Tag: ac.ServiceHash, Version: ba.view.Version()}
	if ac.Opening {
		ca.Waited = now.Sub(ac.Started)
	}
	ba.scratch = waybill.AppendCarry(ba.scratch[:0], ca, ac.Data)
	ba.send(ac.To, ba.scratch)
	if !ac.Opening {
		return
	}
	ba.board.Count("Openings", 1)
	klog.InfoS("Opening placed", "flow", ac.Flow, "agent", ac.To, "attempt", ac.Attempt, "urgency", ac.Mode,
		"inProgress", ac.InProgress, "serviceTime", ac.ServiceTime, "reportAge", age(now, ac.Reported), "version", ca.Version)
}

// reset tells the caller that its flow is refused or lost.
func (ba *Balancer) reset(ac *carriage.Action) {
	ba.board.Count("Refused."+ac.Reason.String(), 1)
	klog.InfoS("Flow reset", "flow", ac.Flow, "reason", ac.Reason, "opening", ac.Opening, "version", ba.view.Version())
	to := netip.AddrPortFrom(ac.Flow.Caller.Addr(), ba.settings.Callers.Port())
	if _, err := ba.callers.WriteToUDPAddrPort(ba.config.Codec.EncodeReset(ac.Flow, ac.Acknowledged), to); err != nil {
		klog.ErrorS(err, "Reset not sent", "flow", ac.Flow)
	}
}

// age returns how old a report is; a report that never came has none.
func age(now, at time.Time) any {
	if at.IsZero() {
		return "none"
	}
	return now.Sub(at).Round(time.Millisecond)
}
