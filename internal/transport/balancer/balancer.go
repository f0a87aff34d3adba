// Package balancer runs a balancer: it forwards callers' datagrams to agents and
// agents' answers to callers, and keeps no state of any flow.
//
// # Usage
//
//	ba, err := balancer.Open(ctx, cfg)
//	err = ba.Run(ctx)
package balancer

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/coordination/route"
	"corneltiller.dev/corneltiller/internal/protocol/envelope"
	"corneltiller.dev/corneltiller/internal/protocol/label"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
	"corneltiller.dev/corneltiller/internal/state/settings"
	"corneltiller.dev/corneltiller/internal/transport/explain"
	"corneltiller.dev/corneltiller/internal/transport/follower"
	"corneltiller.dev/corneltiller/internal/transport/gauge"
	"corneltiller.dev/corneltiller/internal/transport/keys"
	"corneltiller.dev/corneltiller/internal/transport/link"
	"corneltiller.dev/corneltiller/internal/transport/socket"
)

// Config holds the settings of a balancer, its keys and its metrics.
type Config struct {
	settings.Balancer
	Material *keys.Store
	Registry *gauge.Registry
}

// Balancer forwards datagrams between callers and agents.
type Balancer struct {
	cfg          Config
	labels       *label.Codec
	envelopes    *envelope.Codec
	callers      *socket.Group
	hosts        *socket.Group
	hostsAddress netip.AddrPort
	control      *link.Listener
	metrics      *link.Listener
	addresses    atomic.Pointer[addresses]
	// configuration is the configuration in force; addresses was made from it.
	configuration  atomic.Pointer[catalog.Configuration]
	table          atomic.Pointer[route.Table]
	updater        *tableUpdater
	serviceSockets *serviceSockets
	pool           *link.Pool
	follower       *follower.Follower
	counts         counts
	// joined says that the balancer's view of the fleet is complete.
	joined    atomic.Bool
	abortOnce sync.Once
	aborted   chan struct{}
}

// counts holds the counters of the datagram path.
type counts struct {
	forwarded, answered, malformed, unknownService, wrongService, noHost, hostGone, sendFailed metrics.Counter
}

func newCounts(rg *gauge.Registry) counts {
	return counts{
		forwarded:      rg.Counter("DatagramsForwarded"),
		answered:       rg.Counter("DatagramsAnswered"),
		malformed:      rg.Counter("DatagramsMalformed"),
		unknownService: rg.Counter("DatagramsUnknownService"),
		wrongService:   rg.Counter("DatagramsWrongService"),
		noHost:         rg.Counter("DatagramsNoHost"),
		hostGone:       rg.Counter("DatagramsHostLeft"),
		sendFailed:     rg.Counter("DatagramsSendFailed"),
	}
}

// Open opens the balancer's sockets and applies the services of the settings. It
// returns an error if an address is in use or the secret is unusable.
func Open(ctx context.Context, cfg Config) (*Balancer, error) {
	ba := &Balancer{cfg: cfg, counts: newCounts(cfg.Registry), aborted: make(chan struct{})}
	ba.serviceSockets = newServiceSockets(ba)
	ba.pool = link.NewPool(cfg.Material.PeerClientTLS())
	ba.pool.OnSent = link.CountSent(cfg.Registry)
	var err error
	if ba.labels, err = label.NewCodec(cfg.Material.Secret()); err != nil {
		return nil, err
	}
	ba.envelopes = envelope.NewCodec(cfg.Material.Secret())
	if ba.callers, err = socket.Listen(ctx, cfg.Callers, cfg.Workers); err != nil {
		return nil, err
	}
	if ba.hosts, err = socket.Listen(ctx, cfg.Hosts, cfg.Workers); err != nil {
		return nil, err
	}
	ba.hostsAddress = ba.hosts.Address()
	ba.Apply(configurationOf(cfg.Services))
	ba.table.Store(route.NewTable(ba.hashKey(), time.Now(), nil))
	mux := link.NewMux()
	ba.registerQuery(mux)
	srv := &link.Server{Mux: mux, OnRefused: func(link.Peer, error) { cfg.Registry.Count("MessagesRefused", 1) }}
	if ba.control, err = link.Listen(ctx, cfg.Control, cfg.Material.PeerServerTLS(), srv); err != nil {
		return nil, err
	}
	if ba.metrics, err = link.Listen(ctx, cfg.Metrics, nil, cfg.Registry); err != nil {
		return nil, err
	}
	ba.updater = newTableUpdater(ba)
	ba.updater.fleet.Register(mux)
	ba.openFollower(mux)
	cfg.Registry.Handle(explain.Path, explain.Handler(ba.explain))
	return ba, nil
}

