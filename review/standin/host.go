package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	capacity  = 2
)

// hostFlow is a flow at a host.
type hostFlow struct {
	isn, clientISN uint32
	open, ended    bool
	// closing says that the host has sent its FIN.
	closing bool
	stream  *stream
	input   []byte
}

// host is a stand-in for an application host: it holds flows, answers requests after
// its work time, and checks in at the agent of its machine.
type host struct {
	rec         *record
	name, id    string
	service     string
	zone        string
	app, agent  netip.AddrPort
	control     netip.AddrPort
	born        time.Time
	work        time.Duration
	client      *http.Client
	packetSeen  func(h *host, key flowKey, p packet, held bool, now time.Time)
	requestSeen func(h *host, key flowKey, id, path string)

	mu       sync.Mutex
	conn     *net.UDPConn
	server   *http.Server
	flows    map[flowKey]*hostFlow
	resets   map[flowKey]bool
	sequence int
	refused  int
}

func (h *host) start(stop <-chan struct{}) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(h.app))
	if err != nil {
		return err
	}
	h.conn, h.born = conn, time.Now()
	h.flows, h.resets = make(map[flowKey]*hostFlow), make(map[flowKey]bool)
	li, err := net.Listen("tcp", h.app.String())
	if err != nil {
		return err
	}
	h.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Instance-Id", h.id)
	})}
	go h.server.Serve(li)
	go h.read()
	go h.checkIns(stop)
	go func() {
		ticker := time.NewTicker(10 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				h.conn.Close()
				h.server.Close()
				return
			case now := <-ticker.C:
				h.tick(now)
			}
		}
	}()
	return nil
}

func (h *host) tick(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, f := range h.flows {
		if f.open && !f.ended && f.stream.resends < 8 {
			f.stream.tick(now)
		}
	}
}

func (h *host) read() {
	buffer := make([]byte, 2048)
	for {
		n, err := h.conn.Read(buffer)
		if err != nil {
			return
		}
		p, err := decode(buffer[:n], false)
		if err != nil {
			h.rec.printf("%s got a datagram that is no packet", h.name)
			continue
		}
		if !intact(buffer[:n]) {
			h.rec.printf("%s got a packet that its sender didn't write so", h.name)
			continue
		}
		h.mu.Lock()
		h.handle(time.Now(), p, buffer[:n])
		h.mu.Unlock()
	}
}

// handle handles one packet of a client. It is called with mu held.
func (h *host) handle(now time.Time, p packet, datagram []byte) {
	f := h.flows[p.flowKey]
	if p.has(flagSyn) {
		if f == nil || f.clientISN != p.seq {
			f = &hostFlow{isn: rand.Uint32(), clientISN: p.seq}
			h.flows[p.flowKey] = f
		}
		if !f.ended {
			h.send(p.flowKey, flagSyn|flagAck, f.isn, p.seq+1, nil)
		}
		return
	}
	if f != nil && !f.open && p.ack == f.isn+1 {
		f.open = true
		f.stream = newStream(f.isn+1, f.clientISN+1, func(flags byte, seq, ack uint32, data []byte) {
			h.send(p.flowKey, flags, seq, ack, data)
		})
		h.rec.printf("%s opens %s", h.name, p.client)
	}
	held := f != nil && f.open
	h.packetSeen(h, p.flowKey, p, held, now)
	if !held {
		returned := append([]byte(nil), datagram...)
		returned[0] |= flagBounced
		clear(returned[1:6])
		h.conn.WriteToUDPAddrPort(returned, h.agent)
		return
	}
	switch {
	case p.has(flagReset):
		f.ended = true
	case p.has(flagFin):
		f.ended = true
		flags := byte(flagAck)
		if !f.closing {
			flags |= flagFin
		}
		h.send(p.flowKey, flags, p.ack, p.seq+1, nil)
	case f.ended && len(p.data) > 0:
		h.resets[p.flowKey] = true
		h.rec.printf("%s resets %s, which has ended there", h.name, p.client)
		h.send(p.flowKey, flagReset, p.ack, 0, nil)
	case !f.ended:
		f.input = append(f.input, f.stream.handle(now, p)...)
		h.serve(p.flowKey, f)
	}
}

// serve starts the work on a request that is whole.
func (h *host) serve(key flowKey, f *hostFlow) {
	rq, rest, ok := cutMessage(f.input)
	if !ok {
		return
	}
	f.input = rest
	id := rq.header["Request-Id"]
	h.rec.printf("%s runs %s: %s", h.name, id, rq.start)
	h.requestSeen(h, key, id, rq.start)
	time.AfterFunc(h.work, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		body := bytes.Repeat([]byte("r"), 600)
		f.stream.write(time.Now(), encodeMessage("HTTP/1.1 200 OK", map[string]string{"Request-Id": id, "Server-Signature": h.id}, body))
		if rq.header["Connection"] == "close" {
			f.closing = true
			h.send(key, flagAck|flagFin, f.stream.sendBase+uint32(f.stream.sent), f.stream.received, nil)
		}
	})
}

func (h *host) send(key flowKey, flags byte, seq, ack uint32, data []byte) {
	p := packet{flowKey: key, flags: flags, seq: seq, ack: ack, data: data}
	h.conn.WriteToUDPAddrPort(p.encode(true), h.agent)
}

// holds reports whether the flow is open at the host.
func (h *host) holds(key flowKey) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[key]
	return f != nil && f.open && !f.ended
}

// reset reports whether the host has reset the flow.
func (h *host) reset(key flowKey) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.resets[key]
}

func (h *host) checkIns(stop <-chan struct{}) {
	for {
		h.checkIn()
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (h *host) checkIn() {
	h.mu.Lock()
	h.sequence++
	sequence := h.sequence
	h.mu.Unlock()
	status, err := putCheckIn(h.client, h.control, h.id, checkIn{
		Service: h.service, Address: h.app.String(), Zone: h.zone, Version: "v1", Capacity: capacity, State: "ready",
		Sequence: sequence, Born: h.born.UnixMilli(),
	})
	if err != nil || status != http.StatusOK {
		h.mu.Lock()
		h.refused++
		h.mu.Unlock()
		h.rec.printf("%s check-in %d not acknowledged: status %d %v", h.name, sequence, status, err)
	}
}

// checkIn is the body of a check-in.
type checkIn struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Capacity int    `json:"capacity"`
	State    string `json:"state"`
	Warmup   int    `json:"warmup_left_ms"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
}

// putCheckIn sends a check-in and returns the status of the response.
func putCheckIn(client *http.Client, to netip.AddrPort, id string, ci checkIn) (int, error) {
	body, _ := json.Marshal(ci)
	rq, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/v1/instances/%s", to, id), bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	rq.Header.Set("Content-Type", "application/json")
	rs, err := client.Do(rq)
	if err != nil {
		return 0, err
	}
	defer rs.Body.Close()
	return rs.StatusCode, nil
}

// requestText returns a request. If last is set it asks the host to close the flow.
func requestText(id, path string, size int, last bool) []byte {
	header := map[string]string{"Request-Id": id, "Host": "booking"}
	if last {
		header["Connection"] = "close"
	}
	return encodeMessage("POST "+path+" HTTP/1.1", header, bytes.Repeat([]byte("b"), size))
}
