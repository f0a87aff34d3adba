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
	tableCheck = 500 * time.Millisecond
	// generationBits is the part of a table's sequence that counts configurations.
	generationBits = 32
)

// directory keeps the steering table in step with the fleet's view and the
// configuration in force.
type directory struct {
	balancer *Balancer
	fleet    *fleet.Fleet

	// mu orders the writers of the balancer's table.
	mu sync.Mutex
	// hosts are the records as the fleet's view last gave them.
	hosts map[netip.AddrPort]register.Host
	// generation counts the configurations applied.
	generation uint64
}

// newDirectory returns the directory of a balancer whose addresses are taken.
func newDirectory(ba *Balancer) *directory {
	di := &directory{balancer: ba, hosts: make(map[netip.AddrPort]register.Host)}
	di.fleet = fleet.OpenBalancer(fleet.Config{
		Pool:    ba.pool,
		Board:   ba.cfg.Board,
		Seeds:   ba.cfg.Seeds,
		Changed: di.changed,
		Joined:  di.joined,
		Deliver: func(from netip.AddrPort, it delivery.Item) { ba.follower.Deliver(from, it) },
	}, register.Balancer{
		Revision: register.Revision{Incarnation: uint64(time.Now().UnixMilli())},
		Address:  ba.answers,
		Control:  ba.Control(),
		Domain:   ba.cfg.Domain,
	})
	return di
}

// joined takes the balancer into service once its view is complete.
func (di *directory) joined() {
	di.changed()
	di.fleet.SetState(register.StateReady)
	di.balancer.cfg.Board.SetReady(true)
}

// HostCount returns the number of hosts that the balancer knows.
func (ba *Balancer) HostCount() int {
	return len(ba.directory.fleet.Hosts())
}

// Fleet returns the balancer's membership.
func (ba *Balancer) Fleet() *fleet.Fleet {
	return ba.directory.fleet
}

// run advances the table when one of its deadlines has passed.
func (di *directory) run(ctx context.Context) error {
	ticker := time.NewTicker(tableCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			di.changed()
		}
	}
}

// changed brings the hosts that changed into the table.
func (di *directory) changed() {
	di.balancer.follower.SetMembers(di.balancer.members())
	di.mu.Lock()
	defer di.mu.Unlock()
	di.advance(di.project())
}

// rebuild applies a new configuration to every known host.
func (di *directory) rebuild() {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.generation++
	di.project()
	di.advance(slices.Collect(maps.Values(di.hosts)))
}

// project returns the hosts that changed and keeps their records.
func (di *directory) project() []register.Host {
	changed := di.fleet.TakeChangedHosts()
	for _, ho := range changed {
		if ho.State == register.StateGone {
			delete(di.hosts, ho.Address)
			continue
		}
		di.hosts[ho.Address] = ho
	}
	return changed
}

// advance puts the table after the changed records in force. The caller holds mu.
func (di *directory) advance(changed []register.Host) {
	effective := make([]register.Host, 0, len(changed))
	for _, ho := range changed {
		effective = append(effective, di.effective(ho))
	}
	table := &di.balancer.table
	table.Store(table.Load().Advance(time.Now(), effective))
}

// effective returns the record as the configuration lets it count. Its sequence
// also grows with each configuration. The caller holds mu.
func (di *directory) effective(ho register.Host) register.Host {
	weight := di.balancer.weight(ho)
	ho.Sequence = ho.Sequence<<generationBits | di.generation
	if weight == 0 && ho.State.TakesNewWork() {
		ho.State = register.StateDraining
	}
	ho.Weight = weight
	return ho
}
