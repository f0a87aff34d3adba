package main

import (
	"encoding/binary"
	"hash/fnv"
	"net"
	"net/http"
	"sync"
	"time"
)

// fabric is the stand-in for the platform's routers: it probes the balancers and
// hands each packet of a client to one of the client's zone, by "mod" hashing.
type fabric struct {
	conn      *net.UDPConn
	zones     []string
	balancers []*process

	mu     sync.Mutex
	misses map[*process]int
}

func newFabric(ip string, zones []string, balancers []*process) (*fabric, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(ip)})
	if err != nil {
		return nil, err
	}
	fb := &fabric{conn: conn, zones: zones, balancers: balancers, misses: make(map[*process]int)}
	for _, b := range balancers {
		fb.misses[b] = 2
		go fb.probe(b)
	}
	return fb, nil
}

// probe asks a balancer twice a second whether it is ready.
func (fb *fabric) probe(b *process) {
	client := &http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for range time.Tick(500 * time.Millisecond) {
		rs, err := client.Get("http://" + b.ready.String() + "/v1/ready")
		ok := err == nil && rs.StatusCode == http.StatusOK
		if err == nil {
			rs.Body.Close()
		}
		fb.mu.Lock()
		if ok {
			fb.misses[b] = 0
		} else {
			fb.misses[b]++
		}
		fb.mu.Unlock()
	}
}

// rotation returns the balancers that get the packets of a zone's clients.
func (fb *fabric) rotation(zone string) []*process {
	fb.mu.Lock()
	defer fb.mu.Unlock()
	list := fb.inRotation(zone)
	if list != nil {
		return list
	}
	for _, other := range fb.zones {
		list = append(list, fb.inRotation(other)...)
	}
	return list
}

// inRotation returns the balancers of the zone that are in rotation, all of them if
// these are fewer than half, nil if there are none.
func (fb *fabric) inRotation(zone string) []*process {
	var all, ready []*process
	for _, b := range fb.balancers {
		if b.zone != zone {
			continue
		}
		all = append(all, b)
		if fb.misses[b] < 2 {
			ready = append(ready, b)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	if 2*len(ready) < len(all) {
		return all
	}
	return ready
}

// send hands a client's packet to a balancer.
func (fb *fabric) send(zone string, p packet) {
	list := fb.rotation(zone)
	if len(list) == 0 {
		return
	}
	hash := fnv.New32a()
	hash.Write(p.client.Addr().AsSlice())
	hash.Write(p.route.Addr().AsSlice())
	binary.Write(hash, binary.BigEndian, [2]uint16{p.client.Port(), p.route.Port()})
	fb.sendTo(list[int(hash.Sum32()%uint32(len(list)))], p)
}

func (fb *fabric) sendTo(b *process, p packet) {
	fb.conn.WriteToUDPAddrPort(p.encode(false), b.callers)
}
