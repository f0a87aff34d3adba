package main

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Times of a client, from its first packet.
const (
	openingTimeout = 1400 * time.Millisecond
	timeBudget     = 2000 * time.Millisecond
)

// copyTimes are the times at which a client sends the copies of an opening packet.
var copyTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// Outcomes of a request other than an answer.
var (
	errNotOpened = errors.New("no acceptance")
	errReset     = errors.New("reset")
	errSilent    = errors.New("no answer")
)

// client is the end of many flows: one socket, at which the packets of all of them arrive.
type client struct {
	re   *record
	ip   netip.Addr
	conn *net.UDPConn
	// route returns the entry to which a flow's packet goes now.
	route func(flow flowKey) (netip.AddrPort, bool)

	mu    sync.Mutex
	next  uint16
	flows map[uint16]chan *packet
}

func newClient(re *record, ip netip.Addr, route func(flowKey) (netip.AddrPort, bool)) (*client, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, portPackets)))
	if err != nil {
		return nil, err
	}
	cl := &client{re: re, ip: ip, conn: conn, route: route, next: 40000, flows: make(map[uint16]chan *packet)}
	go cl.receive()
	return cl, nil
}

func (cl *client) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := cl.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		datagram := append([]byte(nil), buffer[:n]...)
		pk, err := decode(datagram)
		if err != nil || !pk.has(flagRst) && !genuine(datagram) {
			cl.re.say("client: a packet that nobody sent: %v", err)
			continue
		}
		cl.mu.Lock()
		found := cl.flows[pk.dst.Port()]
		cl.mu.Unlock()
		select {
		case found <- pk:
		default:
		}
	}
}

// flow is a flow of a client.
type flow struct {
	cl  *client
	key flowKey
	// through is the only entry of the flow's packets, nil if the router selects one.
	through *machine
	in      chan *packet
	sent    uint32
	// received is the sequence number of the next byte that the client waits for.
	received uint32
}

// open opens a flow to the service's address. Unless it returns an error the flow is open
// once the next packet has reached its host. Its packets go through the machine, or where
// the router sends them if that is nil.
func (cl *client) open(service netip.AddrPort, through *machine) (*flow, error) {
	cl.mu.Lock()
	cl.next++
	fl := &flow{
		cl: cl, through: through, in: make(chan *packet, 64), sent: rand.Uint32(),
		key: flowKey{client: netip.AddrPortFrom(cl.ip, cl.next), service: service},
	}
	cl.flows[cl.next] = fl.in
	cl.mu.Unlock()
	began := time.Now()
	for i, at := range copyTimes {
		end := openingTimeout
		if i+1 < len(copyTimes) {
			end = copyTimes[i+1]
		}
		time.Sleep(time.Until(began.Add(at)))
		fl.send(&packet{flags: flagSyn, seq: fl.sent, ack: uint32(i)})
		pk, ok := fl.wait(began.Add(end))
		switch {
		case !ok:
			continue
		case pk.has(flagRst):
			fl.forget()
			return fl, errReset
		case pk.has(flagSyn):
			fl.sent++
			fl.received = pk.seq + 1
			return fl, nil
		}
	}
	fl.forget()
	return fl, errNotOpened
}

// send sends a packet of the flow through the entry that the router selects now.
func (fl *flow) send(pk *packet) {
	pk.src, pk.dst = fl.key.client, fl.key.service
	if fl.through != nil {
		_, _ = fl.cl.conn.WriteToUDPAddrPort(pk.encode(), fl.through.at(portPackets))
		return
	}
	if to, ok := fl.cl.route(fl.key); ok {
		_, _ = fl.cl.conn.WriteToUDPAddrPort(pk.encode(), to)
	}
}

// wait returns the next packet that arrives before the time.
func (fl *flow) wait(until time.Time) (*packet, bool) {
	select {
	case pk := <-fl.in:
		return pk, true
	case <-time.After(time.Until(until)):
		return nil, false
	}
}

// call sends a request on the open flow and returns the answer.
func (fl *flow) call(body string, budget time.Duration) (string, error) {
	end := time.Now().Add(budget)
	interval := 200 * time.Millisecond
	for time.Now().Before(end) {
		fl.send(&packet{flags: flagAck, seq: fl.sent, ack: fl.received, data: []byte(body)})
		again := time.Now().Add(interval)
		if again.After(end) {
			again = end
		}
		for {
			pk, ok := fl.wait(again)
			if !ok {
				break
			}
			if pk.has(flagRst) {
				return "", errReset
			}
			if len(pk.data) == 0 || pk.seq != fl.received {
				continue
			}
			fl.sent += uint32(len(body))
			fl.received += uint32(len(pk.data))
			fl.send(&packet{flags: flagAck, seq: fl.sent, ack: fl.received})
			return string(pk.data), nil
		}
		interval = min(2*interval, 1600*time.Millisecond)
	}
	return "", errSilent
}

// finish closes the flow.
func (fl *flow) finish() {
	fl.send(&packet{flags: flagAck | flagFin, seq: fl.sent, ack: fl.received})
	fl.forget()
}

// forget frees the flow's port.
func (fl *flow) forget() {
	fl.cl.mu.Lock()
	defer fl.cl.mu.Unlock()
	delete(fl.cl.flows, fl.key.client.Port())
}

// request opens a flow for one request, and returns the answer.
func (cl *client) request(service netip.AddrPort, body string) (string, error) {
	return cl.requestThrough(nil, service, body)
}

// requestThrough does the same through the machine.
func (cl *client) requestThrough(through *machine, service netip.AddrPort, body string) (string, error) {
	began := time.Now()
	fl, err := cl.open(service, through)
	if err != nil {
		cl.re.write("client: %q of %s: %v", body, fl.key, err)
		return "", err
	}
	answer, err := fl.call(body, time.Until(began.Add(timeBudget)))
	if err == nil && !strings.HasSuffix(answer, body) {
		cl.re.say("client: %q got the answer %q", body, answer)
	}
	fl.finish()
	cl.re.write("client: %q of %s: answer %q, %v", body, fl.key, answer, err)
	return answer, err
}

func (cl *client) close() { cl.conn.Close() }
