package main

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

var (
	errReset   = errors.New("reset by the system")
	errHost    = errors.New("reset by the host")
	errNoReply = errors.New("no answer")
)

// resetWindow is how far the seq of a system's reset may lie from the client's last ack.
const resetWindow = 76800

// clients is the stand-in for the clients of one zone: one address with many flows.
type clients struct {
	rec  *record
	zone string
	ip   netip.Addr
	// send hands a client's packet to the fabric.
	send func(zone string, p packet)

	mu    sync.Mutex
	conn  *net.UDPConn
	flows map[flowKey]*clientFlow
	port  uint16
	// first and pool are the first and the number of the ports that are used in turn.
	first, pool uint16
}

// clientFlow is a client's end of one flow.
type clientFlow struct {
	cl     *clients
	send   func(zone string, p packet)
	key    flowKey
	isn    uint32
	opened chan error
	isOpen bool
	failed error
	// last says that the next request is the last one; closed is closed when both ends
	// have sent a FIN.
	last    bool
	closed  chan struct{}
	stream  *stream
	input   []byte
	answers chan message
	// sends are the times at which the packets after the opening were sent.
	sends []time.Time
}

func newClients(rec *record, zone string, at netip.AddrPort, send func(string, packet)) (*clients, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	cl := &clients{rec: rec, zone: zone, ip: at.Addr(), send: send, conn: conn, flows: make(map[flowKey]*clientFlow), port: uint16(20000 + rand.IntN(20000))}
	go cl.read()
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			cl.tick()
		}
	}()
	return cl, nil
}

// setPorts lets the clients use the ports in turn.
func (cl *clients) setPorts(first, pool uint16) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.first, cl.pool, cl.port = first, pool, first-1
}

func (cl *clients) tick() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	now := time.Now()
	for _, f := range cl.flows {
		if f.isOpen {
			f.stream.tick(now)
		}
	}
}

func (cl *clients) read() {
	buffer := make([]byte, 2048)
	for {
		n, err := cl.conn.Read(buffer)
		if err != nil {
			return
		}
		p, err := decode(buffer[:n], true)
		if err != nil {
			cl.rec.printf("client %s got a datagram that is no packet", cl.ip)
			continue
		}
		cl.mu.Lock()
		if f := cl.flows[p.flowKey]; f != nil {
			f.handle(time.Now(), p, intact(buffer[:n]))
		}
		cl.mu.Unlock()
	}
}

// handle handles a packet for the client. It is called with mu held.
func (f *clientFlow) handle(now time.Time, p packet, intact bool) {
	switch {
	case p.has(flagReset) && p.sum == 0:
		if f.isOpen && abs(int64(int32(p.seq-f.stream.received))) > resetWindow {
			return
		}
		f.end(errReset)
	case !intact:
		f.cl.rec.printf("flow %s: a packet that its sender didn't write so", f.key.client)
	case p.has(flagReset):
		f.end(errHost)
	case p.has(flagSyn) && p.has(flagAck) && !f.isOpen && f.failed == nil && p.ack == f.isn+1:
		f.isOpen = true
		f.stream = newStream(f.isn+1, p.seq+1, func(flags byte, seq, ack uint32, data []byte) {
			f.transmit(flags, seq, ack, data)
		})
		f.stream.acknowledge()
		f.opened <- nil
	case f.isOpen && p.has(flagFin) && f.last:
		f.transmit(flagAck|flagFin, p.ack, p.seq+1, nil)
		f.isOpen = false
		delete(f.cl.flows, f.key)
		close(f.closed)
	case f.isOpen && !p.has(flagSyn):
		f.input = append(f.input, f.stream.handle(now, p)...)
		if m, rest, ok := cutMessage(f.input); ok {
			f.input = rest
			f.stream.acknowledge()
			f.answers <- m
		}
	}
}

func abs(n int64) int64 { return max(n, -n) }

// end ends the flow with an error. It is called with mu held.
func (f *clientFlow) end(err error) {
	if f.failed != nil {
		return
	}
	f.failed = err
	if !f.isOpen {
		f.opened <- err
		return
	}
	f.cl.rec.printf("flow %s: %v", f.key.client, err)
	f.isOpen = false
	close(f.answers)
}

func (f *clientFlow) transmit(flags byte, seq, ack uint32, data []byte) {
	f.sends = append(f.sends, time.Now())
	f.send(f.cl.zone, packet{flowKey: f.key, flags: flags, seq: seq, ack: ack, data: data})
}

// open opens a flow to the route. It returns errReset or errNoReply if that fails.
func (cl *clients) open(route netip.AddrPort) (*clientFlow, error) {
	return cl.openThrough(route, cl.send)
}

// openThrough opens a flow whose packets are all handed to the function.
func (cl *clients) openThrough(route netip.AddrPort, send func(zone string, p packet)) (*clientFlow, error) {
	cl.mu.Lock()
	cl.port++
	if cl.pool > 0 && cl.port >= cl.first+cl.pool {
		cl.port = cl.first
	}
	f := &clientFlow{
		cl: cl, send: send, key: flowKey{client: netip.AddrPortFrom(cl.ip, cl.port), route: route}, isn: rand.Uint32(),
		opened: make(chan error, 1), answers: make(chan message, 8), closed: make(chan struct{}),
	}
	cl.flows[f.key] = f
	cl.mu.Unlock()
	err := errNoReply
	for copyNumber, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		send(cl.zone, packet{flowKey: f.key, flags: flagSyn, seq: f.isn, ack: uint32(copyNumber)})
		select {
		case err = <-f.opened:
			if err != nil {
				f.close()
				return nil, err
			}
			return f, nil
		case <-time.After(wait):
		}
	}
	f.close()
	return nil, err
}

// request sends a request and waits for its answer until the timeout.
func (f *clientFlow) request(id, path string, size int, timeout time.Duration) error {
	f.cl.mu.Lock()
	if f.failed != nil {
		f.cl.mu.Unlock()
		return f.failed
	}
	f.stream.write(time.Now(), requestText(id, path, size, f.last))
	f.cl.mu.Unlock()
	deadline := time.After(timeout)
	for {
		select {
		case m, ok := <-f.answers:
			if !ok {
				return f.failed
			}
			if m.header["Request-Id"] == id {
				return nil
			}
		case <-deadline:
			return errNoReply
		}
	}
}

// finish closes an open flow.
func (f *clientFlow) finish() {
	f.cl.mu.Lock()
	if f.isOpen {
		f.transmit(flagFin|flagAck, f.stream.sendBase+uint32(f.stream.sent), f.stream.received, nil)
	}
	f.cl.mu.Unlock()
	f.close()
}

func (f *clientFlow) close() {
	f.cl.mu.Lock()
	defer f.cl.mu.Unlock()
	f.isOpen = false
	delete(f.cl.flows, f.key)
}
