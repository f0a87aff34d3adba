package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"
)

// record is the account of a run: what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	out     *os.File
	started time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// The deployment is that of glenrug-lb: seven balancers and ten hosts in three zones.
var (
	zones          = []string{"scot-central-a", "scot-central-b", "scot-central-c"}
	balancerZones  = []int{0, 0, 0, 1, 1, 2, 2}
	hostZones      = []int{0, 0, 0, 1, 1, 2, 2, 0, 1, 2}
	yardlineHosts  = 7
	serviceNames   = [2]string{"yardline", "ledgerwash"}
	workOfServices = [2]time.Duration{15 * time.Millisecond, 5 * time.Millisecond}
)

// fleet is the whole deployment on loopback addresses.
type fleet struct {
	rec       *record
	folder    string
	store     *store
	storeAt   string
	closeAt   func()
	fabric    *fabric
	balancers []*process
	agents    []*process
	hosts     []*host
	clients   []*clients
	stop      chan struct{}
	closing   sync.Once
	base      string
	version   int
	// packetSeen and requestSeen observe what reaches hosts.
	packetSeen  func(h *host, key flowKey, p packet, held bool, now time.Time)
	requestSeen func(h *host, key flowKey, id, path string)
}

// route is one route of the configuration.
type route struct {
	name    string
	port    uint16
	service string
}

func (fl *fleet) address(ro route) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(fl.base+".250"), ro.port)
}

// configure writes a configuration with the routes; its return is the acknowledgement.
func (fl *fleet) configure(routes ...route) {
	fl.version += 3
	list := []map[string]any{}
	for _, ro := range routes {
		list = append(list, map[string]any{
			"name": ro.name, "host": fl.base + ".250", "path_prefix": fmt.Sprintf("/%d/", ro.port), "type": "unsafe",
			"timeout_ms": 8000, "slo_ms": 500, "priority": 1, "service": ro.service, "attempts": 2,
		})
	}
	services := []map[string]any{}
	for _, name := range serviceNames {
		services = append(services, map[string]any{"name": name, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": false})
	}
	fl.store.write(map[string]any{
		"version": fl.version, "routes": list, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	fl.rec.printf("operator: version %d acknowledged: %v", fl.version, routes)
}

// freePorts returns n ports that are free on the loopback address.
func freePorts(n int) ([]uint16, error) {
	var ports []uint16
	for len(ports) < n {
		li, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer li.Close()
		port := li.Addr().(*net.TCPAddr).Port
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
		if err != nil {
			continue
		}
		defer conn.Close()
		ports = append(ports, uint16(port))
	}
	return ports, nil
}

// newFleet starts the store, the fabric, the hosts and the project's processes.
func newFleet(rec *record, folder string) (*fleet, error) {
	fl := &fleet{rec: rec, folder: folder, store: newStore(), stop: make(chan struct{})}
	fl.base = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
	fl.packetSeen = func(*host, flowKey, packet, bool, time.Time) {}
	fl.requestSeen = func(*host, flowKey, string, string) {}
	ports, err := freePorts(6)
	if err != nil {
		return nil, err
	}
	if fl.storeAt, fl.closeAt, err = fl.store.listen(fl.base + ".251:0"); err != nil {
		return nil, err
	}
	newProcess := func(role, name, ip string, zone int) *process {
		at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr(ip), port) }
		return &process{
			rec: rec, name: name, zone: zones[zone], role: role, template: "deploy/" + role + ".json", ip: ip, folder: folder,
			peers: at(ports[0]), ready: at(ports[1]), callers: at(ports[2]), control: at(ports[3]), outbound: at(ports[4]), app: at(ports[5]),
			store: fl.storeAt, first: true,
			seeds: []string{fmt.Sprintf("%s.1:%d", fl.base, ports[3]), fmt.Sprintf("%s.4:%d", fl.base, ports[3]), fmt.Sprintf("%s.6:%d", fl.base, ports[3])},
		}
	}
	count := map[int]int{}
	for i, zone := range balancerZones {
		count[zone]++
		name := fmt.Sprintf("edge-%s-%d", zones[zone], count[zone])
		fl.balancers = append(fl.balancers, newProcess("balancer", name, fmt.Sprintf("%s.%d", fl.base, i+1), zone))
	}
	clear(count)
	for i, zone := range hostZones {
		count[zone]++
		service := 0
		if i >= yardlineHosts {
			service = 1
		}
		pr := newProcess("agent", fmt.Sprintf("side-%s-%d", zones[zone], count[zone]), fmt.Sprintf("%s.%d", fl.base, 101+i), zone)
		pr.service = serviceNames[service]
		fl.agents = append(fl.agents, pr)
		fl.hosts = append(fl.hosts, &host{
			rec: rec, name: fmt.Sprintf("host %d (%s)", i+1, pr.service), id: fmt.Sprintf("i-%08x", rand.Uint32()), service: pr.service, zone: pr.zone,
			app: pr.app, agent: pr.outbound, control: pr.control, work: workOfServices[service],
			client:      &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
			packetSeen:  func(h *host, key flowKey, p packet, held bool, now time.Time) { fl.packetSeen(h, key, p, held, now) },
			requestSeen: func(h *host, key flowKey, id, path string) { fl.requestSeen(h, key, id, path) },
		})
	}
	for _, pr := range append(append([]*process{}, fl.balancers...), fl.agents...) {
		if err := pr.start(); err != nil {
			return fl, err
		}
	}
	for _, h := range fl.hosts {
		if err := h.start(fl.stop); err != nil {
			return fl, err
		}
	}
	if fl.fabric, err = newFabric(fl.base+".252", zones, fl.balancers); err != nil {
		return fl, err
	}
	for i, zone := range zones {
		cl, err := newClients(rec, zone, netip.AddrPortFrom(netip.MustParseAddr(fmt.Sprintf("%s.%d", fl.base, 201+i)), ports[2]), fl.fabric.send)
		if err != nil {
			return fl, err
		}
		fl.clients = append(fl.clients, cl)
	}
	return fl, nil
}

// processes returns the project's processes.
func (fl *fleet) processes() []*process {
	return append(append([]*process{}, fl.balancers...), fl.agents...)
}

// close ends all processes that the run started.
func (fl *fleet) close() {
	fl.closing.Do(func() {
		for _, pr := range fl.processes() {
			pr.end()
		}
		close(fl.stop)
		fl.closeAt()
	})
}
