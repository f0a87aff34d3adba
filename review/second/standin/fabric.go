package main

import (
	"context"
	"hash/fnv"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// fabricNode is a balancer as the platform's routers see it.
type fabricNode struct {
	machine
	packets, ready netip.AddrPort
	misses         int
	in             bool
}

// fabric is the platform's routers: it probes each balancer twice a second, takes it out
// after two misses, and hashes the packets of a zone over its balancers in rotation (mod).
type fabric struct {
	system *system
	cancel context.CancelFunc
	ctx    context.Context
	mu     sync.Mutex
	nodes  []*fabricNode
}

func newFabric(sy *system) *fabric {
	ctx, cancel := context.WithCancel(context.Background())
	return &fabric{system: sy, ctx: ctx, cancel: cancel}
}

func (fa *fabric) close() { fa.cancel() }

func (fa *fabric) addNode(ma machine) {
	no := &fabricNode{machine: ma, packets: fa.system.at(ma.third, ma.fourth, portPackets), ready: fa.system.at(ma.third, ma.fourth, portReady)}
	fa.mu.Lock()
	fa.nodes = append(fa.nodes, no)
	fa.mu.Unlock()
	go fa.probe(no)
}

// probe asks the node whether it is ready, twice a second.
func (fa *fabric) probe(no *fabricNode) {
	client := &http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-fa.ctx.Done():
			return
		case <-tick.C:
		}
		rs, err := client.Get("http://" + no.ready.String() + "/v1/ready")
		good := err == nil && rs.StatusCode == http.StatusOK
		if err == nil {
			_ = rs.Body.Close()
		}
		fa.note(no, good)
	}
}

func (fa *fabric) note(no *fabricNode, good bool) {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	before := no.in
	if good {
		no.misses, no.in = 0, true
	} else if no.misses++; no.misses >= 2 {
		no.in = false
	}
	if no.in != before {
		fa.system.add("fabric: %s in rotation: %v", no.name, no.in)
	}
}

// zone returns the nodes that get the packets of the zone's clients.
func (fa *fabric) zone(zone string) []*fabricNode {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	var all, in []*fabricNode
	for _, no := range fa.nodes {
		if no.zone != zone {
			continue
		}
		all = append(all, no)
		if no.in {
			in = append(in, no)
		}
	}
	if 2*len(in) < len(all) {
		return all
	}
	return in
}

// all returns the nodes in rotation of all zones.
func (fa *fabric) all() []*fabricNode {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	var in []*fabricNode
	for _, no := range fa.nodes {
		if no.in {
			in = append(in, no)
		}
	}
	return in
}

// hashOf is the routers' hash of the four addresses and ports.
func hashOf(pa packet) uint32 {
	ha := fnv.New32a()
	data := pa.encode()
	_, _ = ha.Write(data[24:headBytes])
	return ha.Sum32() >> 7
}

// route returns the node that gets the packet.
func (fa *fabric) route(zone string, pa packet) *fabricNode {
	nodes := fa.zone(zone)
	if len(nodes) == 0 {
		return nil
	}
	return nodes[int(hashOf(pa))%len(nodes)]
}

// waitReady waits until the number of nodes are in rotation.
func (fa *fabric) waitReady(count int, timeout time.Duration) bool {
	return waitFor(timeout, func() bool {
		fa.mu.Lock()
		defer fa.mu.Unlock()
		in := 0
		for _, no := range fa.nodes {
			if no.in {
				in++
			}
		}
		return in >= count
	})
}

// waitFor polls the condition until it holds. It reports false after the timeout.
func waitFor(timeout time.Duration, holds func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}
