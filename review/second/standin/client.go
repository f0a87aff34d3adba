package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Copies of an opening packet, and when a client gives up.
var openingCopies = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

const openingTimeout = 1400 * time.Millisecond

// client is a machine of a client in a zone. Its flows have ports of their own.
type client struct {
	system *system
	zone   string
	conn   *net.UDPConn
	ip     netip.Addr
	mu     sync.Mutex
	flows  map[netip.AddrPort]*clientFlow
}

func (sy *system) client(zone string, number int) (*client, error) {
	// Packets to clients are sent to the port of datagram_addr.
	address := sy.at(100, number, portPackets)
	conn, err := listen(address)
	if err != nil {
		return nil, err
	}
	cl := &client{system: sy, zone: zone, conn: conn, ip: address.Addr(), flows: make(map[netip.AddrPort]*clientFlow)}
	sy.mu.Lock()
	sy.clients = append(sy.clients, cl)
	sy.mu.Unlock()
	go cl.receive()
	return cl, nil
}

func (cl *client) close() { _ = cl.conn.Close() }

// clientFlow is a flow of a client.
type clientFlow struct {
	client *client
	key    flowKey
	start  uint32
	// to, if set, is the balancer that gets all packets, as a node that is tested directly.
	to netip.AddrPort

	mu                    sync.Mutex
	open, ended           bool
	opened                chan struct{}
	hostStart             uint32
	sent, acked, received uint32
	unacked               []byte
	unackedSeq            uint32
	in                    []byte
	unconfirmed           int
	resetAt               time.Time
	closed                chan struct{}
	answered              chan []byte
	timer                 *time.Timer
	retransmits           int
	// sentAt are the times of the packets other than openings. It is guarded by mu.
	sentAt []time.Time
}

// newFlow makes a flow from the port to the service's address.
func (cl *client) newFlow(port uint16, service netip.AddrPort) *clientFlow {
	start := rand.Uint32()
	fl := &clientFlow{
		client: cl, key: flowKey{client: netip.AddrPortFrom(cl.ip, port), service: service}, start: start, sent: start + 1, acked: start + 1,
		opened: make(chan struct{}), closed: make(chan struct{}), answered: make(chan []byte, 16),
	}
	cl.mu.Lock()
	cl.flows[fl.key.client] = fl
	cl.mu.Unlock()
	return fl
}

func (cl *client) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := cl.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		pa, valid := decode(append([]byte(nil), buffer[:n]...))
		cl.mu.Lock()
		fl := cl.flows[pa.dst]
		cl.mu.Unlock()
		if fl == nil {
			continue
		}
		fl.mu.Lock()
		switch {
		case pa.flags&flagRST != 0:
			fl.handleReset(pa, valid)
		case !valid:
			cl.system.add("MIXED at %s: %v", fl.key.client, pa)
		default:
			fl.handle(pa)
		}
		fl.mu.Unlock()
	}
}

// send sends a packet through the fabric. It is called with mu held, unless the packet is an
// opening. It returns the name of the balancer.
func (fl *clientFlow) send(pa packet) string {
	pa.src, pa.dst = fl.key.client, fl.key.service
	to, name := fl.to, fl.to.String()
	if !to.IsValid() {
		no := fl.client.system.fabric.route(fl.client.zone, pa)
		if no == nil {
			return ""
		}
		to, name = no.packets, no.name
	}
	if pa.flags&flagSYN == 0 {
		fl.sentAt = append(fl.sentAt, time.Now())
	}
	_, _ = fl.client.conn.WriteToUDPAddrPort(pa.encode(), to)
	return name
}

// dial opens the flow. It reports false if a reset came, or no answer in time.
func (fl *clientFlow) dial() bool {
	began := time.Now()
	for number, after := range openingCopies {
		select {
		case <-fl.opened:
			return true
		case <-fl.closed:
			return false
		case <-time.After(time.Until(began.Add(after))):
		}
		via := fl.send(packet{flags: flagSYN, seq: fl.start, ack: uint32(number)})
		fl.client.system.add("client %s sends copy %d of its opening to %s through %s", fl.key.client, number, fl.key.service, via)
	}
	select {
	case <-fl.opened:
		return true
	case <-fl.closed:
		return false
	case <-time.After(time.Until(began.Add(openingTimeout))):
		fl.mu.Lock()
		defer fl.mu.Unlock()
		fl.ended = !fl.open
		return fl.open
	}
}

