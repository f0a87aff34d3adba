package demo

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/standin/backend"
	"corneltiller.dev/corneltiller/internal/standin/fabric"
	"corneltiller.dev/corneltiller/internal/standin/platform"
	"corneltiller.dev/corneltiller/internal/standin/trial"
	"corneltiller.dev/corneltiller/internal/state/settings"
	"corneltiller.dev/corneltiller/internal/transport/agent"
	"corneltiller.dev/corneltiller/internal/transport/balancer"
	"corneltiller.dev/corneltiller/internal/transport/gauge"
	"corneltiller.dev/corneltiller/internal/transport/keys"
	"corneltiller.dev/corneltiller/internal/transport/link"
)

const (
	// The size of the fleet; yardline and ledgerwash are the services of package
	// trial.
	balancerCount   = 3
	yardlineHosts   = 7
	ledgerwashHosts = 3

	meanWork   = 20 * time.Millisecond
	stopWithin = 20 * time.Second
)

var (
	loopback = netip.MustParseAddr("127.0.0.1")
	anyPort  = netip.AddrPortFrom(loopback, 0)
	domains  = []string{"scot-central-a", "scot-central-b", "scot-central-c"}
)

// instance is one running balancer or agent.
type instance struct {
	// stop ends the role gracefully.
	stop context.CancelFunc
	// abort ends the role as a crash would: at once, without notice to peers.
	abort func()
	// done is closed when the role has ended.
	done chan struct{}
	// metrics holds the role's metrics.
	metrics *gauge.Registry
	// stopping reports that the instance was told to stop or was crashed.
	stopping *atomic.Bool
}

// host is one agent with its backend server, and the records of the latter.
type host struct {
	instance
	agent   *agent.Agent
	server  *backend.Server
	service settings.Service
	records serverRecords
}

// fleet is the whole system in one process: the stand-ins of the platform and the
// fabric, the balancers, and the hosts.
type fleet struct {
	ctx      context.Context
	group    *errgroup.Group
	material *keys.Store
	platform *platform.Server
	store    *link.Listener
	fabric   *fabric.Fabric
	services []settings.Service
	pool     *link.Pool
	seed     uint64
	changes  changeRecords
	// operators are the owners of the configuration, each with its console.
	operators  []*operator
	registries []*gauge.Registry
	// changeCount is the number of changes attempted so far.
	changeCount int

	mu        sync.Mutex
	balancers []*balancerInstance
	hosts     []*host
}

// balancerInstance is one running balancer.
type balancerInstance struct {
	instance
	balancer *balancer.Balancer
}

// startFleet starts the platform, the fabric, the balancers and the hosts. They run
// in the group until the context ends.
func startFleet(ctx context.Context, group *errgroup.Group, material *keys.Store, seed uint64) (*fleet, error) {
	fl := &fleet{ctx: ctx, group: group, material: material, platform: platform.New(), seed: seed}
	fl.pool = link.NewPool(material.PeerClientTLS())
	if err := fl.startPlatform(); err != nil {
		return nil, err
	}
	if err := fl.startFabric(); err != nil {
		return nil, err
	}
	for range balancerCount {
		if err := fl.addBalancer(); err != nil {
			return nil, err
		}
	}
	for range yardlineHosts {
		if err := fl.addHost(fl.services[0], false); err != nil {
			return nil, err
		}
	}
	for range ledgerwashHosts {
		if err := fl.addHost(fl.services[1], false); err != nil {
			return nil, err
		}
	}
	return fl, nil
}

func (fl *fleet) startPlatform() error {
	var err error
	if fl.store, err = link.Listen(fl.ctx, anyPort, nil, fl.platform); err != nil {
		return errors.Wrap(err, "start platform")
	}
	fl.group.Go(func() error { return fl.store.Run(fl.ctx) })
	return nil
}

func (fl *fleet) startFabric() error {
	fa, err := fabric.Open(fl.ctx, fabric.Settings{
		Services: []netip.AddrPort{anyPort, anyPort},
		Answers:  anyPort,
		Seed:     fl.seed,
	})
	if err != nil {
		return errors.Wrap(err, "start fabric")
	}
	fl.fabric = fa
	fl.services = trial.Services(loopback)
	for i, address := range fa.Services() {
		fl.services[i].Addresses = []netip.AddrPort{address}
	}
	fl.group.Go(func() error { return fa.Run(fl.ctx) })
	return nil
}

// common returns the settings that balancers and agents share. The position selects
// the failure domain.
func (fl *fleet) common(position int) settings.Common {
	return settings.Common{
		Domain:     domains[position%len(domains)],
		Control:    anyPort,
		Metrics:    anyPort,
		StopWithin: settings.Duration(stopWithin),
	}
}

// seeds returns the control addresses of the balancers.
func (fl *fleet) seeds() []netip.AddrPort {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var list []netip.AddrPort
	for _, ba := range fl.balancers {
		list = append(list, ba.balancer.ControlAddress())
	}
	return list
}

// newRegistry returns an empty metrics registry for a new instance.
func (fl *fleet) newRegistry() *gauge.Registry {
	rg := gauge.NewRegistry()
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.registries = append(fl.registries, rg)
	return rg
}

// controlBytes returns the bytes of control traffic that all instances have sent.
func (fl *fleet) controlBytes() int64 {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var total int64
	for _, rg := range fl.registries {
		total += rg.Counter("ControlBytesSent").Count()
	}
	return total
}

