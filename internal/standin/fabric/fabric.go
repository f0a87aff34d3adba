// Package fabric stands in for the network that sprays callers' datagrams over
// the balancers. It hands any datagram to any balancer that is ready, and
// sends answers to callers from the service's address.
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

const (
	checkEvery   = 100 * time.Millisecond
	checkTimeout = 300 * time.Millisecond
)

// Target is one balancer behind the fabric.
type Target struct {
	// Callers is where the balancer takes frames.
	Callers netip.AddrPort
	// Metrics is where the balancer tells its readiness.
	Metrics netip.AddrPort
}

// Settings are the settings of the stand-in.
type Settings struct {
	// Services are the service addresses to listen on.
	Services []netip.AddrPort
	// Answers is the address on which balancers' answers arrive.
	Answers netip.AddrPort
	// Balancers are the balancers to spray over.
	Balancers []Target
	// Seed seeds the spraying.
	Seed uint64
}

// Fabric sprays datagrams.
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

// Open takes the services' addresses.
func Open(ctx context.Context, cfg Settings) (*Fabric, error) {
	fa := &Fabric{
		cfg:      cfg,
		services: make(map[netip.AddrPort]*socket.Group),
		client:   &http.Client{Timeout: checkTimeout},
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

// Services returns the addresses of the services in no particular order.
func (fa *Fabric) Services() []netip.AddrPort {
	var list []netip.AddrPort
	for address := range fa.services {
		list = append(list, address)
	}
	return list
}

// Answers returns the address for balancers' answers.
func (fa *Fabric) Answers() netip.AddrPort { return fa.answers.Address() }

// AddBalancer adds a balancer, which gets datagrams once it is ready.
func (fa *Fabric) AddBalancer(ta Target) {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	fa.targets = append(fa.targets, ta)
}

// Run sprays until the context ends.
func (fa *Fabric) Run(ctx context.Context) error {
	klog.InfoS("Fabric started", "Answers", fa.Answers(), "Services", len(fa.services))
	eg, ctx := errgroup.WithContext(ctx)
	for address, so := range fa.services {
		eg.Go(func() error {
			return so.Serve(func(wo *socket.Worker, from netip.AddrPort, datagram []byte) {
				fa.spray(wo, frame.Header{Service: address, Caller: from}, datagram)
			})
		})
	}
	eg.Go(func() error { return fa.answers.Serve(fa.answer) })
	eg.Go(func() error { return fa.check(ctx) })
	<-ctx.Done()
	for _, so := range fa.services {
		so.Close()
	}
	fa.answers.Close()
	return eg.Wait()
}

func (fa *Fabric) spray(wo *socket.Worker, he frame.Header, datagram []byte) {
	ready := *fa.ready.Load()
	if len(ready) == 0 {
		return
	}
	fa.mu.Lock()
	to := ready[fa.random.IntN(len(ready))]
	fa.mu.Unlock()
	_ = wo.Send(frame.Append(wo.Scratch[:0], he, datagram), to)
}

func (fa *Fabric) answer(_ *socket.Worker, _ netip.AddrPort, datagram []byte) {
	he, payload, err := frame.Decode(datagram)
	if err != nil {
		return
	}
	if so, ok := fa.services[he.Service]; ok {
		_ = so.Send(payload, he.Caller)
	}
}

// check asks every balancer for its readiness, again and again.
func (fa *Fabric) check(ctx context.Context) error {
	ticker := time.NewTicker(checkEvery)
	defer ticker.Stop()
	for {
		fa.checkOnce(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (fa *Fabric) checkOnce(ctx context.Context) {
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
