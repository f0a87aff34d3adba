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
	relayQueue = 4096
	// routeGeneration is the number of callers in one generation of the
	// routes; two generations are kept.
	routeGeneration = 1 << 16
)

// inbound is one caller's datagram on its way to the QUIC server.
type inbound struct {
	caller netip.AddrPort
	length int
	data   [socket.MaxDatagram]byte
}

// relay is the net.PacketConn that the QUIC server uses. It reads the callers'
// datagrams that the agent has accepted, and sends answers through the
// balancer that a caller's last datagram came by.
type relay struct {
	queue  chan *inbound
	pool   sync.Pool
	send   func(payload []byte, caller netip.AddrPort, way wayBack) error
	local  netip.AddrPort
	closed chan struct{}
	once   sync.Once

	mu       sync.Mutex
	deadline chan struct{}
	routes   map[netip.AddrPort]wayBack
	former   map[netip.AddrPort]wayBack
}

// wayBack is how an answer reaches a caller.
type wayBack struct {
	balancer netip.AddrPort
	entry    uint8
}

func newRelay(local netip.AddrPort, send func([]byte, netip.AddrPort, wayBack) error) *relay {
	return &relay{
		queue:    make(chan *inbound, relayQueue),
		pool:     sync.Pool{New: func() any { return new(inbound) }},
		send:     send,
		local:    local,
		closed:   make(chan struct{}),
		deadline: make(chan struct{}),
		routes:   make(map[netip.AddrPort]wayBack),
	}
}

// push hands a datagram to the QUIC server. It returns false when the queue is
// full; QUIC repeats what is lost.
func (re *relay) push(caller netip.AddrPort, way wayBack, payload []byte) bool {
	re.learn(caller, way)
	in := re.pool.Get().(*inbound)
	in.caller = caller
	in.length = copy(in.data[:], payload)
	select {
	case re.queue <- in:
		return true
	default:
		re.pool.Put(in)
		return false
	}
}

func (re *relay) learn(caller netip.AddrPort, way wayBack) {
	re.mu.Lock()
	defer re.mu.Unlock()
	if len(re.routes) >= routeGeneration {
		re.former = re.routes
		re.routes = make(map[netip.AddrPort]wayBack)
	}
	re.routes[caller] = way
}

func (re *relay) routeTo(caller netip.AddrPort) (wayBack, bool) {
	re.mu.Lock()
	defer re.mu.Unlock()
	way, ok := re.routes[caller]
	if !ok {
		way, ok = re.former[caller]
	}
	return way, ok
}

// ReadFrom reads the next accepted datagram.
func (re *relay) ReadFrom(buffer []byte) (int, net.Addr, error) {
	re.mu.Lock()
	deadline := re.deadline
	re.mu.Unlock()
	select {
	case in := <-re.queue:
		length := copy(buffer, in.data[:in.length])
		caller := net.UDPAddrFromAddrPort(in.caller)
		re.pool.Put(in)
		return length, caller, nil
	case <-re.closed:
		return 0, nil, net.ErrClosed
	case <-deadline:
		return 0, nil, os.ErrDeadlineExceeded
	}
}

// WriteTo sends an answer to a caller.
func (re *relay) WriteTo(payload []byte, addr net.Addr) (int, error) {
	ua, ok := addr.(*net.UDPAddr)
	if !ok {
		return 0, net.InvalidAddrError(addr.String())
	}
	ap := ua.AddrPort()
	caller := netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
	way, ok := re.routeTo(caller)
	if !ok {
		return len(payload), nil
	}
	if err := re.send(payload, caller, way); err != nil {
		return 0, err
	}
	return len(payload), nil
}

// Close ends all reads.
func (re *relay) Close() error {
	re.once.Do(func() { close(re.closed) })
	return nil
}

// LocalAddr returns the agent's datagram address.
func (re *relay) LocalAddr() net.Addr {
	return net.UDPAddrFromAddrPort(re.local)
}

// SetReadDeadline ends reads at once when the deadline has passed, which is
// all that the QUIC library asks for.
func (re *relay) SetReadDeadline(deadline time.Time) error {
	re.mu.Lock()
	defer re.mu.Unlock()
	passed := !deadline.IsZero() && !deadline.After(time.Now())
	select {
	case <-re.deadline:
		if !passed {
			re.deadline = make(chan struct{})
		}
	default:
		if passed {
			close(re.deadline)
		}
	}
	return nil
}

// SetDeadline sets the read deadline.
func (re *relay) SetDeadline(deadline time.Time) error {
	return re.SetReadDeadline(deadline)
}

// SetWriteDeadline does nothing: writes don't wait.
func (re *relay) SetWriteDeadline(time.Time) error {
	return nil
}

// SetReadBuffer does nothing: the relay's queue has a fixed size.
func (re *relay) SetReadBuffer(int) error {
	return nil
}

// SetWriteBuffer does nothing: the socket below has its own buffer.
func (re *relay) SetWriteBuffer(int) error {
	return nil
}