// logDatagrams logs the datagram counters of all instances.
func (fl *fleet) logDatagrams() {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, ba := range fl.balancers {
		klog.V(1).InfoS("Balancer's datagrams", "Hosts", ba.balancer.HostsAddress(), "Counts", ba.metrics.Counts("Datagrams"))
	}
	for _, ho := range fl.hosts {
		klog.V(1).InfoS("Agent's datagrams", "Host", ho.agent.DatagramsAddress(), "Service", ho.service.Name, "Counts", ho.metrics.Counts("Datagrams"))
	}
}

// addBalancer starts one more balancer and adds it to the fabric's targets.
func (fl *fleet) addBalancer() error {
	fl.mu.Lock()
	position := len(fl.balancers)
	fl.mu.Unlock()
	st := settings.DefaultBalancer()
	st.Common = fl.common(position)
	st.Callers = anyPort
	st.Hosts = anyPort
	st.Fabric = fl.fabric.Answers()
	st.Platform = fl.store.Address()
	st.Seeds = fl.seeds()
	st.Services = fl.services
	metrics := fl.newRegistry()
	ba, err := balancer.Open(fl.ctx, balancer.Config{Balancer: st, Material: fl.material, Registry: metrics})
	if err != nil {
		return errors.Wrap(err, "start balancer")
	}
	bi := &balancerInstance{balancer: ba}
	bi.instance = fl.startInstance(ba.Run, ba.Abort, metrics)
	fl.mu.Lock()
	fl.balancers = append(fl.balancers, bi)
	fl.mu.Unlock()
	fl.fabric.AddBalancer(fabric.Target{Callers: ba.CallersAddress(), Metrics: ba.MetricsAddress()})
	return nil
}

// addHost starts a backend server and its agent. A late host is one that the plan
// adds after callers have begun to send requests.
func (fl *fleet) addHost(sv settings.Service, late bool) error {
	fl.mu.Lock()
	position := len(fl.hosts)
	fl.mu.Unlock()
	se, err := fl.startServer(sv, position)
	if err != nil {
		return err
	}
	st := settings.DefaultAgent()
	st.Common = fl.common(position)
	st.Datagrams = anyPort
	st.Service = sv.ID
	st.Backend = se.Address()
	st.Seeds = fl.seeds()
	metrics := fl.newRegistry()
	ag, err := agent.Open(fl.ctx, agent.Config{Agent: st, Material: fl.material, Registry: metrics})
	if err != nil {
		return errors.Wrap(err, "start agent")
	}
	ho := &host{agent: ag, server: se, service: sv}
	ho.records = serverRecords{agent: ag.DatagramsAddress(), service: sv.Name}
	if late {
		ho.records.joinedAt = time.Now()
	}
	ho.instance = fl.startInstance(ag.Run, ag.Abort, metrics)
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.hosts = append(fl.hosts, ho)
	return nil
}

func (fl *fleet) startServer(sv settings.Service, position int) (*backend.Server, error) {
	st := backend.Defaults()
	st.Address = anyPort
	st.Service = sv.Name
	st.MeanWork = settings.Duration(meanWork)
	st.Seed = fl.seed<<8 + uint64(position)
	se, err := backend.Open(fl.ctx, st)
	if err != nil {
		return nil, errors.Wrap(err, "start backend server")
	}
	fl.group.Go(func() error { return se.Run(fl.ctx) })
	return se, nil
}

// startInstance runs a role in the group and returns the handles to end it.
func (fl *fleet) startInstance(role func(context.Context) error, abort func(), metrics *gauge.Registry) instance {
	ctx, stop := context.WithCancel(fl.ctx)
	done := make(chan struct{})
	fl.group.Go(func() error {
		defer close(done)
		defer stop()
		return role(ctx)
	})
	stopping := new(atomic.Bool)
	return instance{
		stop: func() {
			stopping.Store(true)
			stop()
		},
		abort: func() {
			stopping.Store(true)
			abort()
		},
		done:     done,
		metrics:  metrics,
		stopping: stopping,
	}
}

// replaceBalancer starts another balancer, then stops the one at the position
// gracefully and waits for it.
func (fl *fleet) replaceBalancer(position int) error {
	fl.mu.Lock()
	ba := fl.balancers[position]
	fl.mu.Unlock()
	if err := fl.addBalancer(); err != nil {
		return err
	}
	ba.stop()
	<-ba.done
	return nil
}

// crashBalancer ends a balancer as a crash would, and waits for it.
func (fl *fleet) crashBalancer(position int) {
	fl.mu.Lock()
	ba := fl.balancers[position]
	fl.mu.Unlock()
	ba.abort()
	<-ba.done
}

// drainHost begins the graceful stop of a host.
func (fl *fleet) drainHost(position int) {
	fl.mu.Lock()
	ho := fl.hosts[position]
	ho.records.drainedAt = time.Now()
	fl.mu.Unlock()
	ho.stop()
}

// crashHost ends an agent as a crash would.
func (fl *fleet) crashHost(position int) {
	fl.mu.Lock()
	ho := fl.hosts[position]
	ho.records.crashedAt = time.Now()
	fl.mu.Unlock()
	ho.abort()
}

// serverRecords returns the records of all backend servers.
func (fl *fleet) serverRecords() []serverRecords {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var list []serverRecords
	for _, ho := range fl.hosts {
		sr := ho.records
		sr.runs = ho.server.Executions.All()
		list = append(list, sr)
	}
	return list
}

// shutdown stops every host and balancer gracefully and waits for them.
func (fl *fleet) shutdown() {
	fl.mu.Lock()
	var instances []instance
	for _, ho := range fl.hosts {
		instances = append(instances, ho.instance)
	}
	for _, ba := range fl.balancers {
		instances = append(instances, ba.instance)
	}
	fl.mu.Unlock()
	for _, in := range instances {
		in.stop()
	}
	for _, in := range instances {
		<-in.done
	}
}