// configurationOf returns a configuration with the services of the settings and
// the zero version.
func configurationOf(services []settings.Service) *catalog.Configuration {
	cfg := &catalog.Configuration{}
	for _, sv := range services {
		cfg.Services = append(cfg.Services, sv.ToCatalog())
	}
	return cfg
}

// Apply puts the services of a configuration in force. It doesn't recompute the
// hosts' weights.
func (ba *Balancer) Apply(cfg *catalog.Configuration) {
	ad := newAddresses(cfg)
	ba.configuration.Store(cfg)
	ba.addresses.Store(ad)
	if !ba.usesFrames() {
		ba.serviceSockets.update(ad)
	}
}

// hashKey returns the key of the routing hashes, which balancers and agents share.
func (ba *Balancer) hashKey() route.Key {
	return route.DeriveKey(ba.cfg.Material.Secret())
}

// usesFrames reports whether the fabric sends callers' datagrams in frames and
// takes answers in frames.
func (ba *Balancer) usesFrames() bool {
	return ba.cfg.Fabric.IsValid()
}

// CallersAddress returns the UDP address for framed datagrams from the fabric.
func (ba *Balancer) CallersAddress() netip.AddrPort { return ba.callers.Address() }

// HostsAddress returns the UDP address for agents' answers. It is the
// Address of the balancer's record.
func (ba *Balancer) HostsAddress() netip.AddrPort { return ba.hostsAddress }

// ControlAddress returns the control address, for the messages of other instances and the
// operators' console.
func (ba *Balancer) ControlAddress() netip.AddrPort { return ba.control.Address() }

// MetricsAddress returns the HTTP address of metrics and readiness.
func (ba *Balancer) MetricsAddress() netip.AddrPort { return ba.metrics.Address() }

// Run forwards datagrams until the context ends. It then announces that the
// balancer is draining and goes on forwarding until no datagram arrives any more,
// because the fabric has withdrawn the balancer, at most for the setting
// StopWithin.
func (ba *Balancer) Run(ctx context.Context) error {
	klog.InfoS("Balancer started", "Callers", ba.CallersAddress(), "Hosts", ba.HostsAddress(), "Control", ba.ControlAddress(), "Metrics", ba.MetricsAddress())
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	eg, serving := errgroup.WithContext(serving)
	eg.Go(func() error {
		return ba.callers.ServePerWorker(func() socket.Handler { return ba.newForwarder().fromFabric })
	})
	eg.Go(func() error {
		return ba.hosts.ServePerWorker(func() socket.Handler { return (&answerForwarder{balancer: ba}).fromHost })
	})
	eg.Go(func() error { return ba.control.Run(serving) })
	eg.Go(func() error { return ba.metrics.Run(serving) })
	eg.Go(func() error { return ba.updater.run(serving) })
	eg.Go(func() error { return ba.updater.fleet.Run(serving) })
	eg.Go(func() error { return ba.follower.Run(serving) })

	select {
	case <-ctx.Done():
		ba.drain(time.Now().Add(time.Duration(ba.cfg.StopWithin)))
	case <-ba.aborted:
	case <-serving.Done():
	}
	stop()
	ba.callers.Close()
	ba.serviceSockets.close()
	ba.hosts.Close()
	err := eg.Wait()
	ba.pool.Close()
	klog.InfoS("Balancer stopped", "Hosts", ba.HostsAddress())
	return err
}

// Abort ends Run without draining or announcing the stop, as a crash would.
func (ba *Balancer) Abort() {
	ba.abortOnce.Do(func() { close(ba.aborted) })
}

// drain announces that the balancer is draining, waits until no datagram has
// arrived for a while, at most until the deadline, and then announces that the
// balancer is gone.
func (ba *Balancer) drain(deadline time.Time) {
	ba.cfg.Registry.SetReady(false)
	ba.updater.fleet.SetState(register.StateDraining)
	klog.InfoS("Balancer stopping", "Deadline", deadline)
	defer ba.announceGone(deadline)
	if !socket.WaitUntilIdle(ba.datagramCount, deadline) {
		klog.InfoS("Balancer stopped while datagrams still arrive", "Hosts", ba.HostsAddress())
	}
}

// announceGone announces that the balancer is gone and waits until the announcement
// is sent, at most until the deadline.
func (ba *Balancer) announceGone(deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	ba.updater.fleet.Leave(ctx)
}

// datagramCount returns the number of datagrams forwarded and answered so far.
func (ba *Balancer) datagramCount() int64 {
	return ba.counts.forwarded.Count() + ba.counts.answered.Count()
}
