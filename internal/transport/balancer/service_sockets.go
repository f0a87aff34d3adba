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

// serviceSockets are the balancer's sockets on the services' addresses. They are
// used if the fabric delivers callers' datagrams unframed, with the callers'
// source addresses.
type serviceSockets struct {
	balancer *Balancer
	sockets  atomic.Pointer[map[netip.AddrPort]*socket.Group]

	mu      sync.Mutex
	serving sync.WaitGroup
	closed  bool
}

func newServiceSockets(ba *Balancer) *serviceSockets {
	ss := &serviceSockets{balancer: ba}
	ss.sockets.Store(&map[netip.AddrPort]*socket.Group{})
	return ss
}

// update opens sockets for new addresses and closes those of removed ones. An
// address on which no socket can be opened is logged and left out until the next
// update.
func (ss *serviceSockets) update(ad *addresses) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if ss.closed {
		return
	}
	old := *ss.sockets.Load()
	next := make(map[netip.AddrPort]*socket.Group, len(ad.entries))
	for address := range ad.entries {
		if so, ok := old[address]; ok {
			next[address] = so
			continue
		}
		so, err := socket.Listen(context.Background(), address, ss.balancer.cfg.Workers)
		if err != nil {
			klog.ErrorS(err, "Service address not opened", "Address", address)
			continue
		}
		next[address] = so
		ss.serve(address, so)
	}
	ss.sockets.Store(&next)
	for address, so := range old {
		if _, ok := next[address]; !ok {
			so.Close()
		}
	}
}

// serve forwards the datagrams that arrive on a socket until it is closed.
func (ss *serviceSockets) serve(address netip.AddrPort, so *socket.Group) {
	ss.serving.Go(func() {
		err := so.ServePerWorker(func() socket.Handler {
			fo := ss.balancer.newForwarder()
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
func (ss *serviceSockets) send(he frame.Header, payload []byte) error {
	so, ok := (*ss.sockets.Load())[he.Service]
	if !ok {
		return errNoServiceSocket
	}
	return so.Send(payload, he.Caller)
}

// close closes all sockets and waits for their workers.
func (ss *serviceSockets) close() {
	ss.mu.Lock()
	ss.closed = true
	for _, so := range *ss.sockets.Load() {
		so.Close()
	}
	ss.mu.Unlock()
	ss.serving.Wait()
}
