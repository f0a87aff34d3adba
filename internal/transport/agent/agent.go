// Package agent is the shell of the small process beside a backend server: it
// ends the callers' QUIC connections, hands their requests to the backend
// server and announces the host.
//
// # Usage
//
//	ag, err := agent.Open(ctx, cfg)
//	err = ag.Run(ctx)
package agent

import (
	"context"
	"crypto/sha256"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/coordination/delivery"
	"corneltiller.dev/corneltiller/internal/coordination/route"
	"corneltiller.dev/corneltiller/internal/protocol/envelope"
	"corneltiller.dev/corneltiller/internal/protocol/label"
	"corneltiller.dev/corneltiller/internal/state/register"
	"corneltiller.dev/corneltiller/internal/state/settings"
	"corneltiller.dev/corneltiller/internal/transport/desk"
	"corneltiller.dev/corneltiller/internal/transport/fleet"
	"corneltiller.dev/corneltiller/internal/transport/follower"
	"corneltiller.dev/corneltiller/internal/transport/gauge"
	"corneltiller.dev/corneltiller/internal/transport/keys"
	"corneltiller.dev/corneltiller/internal/transport/link"
	"corneltiller.dev/corneltiller/internal/transport/socket"
)

const (
	// handshakeGrace is how long an agent that stops goes on taking the flows
	// that it has opened.
	handshakeGrace = time.Second
	loadCheck      = 500 * time.Millisecond
	// idleTimeout ends flows whose caller has vanished.
	idleTimeout = 60 * time.Second
	// maxFlows bounds the flows that the agent knows, its own and others'.
	maxFlows = 1 << 17
	// initialPacketSize leaves room for the envelope on a path of 1,280 bytes.
	initialPacketSize = 1200
)

// Config is what an agent needs to run.
type Config struct {
	settings.Agent
	Material *keys.Store
	Board    *gauge.Registry
}

// Agent serves one backend server.
type Agent struct {
	cfg       Config
	service   register.ServiceID
	labels    *label.Codec
	envelopes *envelope.Codec
	socket    *socket.Group
	relay     *relay
	labeler   *labeler
	transport *quic.Transport
	server    *http3.Server
	control   *link.Listener
	metrics   *link.Listener
	pool      *link.Pool
	follower  *follower.Follower
	fleet     *fleet.Fleet
	desk      *desk.Handler
	abortOnce sync.Once
	aborted   chan struct{}
	counts    counts
	// connections is the number of open flows.
	connections atomic.Int64
	// table is the view of the service's hosts.
	table atomic.Pointer[route.Table]

	// Lock order: viewMu before those of the fleet and the desk, these before flowsMu.
	viewMu sync.Mutex
	// incarnation is the one that the host's record has.
	incarnation uint64
	flowsMu     sync.Mutex
	flows       *route.FlowTable
}

// Open takes the agent's addresses.
func Open(ctx context.Context, cfg Config) (*Agent, error) {
	ag := &Agent{
		cfg:       cfg,
		service:   register.ServiceID(cfg.Service),
		envelopes: envelope.NewCodec(cfg.Material.Secret()),
		pool:      link.NewPool(cfg.Material.PeerClientTLS()),
		aborted:   make(chan struct{}),
		counts:    newCounts(cfg.Board),
	}
	var err error
	if ag.labels, err = label.NewCodec(cfg.Material.Secret()); err != nil {
		return nil, err
	}
	if ag.socket, err = socket.Listen(ctx, cfg.Datagrams, cfg.Workers); err != nil {
		return nil, err
	}
	mux := link.NewMux()
	srv := &link.Server{Mux: mux, OnRefused: func(link.Peer, error) { cfg.Board.Count("MessagesRefused", 1) }}
	if ag.control, err = link.Listen(ctx, cfg.Control, cfg.Material.PeerServerTLS(), srv); err != nil {
		return nil, err
	}
	if ag.metrics, err = link.Listen(ctx, cfg.Metrics, nil, cfg.Board); err != nil {
		return nil, err
	}
	ag.openFleet(mux)
	ag.openDesk(mux, ag.fleet.Record())
	ag.openServer()
	ag.follow(mux)
	return ag, nil
}

// openFleet makes the host's record and its announcer.
func (ag *Agent) openFleet(mux *link.Mux) {
	ag.pool.OnSent = link.CountSent(ag.cfg.Board)
	ag.table.Store(route.NewTable(ag.steeringKey(), time.Now(), nil))
	ag.fleet = fleet.OpenAgent(fleet.Config{
		Pool:    ag.pool,
		Board:   ag.cfg.Board,
		Seeds:   ag.cfg.Seeds,
		Changed: ag.changed,
		Deliver: func(from netip.AddrPort, it delivery.Item) { ag.follower.Deliver(from, it) },
	}, register.Host{
		Revision: register.Revision{Incarnation: uint64(time.Now().UnixMilli())},
		Address:  ag.socket.Address(),
		Control:  ag.control.Address(),
		Service:  ag.service,
		Domain:   ag.cfg.Domain,
		Weight:   register.FullWeight,
	})
	ag.fleet.Register(mux)
}

func (ag *Agent) openServer() {
	ag.relay = newRelay(ag.socket.Address(), ag.sendToCaller)
	ag.labeler = &labeler{codec: ag.labels}
	ag.labeler.last.Store(startNonce())
	ag.adopt(ag.fleet.Record())
	ag.transport = &quic.Transport{
		Conn:                  ag.relay,
		ConnectionIDGenerator: ag.labeler,
		StatelessResetKey:     resetKey(ag.cfg.Material.Secret()),
	}
	ag.server = &http3.Server{Handler: ag.desk, ConnContext: ag.countConnection}
}

