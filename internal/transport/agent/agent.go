// Package agent runs the agent beside a backend server: it terminates the callers'
// QUIC connections, passes their requests to the backend server and announces the
// host to the fleet.
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
	// handshakeGrace is how long a stopping agent goes on serving before it refuses
	// requests, so that flows that are being opened complete their handshake.
	handshakeGrace = time.Second
	// loadInterval is the time between two readings of the backend server's load.
	loadInterval = 500 * time.Millisecond
	// idleTimeout ends flows from whose caller nothing has arrived for this long.
	idleTimeout = 60 * time.Second
	// maxFlows bounds the flow table, which holds this host's flows and those that
	// the agent forwards to other hosts.
	maxFlows = 1 << 17
	// initialPacketSize leaves room for the envelope on a path of 1,280 bytes.
	initialPacketSize = 1200
)

// Config holds the settings of an agent, its keys and its metrics.
type Config struct {
	settings.Agent
	Material *keys.Store
	Registry *gauge.Registry
}

// Agent serves callers on behalf of one backend server.
type Agent struct {
	cfg         Config
	service     register.ServiceID
	labels      *label.Codec
	envelopes   *envelope.Codec
	socket      *socket.Group
	packetConn  *packetConn
	idGenerator *idGenerator
	transport   *quic.Transport
	server      *http3.Server
	control     *link.Listener
	metrics     *link.Listener
	pool        *link.Pool
	follower    *follower.Follower
	fleet       *fleet.Fleet
	handler     *desk.Handler
	abortOnce   sync.Once
	aborted     chan struct{}
	counts      counts
	// connections is the number of open flows.
	connections atomic.Int64
	// table holds the hosts of the agent's service.
	table atomic.Pointer[route.Table]

	// Lock order: viewMu before the locks of the fleet and the handler, these before
	// flowsMu. viewMu orders the updates of the hosts.
	viewMu sync.Mutex
	// incarnation is that of the host's own record; viewMu guards it.
	incarnation uint64
	flowsMu     sync.Mutex
	flows       *route.FlowTable
}

// Open opens the agent's sockets. It returns an error if an address is in use or
// the secret is unusable.
func Open(ctx context.Context, cfg Config) (*Agent, error) {
	ag := &Agent{
		cfg:       cfg,
		service:   register.ServiceID(cfg.Service),
		envelopes: envelope.NewCodec(cfg.Material.Secret()),
		pool:      link.NewPool(cfg.Material.PeerClientTLS()),
		aborted:   make(chan struct{}),
		counts:    newCounts(cfg.Registry),
	}
	var err error
	if ag.labels, err = label.NewCodec(cfg.Material.Secret()); err != nil {
		return nil, err
	}
	if ag.socket, err = socket.Listen(ctx, cfg.Datagrams, cfg.Workers); err != nil {
		return nil, err
	}
	mux := link.NewMux()
	srv := &link.Server{Mux: mux, OnRefused: func(link.Peer, error) { cfg.Registry.Count("MessagesRefused", 1) }}
	if ag.control, err = link.Listen(ctx, cfg.Control, cfg.Material.PeerServerTLS(), srv); err != nil {
		return nil, err
	}
	if ag.metrics, err = link.Listen(ctx, cfg.Metrics, nil, cfg.Registry); err != nil {
		return nil, err
	}
	ag.openFleet(mux)
	ag.openHandler(mux, ag.fleet.Record())
	ag.openServer()
	ag.openFollower(mux)
	return ag, nil
}

