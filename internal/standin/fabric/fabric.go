// Package fabric simulates the network in front of the balancers. It forwards
// each datagram of a caller to a balancer chosen at random among those that are
// ready, and sends answers to callers from the service's address.
//
// # Usage
//
//	fa, err := fabric.Open(ctx, cfg)
//	err = fa.Run(ctx)
package fabric

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/protocol/frame"
	"corneltiller.dev/corneltiller/internal/transport/socket"
)

// The time between two readiness checks of all balancers, and the timeout of each.
const (
	readinessInterval = 100 * time.Millisecond
	readinessTimeout  = 300 * time.Millisecond
)

// Target is one balancer that the fabric forwards datagrams to.
type Target struct {
	// Callers is the address on which the balancer receives frames with callers'
	// datagrams.
	Callers netip.AddrPort
	// Metrics is the address at which the balancer answers /Ready.
	Metrics netip.AddrPort
}

// Settings are the settings of the fabric.
type Settings struct {
	// Services are the service addresses on which to receive callers' datagrams.
	Services []netip.AddrPort
	// Answers is the address on which to receive answers to callers.
	Answers netip.AddrPort
	// Balancers are the balancers to forward datagrams to.
	Balancers []Target
	// Seed seeds the random choice of balancers.
	Seed uint64
}

// Fabric forwards datagrams between callers and balancers.
type Fabric struct {
	cfg      Settings
	services map[netip.AddrPort]*socket.Group
	answers  *socket.Group
	client   *http.Client
	ready    atomic.Pointer[[]netip.AddrPort]

	mu      sync.Mutex
	targets []Target
	random  *rand.Rand
}

// Open returns a fabric that is bound to the addresses of its settings.
func Open(ctx context.Context, cfg Settings) (*Fabric, error) {
	fa := &Fabric{
		cfg:      cfg,
		services: make(map[netip.AddrPort]*socket.Group),
		client:   &http.Client{Timeout: readinessTimeout},
		targets:  cfg.Balancers,
		random:   rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
	fa.ready.Store(new([]netip.AddrPort))
	for _, address := range cfg.Services {
		so, err := socket.Listen(ctx, address, 1)
		if err != nil {
			return nil, err
		}
		fa.services[so.Address()] = so
	}
	var err error
	fa.answers, err = socket.Listen(ctx, cfg.Answers, 1)
	return fa, err
}

// Services returns the services' addresses that the fabric is bound to, in no
// particular order.
func (fa *Fabric) Services() []netip.AddrPort {
	var list []netip.AddrPort
	for address := range fa.services {
		list = append(list, address)
	}
	return list
}

// Answers returns the address on which the fabric receives answers to callers.
func (fa *Fabric) Answers() netip.AddrPort { return fa.answers.Address() }

// AddBalancer adds a balancer, which receives datagrams once it is ready.
func (fa *Fabric) AddBalancer(ta Target) {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	fa.targets = append(fa.targets, ta)
}

// Run forwards datagrams until the context ends.
func (fa *Fabric) Run(ctx context.Context) error {
	klog.InfoS("Fabric started", "Answers", fa.Answers(), "Services", len(fa.services))
	eg, ctx := errgroup.WithContext(ctx)
	for address, so := range fa.services {
		eg.Go(func() error {
			return so.Serve(func(wo *socket.Worker, from netip.AddrPort, datagram []byte) {
				fa.forward(wo, frame.Header{Service: address, Caller: from}, datagram)
			})
		})
	}
	eg.Go(func() error { return fa.answers.Serve(fa.forwardAnswer) })
	eg.Go(func() error { return fa.pollReadiness(ctx) })
	<-ctx.Done()
	for _, so := range fa.services {
		so.Close()
	}
	fa.answers.Close()
	return eg.Wait()
}

// forward sends a caller's datagram to a random ready balancer. It drops the
// datagram if none is ready.
func (fa *Fabric) forward(wo *socket.Worker, he frame.Header, datagram []byte) {
	ready := *fa.ready.Load()
	if len(ready) == 0 {
		return
	}
	fa.mu.Lock()
	to := ready[fa.random.IntN(len(ready))]
	fa.mu.Unlock()
	_ = wo.Send(frame.Append(wo.Scratch[:0], he, datagram), to)
}

// forwardAnswer sends the payload of a frame to the caller that the frame's
// header names. It drops malformed frames and those of unknown services.
func (fa *Fabric) forwardAnswer(_ *socket.Worker, _ netip.AddrPort, datagram []byte) {
	he, payload, err := frame.Decode(datagram)
	if err != nil {
		return
	}
	if so, ok := fa.services[he.Service]; ok {
		_ = so.Send(payload, he.Caller)
	}
}

// pollReadiness asks every balancer for its readiness once per
// readinessInterval until the context ends.
func (fa *Fabric) pollReadiness(ctx context.Context) error {
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for {
		fa.updateReady(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// updateReady asks every balancer for its readiness and replaces the list of
// ready balancers.
func (fa *Fabric) updateReady(ctx context.Context) {
	fa.mu.Lock()
	targets := append([]Target(nil), fa.targets...)
	fa.mu.Unlock()
	states := make([]bool, len(targets))
	var pending sync.WaitGroup
	for i, ta := range targets {
		pending.Go(func() { states[i] = fa.isReady(ctx, ta) })
	}
	pending.Wait()
	ready := make([]netip.AddrPort, 0, len(targets))
	for i, ta := range targets {
		if states[i] {
			ready = append(ready, ta.Callers)
		}
	}
	fa.ready.Store(&ready)
}

// isReady reports whether the balancer answers /Ready with 200.
func (fa *Fabric) isReady(ctx context.Context, ta Target) bool {
	re, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ta.Metrics.String()+"/Ready", nil)
	if err != nil {
		return false
	}
	answer, err := fa.client.Do(re)
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}
