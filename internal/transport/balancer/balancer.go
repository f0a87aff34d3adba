// Package balancer is the shell of a balancer: it forwards callers' datagrams
// to agents and agents' answers to callers, and holds no state of any flow.
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
	"corneltiller.dev/corneltiller/internal/transport/follower"
	"corneltiller.dev/corneltiller/internal/transport/gauge"
	"corneltiller.dev/corneltiller/internal/transport/keys"
	"corneltiller.dev/corneltiller/internal/transport/link"
	"corneltiller.dev/corneltiller/internal/transport/socket"
)

// Config is what a balancer needs to run.
type Config struct {
	settings.Balancer
	Material *keys.Store
	Board    *gauge.Board
}

// Balancer forwards datagrams.
type Balancer struct {
	cfg       Config
	labels    *label.Codec
	envelopes *envelope.Codec
	callers   *socket.Socket
	hosts     *socket.Socket
	answers   netip.AddrPort
	control   *link.Listener
	metrics   *link.Listener
	addresses atomic.Pointer[addresses]
	// configuration is what addresses was made from.
	configuration atomic.Pointer[catalog.Configuration]
	table         atomic.Pointer[route.Table]
	directory     *directory
	entrances     *entrances
	pool          *link.Pool
	follower      *follower.Follower
	counts        counts
	abortOnce     sync.Once
	aborted       chan struct{}
}

// counts are the metrics of the hot path.
type counts struct {
	forwarded, answered, malformed, unknownService, wrongService, noHost, hostLeft, sendFailed metrics.Counter
}

func newCounts(bo *gauge.Board) counts {
	return counts{
		forwarded:      bo.Counter("DatagramsForwarded"),
		answered:       bo.Counter("DatagramsAnswered"),
		malformed:      bo.Counter("DatagramsMalformed"),
		unknownService: bo.Counter("DatagramsUnknownService"),
		wrongService:   bo.Counter("DatagramsWrongService"),
		noHost:         bo.Counter("DatagramsNoHost"),
		hostLeft:       bo.Counter("DatagramsHostLeft"),
		sendFailed:     bo.Counter("DatagramsSendFailed"),
	}
}

// Open takes the balancer's addresses.
func Open(ctx context.Context, cfg Config) (*Balancer, error) {
	ba := &Balancer{cfg: cfg, counts: newCounts(cfg.Board), aborted: make(chan struct{})}
	ba.entrances = newEntrances(ba)
	ba.pool = link.NewPool(cfg.Material.PeerClientTLS())
	ba.pool.Sent = link.CountSent(cfg.Board)
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
	ba.answers = ba.hosts.Address()
	ba.Apply(configurationOf(cfg.Services))
	ba.table.Store(route.NewTable(ba.steeringKey(), time.Now(), nil))
	mux := link.NewMux()
	ba.registerQuery(mux)
	srv := &link.Server{Mux: mux, Refused: func(link.Peer, error) { cfg.Board.Count("MessagesRefused", 1) }}
	if ba.control, err = link.Listen(ctx, cfg.Control, cfg.Material.PeerServerTLS(), srv); err != nil {
		return nil, err
	}
	if ba.metrics, err = link.Listen(ctx, cfg.Metrics, nil, cfg.Board); err != nil {
		return nil, err
	}
	ba.directory = newDirectory(ba)
	ba.directory.fleet.Register(mux)
	ba.follow(mux)
	return ba, nil
}

// configurationOf returns the configuration that the settings name.
func configurationOf(services []settings.Service) *catalog.Configuration {
	cfg := &catalog.Configuration{}
	for _, sv := range services {
		cfg.Services = append(cfg.Services, sv.ToCatalog())
	}
	return cfg
}

// Apply puts a configuration in force.
func (ba *Balancer) Apply(cfg *catalog.Configuration) {
	ad := newAddresses(cfg)
	ba.configuration.Store(cfg)
	ba.addresses.Store(ad)
	if !ba.framed() {
		ba.entrances.set(ad)
	}
}

// steeringKey returns the key that balancers and agents share.
func (ba *Balancer) steeringKey() route.Key {
	return route.DeriveKey(ba.cfg.Material.Secret())
}

// framed reports whether the fabric wraps callers' datagrams in frames.
func (ba *Balancer) framed() bool {
	return ba.cfg.Fabric.IsValid()
}

// CallersAddress returns the address for the fabric's datagrams.
func (ba *Balancer) CallersAddress() netip.AddrPort { return ba.callers.Address() }

// HostsAddress returns the address for agents' answers.
func (ba *Balancer) HostsAddress() netip.AddrPort { return ba.answers }

// Control returns the address for links.
func (ba *Balancer) Control() netip.AddrPort { return ba.control.Address() }

// Metrics returns the address of metrics and readiness.
func (ba *Balancer) Metrics() netip.AddrPort { return ba.metrics.Address() }

// Run forwards datagrams until the context ends, then keeps forwarding until
// the fabric has withdrawn the balancer or the stop's deadline passes.
func (ba *Balancer) Run(ctx context.Context) error {
	klog.InfoS("Balancer started", "Callers", ba.CallersAddress(), "Hosts", ba.HostsAddress(), "Control", ba.Control(), "Metrics", ba.Metrics())
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	eg, serving := errgroup.WithContext(serving)
	eg.Go(func() error {
		return ba.callers.ServeEach(func() socket.Handler { return ba.newForwarder().fromFabric })
	})
	eg.Go(func() error {
		return ba.hosts.ServeEach(func() socket.Handler { return (&returner{balancer: ba}).fromHost })
	})
	eg.Go(func() error { return ba.control.Run(serving) })
	eg.Go(func() error { return ba.metrics.Run(serving) })
	eg.Go(func() error { return ba.directory.run(serving) })
	eg.Go(func() error { return ba.directory.fleet.Run(serving) })
	eg.Go(func() error { return ba.follower.Run(serving) })

	select {
	case <-ctx.Done():
		ba.drain(time.Now().Add(time.Duration(ba.cfg.StopWithin)))
	case <-ba.aborted:
	case <-serving.Done():
	}
	stop()
	ba.callers.Close()
	ba.entrances.close()
	ba.hosts.Close()
	err := eg.Wait()
	ba.pool.Close()
	klog.InfoS("Balancer stopped", "Hosts", ba.HostsAddress())
	return err
}

// Abort ends Run at once, as a crash would.
func (ba *Balancer) Abort() {
	ba.abortOnce.Do(func() { close(ba.aborted) })
}

// drain waits until no datagram has arrived for a while, at most until the deadline.
func (ba *Balancer) drain(deadline time.Time) {
	ba.cfg.Board.SetReady(false)
	ba.directory.fleet.SetState(register.StateDraining)
	klog.InfoS("Balancer stopping", "Deadline", deadline)
	defer ba.depart(deadline)
	if !socket.AwaitQuiet(ba.traffic, deadline) {
		klog.InfoS("Balancer stopped while datagrams still arrive", "Hosts", ba.HostsAddress())
	}
}

// depart announces that the balancer is gone.
func (ba *Balancer) depart(deadline time.Time) {
	ba.directory.fleet.SetState(register.StateGone)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	ba.directory.fleet.Flush(ctx)
}

func (ba *Balancer) traffic() int64 {
	return ba.counts.forwarded.Count() + ba.counts.answered.Count()
}