// adopt takes an incarnation of the host's own record. The caller holds viewMu
// or is alone.
func (ag *Agent) adopt(record register.Host) {
	ag.incarnation = record.Incarnation
	ag.labeler.place.Store(&label.Target{
		Service:     ag.service,
		Host:        record.Address,
		Incarnation: uint16(record.Incarnation),
	})
	ag.flowsMu.Lock()
	defer ag.flowsMu.Unlock()
	ag.flows = route.NewFlowTable(record, ag.steeringKey(), time.Now(), maxFlows)
	ag.flows.SetConnections(int(ag.connections.Load()))
}

// steeringKey returns the key that balancers and agents share.
func (ag *Agent) steeringKey() route.Key {
	return route.DeriveKey(ag.cfg.Material.Secret())
}

// countConnection tells the flow table how many flows are open.
func (ag *Agent) countConnection(ctx context.Context, co *quic.Conn) context.Context {
	ag.setConnections(ag.connections.Add(1))
	context.AfterFunc(co.Context(), func() { ag.setConnections(ag.connections.Add(-1)) })
	return ctx
}

func (ag *Agent) setConnections(count int64) {
	ag.flowsMu.Lock()
	defer ag.flowsMu.Unlock()
	ag.flows.SetConnections(int(count))
}

// resetKey returns the key of the stateless reset tokens (RFC 9000, section
// 10.3). All agents of a deployment share it, so that any of them can end a
// flow whose host is gone.
func resetKey(secret []byte) *quic.StatelessResetKey {
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte("corneltiller stateless reset "), secret...)))
	return &key
}

// Datagrams returns the address for enveloped datagrams.
func (ag *Agent) Datagrams() netip.AddrPort { return ag.socket.Address() }

// Control returns the address for links.
func (ag *Agent) Control() netip.AddrPort { return ag.control.Address() }

// Metrics returns the address of metrics and readiness.
func (ag *Agent) Metrics() netip.AddrPort { return ag.metrics.Address() }

// Run serves until the context ends, then drains.
func (ag *Agent) Run(ctx context.Context) error {
	klog.InfoS("Agent started", "Service", ag.service, "Datagrams", ag.Datagrams(), "Control", ag.Control(), "Metrics", ag.Metrics())
	listener, err := ag.transport.ListenEarly(http3.ConfigureTLSConfig(ag.cfg.Material.CallerTLS()), &quic.Config{
		MaxIdleTimeout:    idleTimeout,
		InitialPacketSize: initialPacketSize,
	})
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	eg, serving := errgroup.WithContext(serving)
	eg.Go(func() error {
		return ag.socket.ServePerWorker(func() socket.Handler { return ag.newReceiver().fromNetwork })
	})
	eg.Go(func() error { return ag.control.Run(serving) })
	eg.Go(func() error { return ag.metrics.Run(serving) })
	eg.Go(func() error { return ag.fleet.Run(serving) })
	eg.Go(func() error { return ag.announceLoad(serving) })
	eg.Go(func() error { return ag.follower.Run(serving) })
	eg.Go(func() error {
		if err := ag.server.ServeListener(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve callers")
		}
		return nil
	})
	ag.cfg.Board.SetReady(true)

	select {
	case <-ctx.Done():
		ag.drain(time.Now().Add(time.Duration(ag.cfg.StopWithin)), listener)
	case <-ag.aborted:
		ag.socket.Close()
	case <-serving.Done():
	}
	stop()
	ag.server.Close()
	ag.transport.Close()
	ag.relay.Close()
	ag.socket.Close()
	ag.pool.Close()
	ag.desk.Close()
	err = eg.Wait()
	klog.InfoS("Agent stopped", "Datagrams", ag.Datagrams())
	return err
}

// Abort ends Run at once, as a crash would.
func (ag *Agent) Abort() {
	ag.abortOnce.Do(func() { close(ag.aborted) })
}

// drain announces that the host leaves, and waits until the open requests have
// ended, at most until the deadline.
func (ag *Agent) drain(deadline time.Time, listener *quic.EarlyListener) {
	ag.cfg.Board.SetReady(false)
	klog.InfoS("Agent stopping", "Deadline", deadline)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	ag.fleet.SetState(register.StateDraining)
	ag.changed()
	// Flows that were opened just before are accepted and told to go elsewhere.
	time.Sleep(min(handshakeGrace, time.Until(deadline)))
	stopped := ag.stopDesk(deadline)
	go sendAway(ctx, listener)
	if err := ag.server.Shutdown(ctx); err != nil {
		klog.InfoS("Agent stopped with open flows", "Err", err)
	}
	<-stopped
	// New flows come here until the last balancer knows that the host leaves.
	socket.WaitUntilIdle(ag.traffic, deadline)
	ag.fleet.SetState(register.StateGone)
	ag.fleet.Flush(ctx)
}

// sendAway ends the flows that come while the agent stops, in the way that a
// graceful shutdown does (RFC 9114, section 5.2).
func sendAway(ctx context.Context, listener *quic.EarlyListener) {
	for {
		co, err := listener.Accept(ctx)
		if err != nil {
			return
		}
		_ = co.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "stopping")
	}
}

// announceLoad tells the fleet how busy the backend server is, and brings the
// table over its deadlines.
func (ag *Agent) announceLoad(ctx context.Context) error {
	ticker := time.NewTicker(loadCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			ag.fleet.SetLoad(ag.desk.Load())
			ag.changed()
		}
	}
}

// traffic returns the number of callers' datagrams taken so far.
func (ag *Agent) traffic() int64 {
	return ag.counts.accepted.Count() + ag.counts.passed.Count()
}
