package main

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"os"
	"sync"
	"time"
)

// route is a route of the configuration.
type route struct {
	Name     string `json:"name"`
	Host     string `json:"host"`
	Port     string `json:"path_prefix"`
	Service  string `json:"service"`
	Type     string `json:"type"`
	Timeout  int    `json:"timeout_ms"`
	Target   int    `json:"slo_ms"`
	Attempts int    `json:"attempts"`
	Priority int    `json:"priority"`
}

// address returns the address that clients open flows to.
func (ro *route) address() netip.AddrPort {
	var port uint16
	_, _ = fmt.Sscanf(ro.Port, "/%d/", &port)
	return netip.AddrPortFrom(netip.MustParseAddr(ro.Host), port)
}

// newRoute returns a route to the service from a port of one virtual address.
func newRoute(name string, port int, service string) route {
	return route{
		Name: name, Host: "127.255.0.1", Port: fmt.Sprintf("/%d/", port), Service: service, Type: "unsafe",
		Timeout: int(timeBudget.Milliseconds()), Target: 120, Attempts: 1,
	}
}

// fleet is a deployment: the platform with its store and routers, machines with processes
// of the project, hosts and a client.
type fleet struct {
	re     *record
	folder string
	// net2 and net3 are the second and third bytes of all machines' addresses.
	net2, net3 byte
	store      *store
	edges      []*machine
	sides      []*machine
	hosts      []*host
	client     *client
	// clientZone is the zone of the client, whose edges get its flows first.
	clientZone string
	version    int
	// trouble says that the disruption is to happen.
	trouble bool

	mu sync.Mutex
	// rotation are the edges to which the router sends flows, removed those that the
	// platform has taken away.
	rotation []*machine
	removed  map[*machine]bool
	misses   map[*machine]int
	stopped  chan struct{}
}

// newFleet returns a fleet without machines.
func newFleet(re *record, trouble bool) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	fl := &fleet{
		re: re, folder: folder, trouble: trouble, store: newStore(history), stopped: make(chan struct{}),
		removed: make(map[*machine]bool), misses: make(map[*machine]int), net2: byte(64 + rand.IntN(64)),
	}
	// A free network is one in which nobody listens at the client's address.
	for range 50 {
		fl.net3 = byte(1 + rand.IntN(250))
		if fl.client, err = newClient(re, fl.ip(200), fl.pick); err == nil {
			return fl, nil
		}
	}
	return nil, err
}

// ip returns the address of a machine.
func (fl *fleet) ip(number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, fl.net2, fl.net3, byte(number)})
}

// addMachine adds a machine that isn't started yet.
func (fl *fleet) addMachine(role, zone, service string, number int) (*machine, error) {
	class := map[string]string{"balancer": "edge", "agent": "side"}[role]
	ma := &machine{
		re: fl.re, folder: fl.folder, name: fmt.Sprintf("%s-%s-%d", class, zone, number), zone: zone, role: role,
		ip: fl.ip(number), service: service,
	}
	var err error
	if ma.store, err = fl.store.listen(ma.name, fl.ip(250)); err != nil {
		return nil, err
	}
	if role == "balancer" {
		fl.edges = append(fl.edges, ma)
	} else {
		fl.sides = append(fl.sides, ma)
		fl.hosts = append(fl.hosts, &host{re: fl.re, ma: ma, id: hostName(service, number), work: 15 * time.Millisecond})
	}
	return ma, nil
}

// startAll starts all machines for the first time: the processes, and the hosts beside the
// agents.
func (fl *fleet) startAll() error {
	var seeds []netip.AddrPort
	for _, ma := range fl.edges[:min(3, len(fl.edges))] {
		seeds = append(seeds, ma.at(portControl))
	}
	for _, ma := range append(append([]*machine(nil), fl.edges...), fl.sides...) {
		ma.seeds = seeds
		if err := ma.start(true); err != nil {
			return err
		}
	}
	for _, ho := range fl.hosts {
		if err := ho.start(); err != nil {
			return err
		}
	}
	go fl.probe()
	return nil
}

