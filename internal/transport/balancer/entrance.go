package balancer

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/protocol/frame"
	"corneltiller.dev/corneltiller/internal/transport/socket"
)

// entrances are the balancer's own sockets on the services' addresses. They are
// used when the fabric keeps the callers' source addresses.
type entrances struct {
	balancer *Balancer
	open     atomic.Pointer[map[netip.AddrPort]*socket.Group]

	mu     sync.Mutex
	served sync.WaitGroup
	closed bool
}

func newEntrances(ba *Balancer) *entrances {
	en := &entrances{balancer: ba}
	en.open.Store(&map[netip.AddrPort]*socket.Group{})
	return en
}

// set opens the sockets of new addresses and closes those of removed ones. An
// address that can't be taken is logged and left out.
func (en *entrances) set(ad *addresses) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.closed {
		return
	}
	old := *en.open.Load()
	next := make(map[netip.AddrPort]*socket.Group, len(ad.entries))
	for address := range ad.entries {
		if so, ok := old[address]; ok {
			next[address] = so
			continue
		}
		so, err := socket.Listen(context.Background(), address, en.balancer.cfg.Workers)
		if err != nil {
			klog.ErrorS(err, "Service address not taken", "Address", address)
			continue
		}
		next[address] = so
		en.serve(address, so)
	}
	en.open.Store(&next)
	for address, so := range old {
		if _, ok := next[address]; !ok {
			so.Close()
		}
	}
}

func (en *entrances) serve(address netip.AddrPort, so *socket.Group) {
	en.served.Go(func() {
		err := so.ServePerWorker(func() socket.Handler {
			fo := en.balancer.newForwarder()
			return func(wo *socket.Worker, from netip.AddrPort, datagram []byte) {
				fo.forward(wo, frame.Header{Service: address, Caller: from}, datagram)
			}
		})
		if err != nil {
			klog.ErrorS(err, "Service address failed", "Address", address)
		}
	})
}

// send sends an answer to a caller from the service's address.
func (en *entrances) send(he frame.Header, payload []byte) error {
	so, ok := (*en.open.Load())[he.Service]
	if !ok {
		return errNoEntrance
	}
	return so.Send(payload, he.Caller)
}

// close closes all sockets and waits for their workers.
func (en *entrances) close() {
	en.mu.Lock()
	en.closed = true
	for _, so := range *en.open.Load() {
		so.Close()
	}
	en.mu.Unlock()
	en.served.Wait()
}
