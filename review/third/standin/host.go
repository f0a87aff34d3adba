package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// hostFlow is a flow at its host.
type hostFlow struct {
	clientStart uint32
	start       uint32
	// received is the sequence number after the last request, sent that after the last
	// answer.
	received, sent uint32
	open, ended    bool
	answer         []byte
}

// host is a host of a service, beside an agent.
type host struct {
	re   *record
	ma   *machine
	id   string
	work time.Duration
	// onRun is called when the host runs a request.
	onRun func(ho *host, flow flowKey, body string)

	mu       sync.Mutex
	conn     *net.UDPConn
	health   *http.Server
	born     time.Time
	sequence int
	draining bool
	// failsHealth says that the liveness check fails.
	failsHealth bool
	flows       map[flowKey]*hostFlow
	// slots holds a token for each request that the host works on.
	slots chan struct{}
}

// capacity is the number of requests that a host works on at once.
const capacity = 2

// start starts the host: it has no flows and checks in until it is stopped.
func (ho *host) start() error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(ho.ma.at(portApp)))
	if err != nil {
		return err
	}
	li, err := net.Listen("tcp", ho.ma.at(portApp).String())
	if err != nil {
		conn.Close()
		return err
	}
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.conn, ho.born, ho.sequence, ho.draining = conn, time.Now(), 0, false
	ho.flows, ho.slots = make(map[flowKey]*hostFlow), make(chan struct{}, capacity)
	ho.health = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		ho.mu.Lock()
		defer ho.mu.Unlock()
		if ho.draining || ho.failsHealth {
			wr.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	go func(sv *http.Server) { _ = sv.Serve(li) }(ho.health)
	go ho.receive(conn)
	go func() {
		for ho.checkIn(conn) {
			time.Sleep(heartbeat)
		}
	}()
	ho.re.write("host %s of %s started on %s", ho.id, ho.ma.service, ho.ma.name)
	return nil
}

// stop ends the host, without a word to anybody.
func (ho *host) stop() {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if ho.conn == nil {
		return
	}
	ho.conn.Close()
	ho.health.Close()
	ho.conn = nil
	ho.flows = nil
}

// body returns the body of a check-in. It is called with mu held.
func (ho *host) body(sequence int, state string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","capacity":%d,"state":%q,"warmup_left_ms":0,"sequence":%d,"born":%d}`,
		ho.ma.service, ho.ma.at(portApp), ho.ma.zone, capacity, state, sequence, ho.born.UnixMilli())
}

// checkIn sends the next check-in. It reports false once the host has ended.
func (ho *host) checkIn(conn *net.UDPConn) bool {
	ho.mu.Lock()
	if ho.conn != conn {
		ho.mu.Unlock()
		return false
	}
	ho.sequence++
	state := "ready"
	if ho.draining {
		state = "draining"
	}
	sequence, body := ho.sequence, ho.body(ho.sequence, state)
	ho.mu.Unlock()
	status := ho.put(body)
	ho.re.write("host %s: check-in %d as %s: status %d", ho.id, sequence, state, status)
	return true
}

// put sends the body of a check-in and returns the status, zero without an answer within a
// second.
func (ho *host) put(body string) int {
	rq, err := http.NewRequest(http.MethodPut, "http://"+ho.ma.at(portControl).String()+"/v1/instances/"+ho.id, strings.NewReader(body))
	if err != nil {
		return 0
	}
	rq.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	rs, err := client.Do(rq)
	if err != nil {
		return 0
	}
	rs.Body.Close()
	return rs.StatusCode
}

func (ho *host) receive(conn *net.UDPConn) {
	buffer := make([]byte, 2048)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		datagram := append([]byte(nil), buffer[:n]...)
		pk, err := decode(datagram)
		if err != nil || !genuine(datagram) || pk.has(flagSyn) && pk.has(flagAck) {
			ho.re.say("host %s: a packet that nobody sent: %v", ho.id, err)
			continue
		}
		for _, answer := range ho.handle(pk, datagram) {
			_, _ = conn.WriteToUDPAddrPort(answer, ho.ma.at(portOutbound))
		}
	}
}

// bounce returns the packet to the system.
func bounce(datagram []byte) [][]byte {
	datagram[0] |= flagBounced
	clear(datagram[1:6])
	return [][]byte{datagram}
}

// handle returns the packets that answer a packet at once.
func (ho *host) handle(pk *packet, datagram []byte) [][]byte {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if ho.flows == nil {
		return nil
	}
	key := flowKey{client: pk.src, service: pk.dst}
	fl := ho.flows[key]
	if pk.has(flagSyn) {
		if fl == nil || fl.clientStart != pk.seq {
			fl = &hostFlow{clientStart: pk.seq, start: rand.Uint32(), received: pk.seq + 1}
			fl.sent = fl.start + 1
			ho.flows[key] = fl
		}
		ho.re.write("host %s: accepts %s copy %d", ho.id, key, pk.ack)
		return [][]byte{ho.reply(key, flagSyn|flagAck, fl.start, fl.received, nil)}
	}
	if fl == nil || pk.ack-(fl.start+1) > fl.sent-(fl.start+1) {
		ho.re.write("host %s: returns a packet of %s", ho.id, key)
		return bounce(datagram)
	}
	fl.open = true
	switch {
	case pk.has(flagRst):
		delete(ho.flows, key)
		return nil
	case fl.ended && len(pk.data) > 0:
		return [][]byte{ho.reply(key, flagRst, fl.sent, 0, nil)}
	case len(pk.data) > 0 && pk.seq == fl.received:
		fl.received += uint32(len(pk.data))
		fl.answer = nil
		ho.run(key, fl, string(pk.data))
		return nil
	case len(pk.data) > 0 && fl.answer != nil:
		return [][]byte{ho.reply(key, flagAck, fl.sent-uint32(len(fl.answer)), fl.received, fl.answer)}
	case pk.has(flagFin):
		fl.ended = true
		return [][]byte{ho.reply(key, flagAck|flagFin, fl.sent, fl.received+1, nil)}
	}
	return nil
}

// run runs a request and answers it when its work is done. It is called with mu held.
func (ho *host) run(key flowKey, fl *hostFlow, body string) {
	ho.re.write("host %s: runs %q of %s", ho.id, body, key)
	if ho.onRun != nil {
		ho.onRun(ho, key, body)
	}
	conn, slots := ho.conn, ho.slots
	go func() {
		slots <- struct{}{}
		time.Sleep(ho.work)
		<-slots
		ho.mu.Lock()
		defer ho.mu.Unlock()
		if ho.conn != conn || ho.flows[key] != fl {
			return
		}
		fl.answer = []byte(ho.id + " answers " + body)
		out := ho.reply(key, flagAck, fl.sent, fl.received, fl.answer)
		fl.sent += uint32(len(fl.answer))
		_, _ = conn.WriteToUDPAddrPort(out, ho.ma.at(portOutbound))
	}()
}

// reply returns a packet to the client of the flow.
func (ho *host) reply(key flowKey, flags byte, seq, ack uint32, data []byte) []byte {
	pk := packet{flags: flags, seq: seq, ack: ack, src: key.service, dst: key.client, data: data}
	return pk.encode()
}

// hostName returns the name of the host's service and its number.
func hostName(service string, number int) string { return fmt.Sprintf("i-%s-%d", service, number) }
