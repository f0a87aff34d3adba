package balancer

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/delivery"
	"corneltiller.dev/corneltiller/internal/state/register"
	"corneltiller.dev/corneltiller/internal/transport/fleet"
)

const (
	// tableCheckInterval is the time between two checks of the table's deadlines.
	tableCheckInterval = 500 * time.Millisecond
	// generationBits is the number of low bits of a host record's sequence in the
	// table that hold the generation of the configuration.
	generationBits = 32
)

// tableUpdater updates the balancer's table of hosts after changes of the
// membership and of the configuration.
type tableUpdater struct {
	balancer *Balancer
	fleet    *fleet.Fleet

	// mu orders the writers of the balancer's table.
	mu sync.Mutex
	// hosts holds the records of the hosts that aren't gone, as the fleet's
	// TakeChangedHosts last returned them, by datagram address.
	hosts map[netip.AddrPort]register.Host
	// generation counts the configurations applied.
	generation uint64
}

// newTableUpdater returns the updater of a balancer whose sockets are open. It also
// opens the balancer's membership.
func newTableUpdater(ba *Balancer) *tableUpdater {
	tu := &tableUpdater{balancer: ba, hosts: make(map[netip.AddrPort]register.Host)}
	tu.fleet = fleet.OpenBalancer(fleet.Config{
		Pool:     ba.pool,
		Registry: ba.cfg.Registry,
		Seeds:    ba.cfg.Seeds,
		OnChange: tu.update,
		OnJoined: tu.onJoined,
		Deliver:  func(from netip.AddrPort, it delivery.Item) { ba.follower.Deliver(from, it) },
	}, register.Balancer{
		Revision: register.Revision{Incarnation: uint64(time.Now().UnixMilli())},
		Address:  ba.hostsAddress,
		Control:  ba.ControlAddress(),
		Domain:   ba.cfg.Domain,
	})
	return tu
}

// onJoined announces that the balancer is ready, once its view of the fleet is
// complete.
func (tu *tableUpdater) onJoined() {
	tu.update()
	tu.fleet.SetState(register.StateReady)
	tu.balancer.joined.Store(true)
	tu.balancer.cfg.Registry.SetReady(true)
}

// HostCount returns the number of hosts that belong to the fleet, draining ones
// included.
func (ba *Balancer) HostCount() int {
	return len(ba.updater.fleet.Hosts())
}

// Fleet returns the balancer's membership.
func (ba *Balancer) Fleet() *fleet.Fleet {
	return ba.updater.fleet
}

// run checks the table's deadlines until the context ends.
func (tu *tableUpdater) run(ctx context.Context) error {
	ticker := time.NewTicker(tableCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			tu.update()
		}
	}
}

// update passes the live balancers to the follower and the changed hosts to the
// table.
func (tu *tableUpdater) update() {
	tu.balancer.follower.SetMembers(tu.balancer.members())
	tu.mu.Lock()
	defer tu.mu.Unlock()
	tu.advance(tu.takeChangedHosts())
}

// rebuild updates every known host in the table after a new configuration.
func (tu *tableUpdater) rebuild() {
	tu.mu.Lock()
	defer tu.mu.Unlock()
	tu.generation++
	tu.takeChangedHosts()
	tu.advance(slices.Collect(maps.Values(tu.hosts)))
}

// takeChangedHosts returns the hosts that changed since its last call and keeps
// their records. The caller holds mu.
func (tu *tableUpdater) takeChangedHosts() []register.Host {
	changed := tu.fleet.TakeChangedHosts()
	for _, ho := range changed {
		if ho.State == register.StateGone {
			delete(tu.hosts, ho.Address)
			continue
		}
		tu.hosts[ho.Address] = ho
	}
	return changed
}

// advance replaces the table by one with the changed hosts. The caller holds mu.
func (tu *tableUpdater) advance(changed []register.Host) {
	effective := make([]register.Host, 0, len(changed))
	for _, ho := range changed {
		effective = append(effective, tu.applyConfiguration(ho))
	}
	table := &tu.balancer.table
	table.Store(table.Load().Advance(time.Now(), effective))
}

// applyConfiguration returns the record with the weight that the configuration
// allows. A host that may take no new flows counts as draining. The generation is
// part of the sequence, so that the table takes a record that only the
// configuration changed. The caller holds mu.
func (tu *tableUpdater) applyConfiguration(ho register.Host) register.Host {
	weight := tu.balancer.weight(ho)
	ho.Sequence = ho.Sequence<<generationBits | tu.generation
	if weight == 0 && ho.State.TakesNewWork() {
		ho.State = register.StateDraining
	}
	ho.Weight = weight
	return ho
}