// openFleet makes the agent's membership with the host's first record.
func (ag *Agent) openFleet(mux *link.Mux) {
	ag.pool.OnSent = link.CountSent(ag.cfg.Registry)
	ag.table.Store(route.NewTable(ag.hashKey(), time.Now(), nil))
	ag.fleet = fleet.OpenAgent(fleet.Config{
		Pool:     ag.pool,
		Registry: ag.cfg.Registry,
		Seeds:    ag.cfg.Seeds,
		OnChange: ag.updateHosts,
		Deliver:  func(from netip.AddrPort, it delivery.Item) { ag.follower.Deliver(from, it) },
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

// openServer makes the HTTP/3 server and the QUIC transport that it uses.
func (ag *Agent) openServer() {
	ag.packetConn = newPacketConn(ag.socket.Address(), ag.sendToCaller)
	ag.idGenerator = &idGenerator{codec: ag.labels}
	ag.idGenerator.nonce.Store(startNonce())
	ag.setIncarnation(ag.fleet.Record())
	ag.transport = &quic.Transport{
		Conn:                  ag.packetConn,
		ConnectionIDGenerator: ag.idGenerator,
		StatelessResetKey:     resetKey(ag.cfg.Material.Secret()),
	}
	ag.server = &http3.Server{Handler: ag.handler, ConnContext: ag.countConnection}
}

// setIncarnation uses the incarnation of the host's own record in new connection
// IDs and starts an empty flow table for it. The caller holds viewMu, except in
// Open.
func (ag *Agent) setIncarnation(record register.Host) {
	ag.incarnation = record.Incarnation
	ag.idGenerator.target.Store(&label.Target{
		Service:     ag.service,
		Host:        record.Address,
		Incarnation: uint16(record.Incarnation),
	})
	ag.flowsMu.Lock()
	defer ag.flowsMu.Unlock()
	ag.flows = route.NewFlowTable(record, ag.hashKey(), time.Now(), maxFlows)
	ag.flows.SetConnections(int(ag.connections.Load()))
}

// hashKey returns the key of the routing hashes, which balancers and agents share.
func (ag *Agent) hashKey() route.Key {
	return route.DeriveKey(ag.cfg.Material.Secret())
}

// countConnection keeps the flow table's number of open connections current.
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

// DatagramsAddress returns the UDP address for datagrams in envelopes.
func (ag *Agent) DatagramsAddress() netip.AddrPort { return ag.socket.Address() }

// ControlAddress returns the control address, for the messages of other instances and the
// operators' console.
func (ag *Agent) ControlAddress() netip.AddrPort { return ag.control.Address() }

// MetricsAddress returns the HTTP address of metrics and readiness.
func (ag *Agent) MetricsAddress() netip.AddrPort { return ag.metrics.Address() }

// Run serves callers until the context ends, then drains, at most for the setting
// StopWithin.
func (ag *Agent) Run(ctx context.Context) error {
	klog.InfoS("Agent started", "Service", ag.service, "Datagrams", ag.DatagramsAddress(), "Control", ag.ControlAddress(), "Metrics", ag.MetricsAddress())
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
	ag.cfg.Registry.SetReady(true)

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
	ag.packetConn.Close()
	ag.socket.Close()
	ag.pool.Close()
	ag.handler.Close()
	err = eg.Wait()
	klog.InfoS("Agent stopped", "Datagrams", ag.DatagramsAddress())
	return err
}

// Abort ends Run without draining or announcing the stop, as a crash would.
func (ag *Agent) Abort() {
	ag.abortOnce.Do(func() { close(ag.aborted) })
}

// drain announces that the host is draining, waits until the open requests have
// ended and no datagram has arrived for a while, at most until the deadline, and
// then announces that the host is gone.
func (ag *Agent) drain(deadline time.Time, listener *quic.EarlyListener) {
	ag.cfg.Registry.SetReady(false)
	klog.InfoS("Agent stopping", "Deadline", deadline)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	ag.fleet.SetState(register.StateDraining)
	ag.updateHosts()
	// Flows that are being opened complete their handshake; the server then
	// sends them a GOAWAY frame.
	time.Sleep(min(handshakeGrace, time.Until(deadline)))
	stopped := ag.stopHandler(deadline)
	go closeNewConnections(ctx, listener)
	if err := ag.server.Shutdown(ctx); err != nil {
		klog.InfoS("Agent stopped with open flows", "Err", err)
	}
	<-stopped
	// New flows arrive until every balancer knows that the host is draining.
	socket.WaitUntilIdle(ag.datagramCount, deadline)
	ag.fleet.Leave(ctx)
}

// closeNewConnections closes each connection that is accepted while the agent
// stops with H3_NO_ERROR, as a graceful shutdown does (RFC 9114, section 5.2).
func closeNewConnections(ctx context.Context, listener *quic.EarlyListener) {
	for {
		co, err := listener.Accept(ctx)
		if err != nil {
			return
		}
		_ = co.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "stopping")
	}
}

// announceLoad announces the backend server's load at intervals, and checks the
// table's deadlines.
func (ag *Agent) announceLoad(ctx context.Context) error {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			ag.fleet.SetLoad(ag.handler.Load())
			ag.updateHosts()
		}
	}
}

// datagramCount returns the number of callers' datagrams accepted and forwarded so
// far.
func (ag *Agent) datagramCount() int64 {
	return ag.counts.accepted.Count() + ag.counts.forwarded.Count()
}