// handleReset handles a reset of the host, which is valid, or of the system. A reset of an
// open flow counts if its number is near the client's last acknowledgement.
func (fl *clientFlow) handleReset(pa packet, valid bool) {
	if fl.ended {
		return
	}
	if fl.open && !valid && pa.seq-fl.received > 76_800 && fl.received-pa.seq > 76_800 {
		fl.client.system.add("client %s ignores a reset with seq %d, its ack is %d", fl.key.client, pa.seq, fl.received)
		return
	}
	fl.client.system.add("client %s is reset, open=%v, by the host=%v", fl.key.client, fl.open, valid)
	fl.ended, fl.resetAt = true, time.Now()
	fl.stopTimer()
	close(fl.closed)
}

func (fl *clientFlow) stopTimer() {
	if fl.timer != nil {
		fl.timer.Stop()
		fl.timer = nil
	}
}

func (fl *clientFlow) handle(pa packet) {
	if fl.ended {
		return
	}
	if pa.flags&flagSYN != 0 {
		if !fl.open {
			fl.open = true
			fl.hostStart, fl.received = pa.seq, pa.seq+1
			close(fl.opened)
			fl.send(packet{flags: flagACK, seq: fl.sent, ack: fl.received})
		}
		return
	}
	if !fl.open {
		return
	}
	if advance := pa.ack - fl.acked; advance > 0 && advance <= fl.sent-fl.acked {
		fl.acked = pa.ack
		fl.unacked = fl.unacked[min(int(advance), len(fl.unacked)):]
		fl.unackedSeq = fl.acked
		fl.stopTimer()
	}
	if len(pa.data) == 0 {
		return
	}
	if pa.seq != fl.received {
		fl.send(packet{flags: flagACK, seq: fl.sent, ack: fl.received})
		return
	}
	fl.received += uint32(len(pa.data))
	fl.in = append(fl.in, pa.data...)
	// Every second packet is acknowledged, and the last of an answer.
	fl.unconfirmed++
	if whole := fl.takeAnswer(); whole || fl.unconfirmed >= 2 {
		fl.unconfirmed = 0
		fl.send(packet{flags: flagACK, seq: fl.sent, ack: fl.received})
	}
}

// takeAnswer takes a whole answer out of what was received.
func (fl *clientFlow) takeAnswer() bool {
	head, rest, complete := bytes.Cut(fl.in, []byte("\r\n\r\n"))
	if !complete {
		return false
	}
	size := 0
	for _, line := range strings.Split(string(head), "\r\n") {
		if text, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			size, _ = strconv.Atoi(text)
		}
	}
	if len(rest) < size {
		return false
	}
	fl.in = rest[size:]
	select {
	case fl.answered <- head:
	default:
	}
	return true
}

// request sends a request and waits for its whole answer. It reports false after the
// time budget or a reset.
func (fl *clientFlow) request(id string, size, work int, budget time.Duration) bool {
	data := []byte(fmt.Sprintf("GET /%d/%d HTTP/1.1\r\nRequest-Id: %s\r\n\r\n", size, work, id))
	fl.mu.Lock()
	fl.unacked, fl.unackedSeq, fl.retransmits = data, fl.sent, 0
	via := fl.send(packet{flags: flagACK, seq: fl.sent, ack: fl.received, data: data})
	fl.sent += uint32(len(data))
	fl.arm()
	fl.mu.Unlock()
	fl.client.system.add("client %s sends request %s through %s", fl.key.client, id, via)
	select {
	case <-fl.answered:
		fl.client.system.add("client %s has the answer to request %s", fl.key.client, id)
		return true
	case <-fl.closed:
		return false
	case <-time.After(budget):
		fl.client.system.add("client %s has no answer to request %s within %v", fl.key.client, id, budget)
		return false
	}
}

// arm retransmits the unacknowledged request. It is called with mu held.
func (fl *clientFlow) arm() {
	fl.timer = time.AfterFunc(min(firstRetransmit<<fl.retransmits, lastRetransmit), func() {
		fl.mu.Lock()
		defer fl.mu.Unlock()
		if fl.ended || len(fl.unacked) == 0 {
			return
		}
		fl.retransmits++
		fl.send(packet{flags: flagACK, seq: fl.unackedSeq, ack: fl.received, data: fl.unacked})
		fl.arm()
	})
}

// wasReset reports whether the flow was reset.
func (fl *clientFlow) wasReset() bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return !fl.resetAt.IsZero()
}

// finish closes the flow.
func (fl *clientFlow) finish() {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if !fl.ended && fl.open {
		fl.send(packet{flags: flagFIN | flagACK, seq: fl.sent, ack: fl.received})
	}
	fl.ended = true
	fl.stopTimer()
}