// configure writes the next version of the configuration. It returns when the store has
// acknowledged it.
func (fl *fleet) configure(routes []route) time.Time {
	fl.version += 3
	names := make(map[string]bool)
	var services []map[string]any
	for _, ro := range routes {
		if !names[ro.Service] {
			names[ro.Service] = true
			services = append(services, map[string]any{"name": ro.Service, "health_path": "/health", "max_conns": 2000})
		}
	}
	at := fl.store.put(configKind, configName, map[string]any{
		"version": fl.version, "routes": routes, "services": services, "limits": map[string]any{"idle_timeout_ms": 30000},
	})
	fl.re.write("operator: version %d with %d routes is acknowledged", fl.version, len(routes))
	return at
}

// probe keeps the rotation: an edge leaves it after two misses of the readiness probe, and
// comes back with the next answer.
func (fl *fleet) probe() {
	for {
		select {
		case <-fl.stopped:
			return
		case <-time.After(500 * time.Millisecond):
		}
		var wg sync.WaitGroup
		for _, ma := range fl.edges {
			wg.Go(func() {
				ready := ma.ready()
				fl.mu.Lock()
				defer fl.mu.Unlock()
				if ready {
					fl.misses[ma] = 0
				} else {
					fl.misses[ma]++
				}
			})
		}
		wg.Wait()
		fl.mu.Lock()
		fl.rotate()
		fl.mu.Unlock()
	}
}

// rotate sets the rotation: the edges of the client's zone or, if none of them is ready,
// those of the other zones. It is called with mu held.
func (fl *fleet) rotate() {
	fl.rotation = fl.usable(func(ma *machine) bool { return fl.clientZone == "" || ma.zone == fl.clientZone })
	if len(fl.rotation) == 0 {
		fl.rotation = fl.usable(func(*machine) bool { return true })
	}
}

// usable returns the ready edges among those that the platform hasn't taken away. It
// returns all of these if some, but fewer than half, are ready, or if they are all that
// there are. It is called with mu held.
func (fl *fleet) usable(among func(ma *machine) bool) []*machine {
	var present, ready []*machine
	others := false
	for _, ma := range fl.edges {
		switch {
		case fl.removed[ma]:
			continue
		case !among(ma):
			others = true
			continue
		}
		present = append(present, ma)
		if fl.misses[ma] < 2 {
			ready = append(ready, ma)
		}
	}
	if 2*len(ready) < len(present) && (len(ready) > 0 || !others) {
		return present
	}
	return ready
}

// pick returns the edge that the router selects for the flow.
func (fl *fleet) pick(key flowKey) (netip.AddrPort, bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if len(fl.rotation) == 0 {
		return netip.AddrPort{}, false
	}
	hash := fnv.New32a()
	fmt.Fprint(hash, key)
	return fl.rotation[int(hash.Sum32())%len(fl.rotation)].at(portPackets), true
}

// remove takes a machine away for good.
func (fl *fleet) remove(ma *machine) {
	for _, ho := range fl.hosts {
		if ho.ma == ma {
			ho.stop()
		}
	}
	ma.kill()
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.removed[ma] = true
	fl.rotate()
	fl.re.say("platform: machine %s is lost for good", ma.name)
}

// awaitReady waits until all edges are ready.
func (fl *fleet) awaitReady(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, ma := range fl.edges {
			if fl.removed[ma] || ma.ready() {
				ready++
			}
		}
		if ready == len(fl.edges) {
			return nil
		}
	}
	return fmt.Errorf("the edges aren't ready after %s", within)
}

// close ends all processes and stand-ins. With KEEP set the folder with the logs stays.
func (fl *fleet) close() {
	close(fl.stopped)
	for _, ma := range append(append([]*machine(nil), fl.edges...), fl.sides...) {
		ma.kill()
	}
	for _, ho := range fl.hosts {
		ho.stop()
	}
	fl.client.close()
	fl.store.close()
	if os.Getenv("KEEP") == "" {
		if err := os.RemoveAll(fl.folder); err != nil {
			fl.re.say("the folder %s is left: %v", fl.folder, err)
		}
		return
	}
	fmt.Println("logs in", fl.folder)
}
