package agent

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"corneltiller.dev/corneltiller/internal/transport/socket"
)

const (
	// receiveQueueLength is the greatest number of datagrams that wait for the QUIC server.
	receiveQueueLength = 4096
	// routesPerGeneration is the greatest number of callers in one generation of the
	// return routes; the current and the former generation are kept.
	routesPerGeneration = 1 << 16
)

// inbound is a caller's datagram that waits to be read by the QUIC server.
type inbound struct {
	caller netip.AddrPort
	length int
	data   [socket.MaxDatagram]byte
}

// packetConn is the net.PacketConn of the QUIC server. It reads the callers'
// datagrams that the agent has accepted, and sends each answer to the balancer
// that forwarded the caller's last datagram.
type packetConn struct {
	queue  chan *inbound
	pool   sync.Pool
	send   func(payload []byte, caller netip.AddrPort, rr returnRoute) error
	local  netip.AddrPort
	closed chan struct{}
	once   sync.Once

	mu           sync.Mutex
	deadline     chan struct{}
	routes       map[netip.AddrPort]returnRoute
	formerRoutes map[netip.AddrPort]returnRoute
}

// returnRoute names the balancer that sends an answer to the caller, and the index
// of the service address that it sends from.
type returnRoute struct {
	balancer     netip.AddrPort
	addressIndex uint8
}

func newPacketConn(local netip.AddrPort, send func([]byte, netip.AddrPort, returnRoute) error) *packetConn {
	return &packetConn{
		queue:    make(chan *inbound, receiveQueueLength),
		pool:     sync.Pool{New: func() any { return new(inbound) }},
		send:     send,
		local:    local,
		closed:   make(chan struct{}),
		deadline: make(chan struct{}),
		routes:   make(map[netip.AddrPort]returnRoute),
	}
}

// enqueue queues a datagram for the QUIC server. It returns false and drops the
// datagram if the queue is full; QUIC retransmits what is lost.
func (pc *packetConn) enqueue(caller netip.AddrPort, rr returnRoute, payload []byte) bool {
	pc.setRoute(caller, rr)
	in := pc.pool.Get().(*inbound)
	in.caller = caller
	in.length = copy(in.data[:], payload)
	select {
	case pc.queue <- in:
		return true
	default:
		pc.pool.Put(in)
		return false
	}
}

// setRoute keeps the route of a caller's last datagram.
func (pc *packetConn) setRoute(caller netip.AddrPort, rr returnRoute) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if len(pc.routes) >= routesPerGeneration {
		pc.formerRoutes = pc.routes
		pc.routes = make(map[netip.AddrPort]returnRoute)
	}
	pc.routes[caller] = rr
}

// routeTo returns the route of a caller's last datagram, if it is still kept.
func (pc *packetConn) routeTo(caller netip.AddrPort) (returnRoute, bool) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	rr, ok := pc.routes[caller]
	if !ok {
		rr, ok = pc.formerRoutes[caller]
	}
	return rr, ok
}

// ReadFrom reads the next accepted datagram and returns the caller's address.
func (pc *packetConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	pc.mu.Lock()
	deadline := pc.deadline
	pc.mu.Unlock()
	select {
	case in := <-pc.queue:
		length := copy(buffer, in.data[:in.length])
		caller := net.UDPAddrFromAddrPort(in.caller)
		pc.pool.Put(in)
		return length, caller, nil
	case <-pc.closed:
		return 0, nil, net.ErrClosed
	case <-deadline:
		return 0, nil, os.ErrDeadlineExceeded
	}
}

// WriteTo sends an answer to a caller. An answer to a caller whose route is no
// longer kept is dropped without an error.
func (pc *packetConn) WriteTo(payload []byte, addr net.Addr) (int, error) {
	ua, ok := addr.(*net.UDPAddr)
	if !ok {
		return 0, net.InvalidAddrError(addr.String())
	}
	ap := ua.AddrPort()
	caller := netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
	rr, ok := pc.routeTo(caller)
	if !ok {
		return len(payload), nil
	}
	if err := pc.send(payload, caller, rr); err != nil {
		return 0, err
	}
	return len(payload), nil
}

// Close ends all reads with net.ErrClosed.
func (pc *packetConn) Close() error {
	pc.once.Do(func() { close(pc.closed) })
	return nil
}

// LocalAddr returns the agent's datagram address.
func (pc *packetConn) LocalAddr() net.Addr {
	return net.UDPAddrFromAddrPort(pc.local)
}

// SetReadDeadline ends reads at once if the deadline is not in the future. A later
// deadline doesn't end them: the QUIC library sets none.
func (pc *packetConn) SetReadDeadline(deadline time.Time) error {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	passed := !deadline.IsZero() && !deadline.After(time.Now())
	select {
	case <-pc.deadline:
		if !passed {
			pc.deadline = make(chan struct{})
		}
	default:
		if passed {
			close(pc.deadline)
		}
	}
	return nil
}

// SetDeadline sets the read deadline.
func (pc *packetConn) SetDeadline(deadline time.Time) error {
	return pc.SetReadDeadline(deadline)
}

// SetWriteDeadline does nothing: writes don't wait.
func (pc *packetConn) SetWriteDeadline(time.Time) error {
	return nil
}

// SetReadBuffer does nothing: the receive queue has a fixed length.
func (pc *packetConn) SetReadBuffer(int) error {
	return nil
}

// SetWriteBuffer does nothing: the agent's socket sets its own buffer.
func (pc *packetConn) SetWriteBuffer(int) error {
	return nil
}
