package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of an end of a flow.
const (
	window          = 16
	firstRetransmit = 200 * time.Millisecond
	lastRetransmit  = 1600 * time.Millisecond
	maxRetransmits  = 8
)

type flowKey struct{ client, service netip.AddrPort }

// hostFlow is a flow at a host.
type hostFlow struct {
	key              flowKey
	clientStart, own uint32
	open             bool
	// received is the next byte of the client that is waited for, sent the next byte to
	// send, acked the first that the client hasn't acknowledged. out holds what is queued
	// from acked on.
	received, sent, acked uint32
	request               []byte
	out                   []byte
	retransmits           int
	timer                 *time.Timer
	clientFinished        bool
}

// host is a host beside an agent. A request names in its path how many bytes its answer
// has and how long it works on it: /BYTES/MILLISECONDS.
type host struct {
	machine
	system   *system
	conn     *net.UDPConn
	listener net.Listener
	outbound netip.AddrPort
	cancel   context.CancelFunc
	born     time.Time
	id       string

	mu       sync.Mutex
	flows    map[flowKey]*hostFlow
	ran      map[string]int
	draining bool
}

func startHost(sy *system, ma machine) (*host, error) {
	app := sy.at(ma.third, ma.fourth, portApp)
	conn, err := listen(app)
	if err != nil {
		return nil, err
	}
	li, err := net.Listen("tcp", app.String())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ho := &host{
		machine: ma, system: sy, conn: conn, listener: li, outbound: sy.at(ma.third, ma.fourth, portOutbound), cancel: cancel,
		born: time.Now(), id: fmt.Sprintf("i-%08x", rand.Uint32()), flows: make(map[flowKey]*hostFlow), ran: make(map[string]int),
	}
	sy.mu.Lock()
	sy.hosts = append(sy.hosts, ho)
	sy.mu.Unlock()
	go func() { _ = http.Serve(li, http.HandlerFunc(ho.health)) }()
	go ho.receive()
	go ho.checkIns(ctx)
	return ho, nil
}

func (ho *host) close() {
	ho.cancel()
	_ = ho.conn.Close()
	_ = ho.listener.Close()
}

func (ho *host) health(wr http.ResponseWriter, _ *http.Request) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if ho.draining {
		wr.WriteHeader(http.StatusServiceUnavailable)
	}
}

// checkIns sends a check-in each heartbeat. A check-in without an answer is repeated.
func (ho *host) checkIns(ctx context.Context) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	url := "http://" + ho.system.at(ho.third, ho.fourth, portControl).String() + "/v1/instances/" + ho.id
	for sequence := 1; ctx.Err() == nil; sequence++ {
		began := time.Now()
		body, _ := json.Marshal(map[string]any{
			"service": ho.service, "address": ho.system.at(ho.third, ho.fourth, portApp).String(), "zone": ho.zone, "version": "v1",
			"capacity": 2, "state": "ready", "warmup_left_ms": 0, "sequence": sequence, "born": ho.born.UnixMilli(),
		})
		rq, _ := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
		rq.Header.Set("Content-Type", "application/json")
		pause := heartbeat
		rs, err := client.Do(rq)
		if err != nil {
			pause = 300 * time.Millisecond
		} else {
			_ = rs.Body.Close()
		}
		time.Sleep(time.Until(began.Add(pause)))
	}
}

func (ho *host) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := ho.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		datagram := append([]byte(nil), buffer[:n]...)
		pa, valid := decode(datagram)
		if !valid || pa.flags&flagSYN != 0 && pa.flags&flagACK != 0 {
			ho.system.add("UNASKED at %s: %v", ho.name, pa)
			continue
		}
		ho.mu.Lock()
		ho.handle(pa, datagram)
		ho.mu.Unlock()
	}
}

// handle handles a packet. It is called with mu held, like the functions below.
func (ho *host) handle(pa packet, datagram []byte) {
	key := flowKey{client: pa.src, service: pa.dst}
	fl, ok := ho.flows[key]
	if pa.flags&flagSYN == 0 {
		ho.system.arrivals.note(key, ok)
	}
	switch {
	case pa.flags&flagSYN != 0:
		ho.handleOpening(key, fl, pa)
	case !ok:
		ho.bounce(datagram)
	case pa.flags&flagRST != 0:
		ho.end(fl)
	default:
		ho.handleData(fl, pa, datagram)
	}
}

func (ho *host) bounce(datagram []byte) {
	datagram[0] |= flagBounced
	clear(datagram[1:6])
	_, _ = ho.conn.WriteToUDPAddrPort(datagram, ho.outbound)
}

// handleOpening accepts a flow. A copy of an opening packet gets the same answer again.
func (ho *host) handleOpening(key flowKey, fl *hostFlow, pa packet) {
	if fl != nil && fl.clientStart == pa.seq {
		ho.system.add("host %s got copy %d of the opening of %s, open=%v", ho.name, pa.ack, key.client, fl.open)
	} else {
		if fl != nil {
			ho.end(fl)
		}
		own := rand.Uint32()
		fl = &hostFlow{key: key, clientStart: pa.seq, own: own, received: pa.seq + 1, sent: own + 1, acked: own + 1}
		ho.flows[key] = fl
		ho.system.add("host %s accepts the opening of %s (copy %d)", ho.name, key.client, pa.ack)
	}
	ho.send(fl, packet{flags: flagSYN | flagACK, seq: fl.own, ack: fl.clientStart + 1})
}

func (ho *host) send(fl *hostFlow, pa packet) {
	pa.src, pa.dst = fl.key.service, fl.key.client
	_, _ = ho.conn.WriteToUDPAddrPort(pa.encode(), ho.outbound)
}

func (ho *host) end(fl *hostFlow) {
	if fl.timer != nil {
		fl.timer.Stop()
	}
	delete(ho.flows, fl.key)
}

func (ho *host) handleData(fl *hostFlow, pa packet, datagram []byte) {
	if !fl.open {
		if pa.ack != fl.own+1 {
			// It belongs to a flow between the same addresses at another host.
			ho.bounce(datagram)
			return
		}
		fl.open = true
		ho.system.add("flow of %s is open at %s", fl.key.client, ho.name)
	}
	if advance := pa.ack - fl.acked; advance > 0 && advance <= fl.sent-fl.acked {
		fl.out = fl.out[advance:]
		fl.acked = pa.ack
		fl.retransmits = 0
		ho.arm(fl)
	}
	if pa.flags&flagFIN != 0 && pa.seq == fl.received {
		fl.received++
		fl.clientFinished = true
		ho.send(fl, packet{flags: flagFIN | flagACK, seq: fl.sent, ack: fl.received})
		ho.end(fl)
		return
	}
	if len(pa.data) > 0 {
		if pa.seq == fl.received {
			fl.received += uint32(len(pa.data))
			fl.request = append(fl.request, pa.data...)
			ho.beginRequest(fl)
		}
		ho.send(fl, packet{flags: flagACK, seq: fl.sent, ack: fl.received})
	}
	ho.push(fl)
}

// beginRequest runs the request of the flow once its head is complete.
func (ho *host) beginRequest(fl *hostFlow) {
	head, rest, complete := bytes.Cut(fl.request, []byte("\r\n\r\n"))
	if !complete {
		return
	}
	fl.request = rest
	lines := strings.Split(string(head), "\r\n")
	parts := strings.Split(strings.Fields(lines[0])[1], "/")
	size, _ := strconv.Atoi(parts[1])
	work, _ := strconv.Atoi(parts[2])
	id := strings.TrimPrefix(lines[1], "Request-Id: ")
	ho.ran[id]++
	ho.system.add("host %s (%s) runs request %s, work %d ms, time %d", ho.name, ho.service, id, work, ho.ran[id])
	time.AfterFunc(time.Duration(work)*time.Millisecond, func() {
		ho.mu.Lock()
		defer ho.mu.Unlock()
		if ho.flows[fl.key] != fl {
			return
		}
		ho.system.add("host %s answers request %s", ho.name, id)
		fl.out = append(fl.out, fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: %s\r\nContent-Length: %d\r\n\r\n", id, ho.id, size)...)
		fl.out = append(fl.out, bytes.Repeat([]byte{'x'}, size)...)
		ho.push(fl)
	})
}

// push sends what the window allows.
func (ho *host) push(fl *hostFlow) {
	for {
		flying := fl.sent - fl.acked
		left := fl.out[flying:]
		if len(left) == 0 || flying >= window*maxData {
			break
		}
		chunk := left[:min(len(left), maxData)]
		ho.send(fl, packet{flags: flagACK, seq: fl.sent, ack: fl.received, data: chunk})
		fl.sent += uint32(len(chunk))
	}
	if fl.timer == nil {
		ho.arm(fl)
	}
}

// arm sets the timer of the next retransmission, if bytes are in flight.
func (ho *host) arm(fl *hostFlow) {
	if fl.timer != nil {
		fl.timer.Stop()
		fl.timer = nil
	}
	if fl.sent == fl.acked {
		return
	}
	pause := min(firstRetransmit<<fl.retransmits, lastRetransmit)
	fl.timer = time.AfterFunc(pause, func() {
		ho.mu.Lock()
		defer ho.mu.Unlock()
		if ho.flows[fl.key] != fl || fl.sent == fl.acked {
			return
		}
		if fl.retransmits++; fl.retransmits > maxRetransmits {
			ho.system.add("host %s gives up the flow of %s", ho.name, fl.key.client)
			ho.end(fl)
			return
		}
		chunk := fl.out[:min(len(fl.out), maxData, int(fl.sent-fl.acked))]
		ho.send(fl, packet{flags: flagACK, seq: fl.acked, ack: fl.received, data: chunk})
		fl.timer = nil
		ho.arm(fl)
	})
}

// holds reports whether the host holds the open flow.
func (ho *host) holds(key flowKey) bool {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	fl, ok := ho.flows[key]
	return ok && fl.open
}
