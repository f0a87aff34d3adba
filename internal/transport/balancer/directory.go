package balancer

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"corneltiller.dev/corneltiller/internal/protocol/message"
	"corneltiller.dev/corneltiller/internal/state/register"
	"corneltiller.dev/corneltiller/internal/transport/link"
)

const (
	hostLifetime   = 3 * time.Second
	directoryCheck = 500 * time.Millisecond
	// generationBits is the part of a table's sequence that counts configurations.
	generationBits = 32
)

// directory holds the hosts that have announced themselves.
type directory struct {
	balancer *Balancer

	mu    sync.Mutex
	hosts map[netip.AddrPort]known

	// tableMu orders the writers of the balancer's table. Lock order: tableMu
	// before mu.
	tableMu sync.Mutex
	// generation counts the configurations applied.
	generation uint64
}

// known is an announced host and when it is given up.
type known struct {
	host     register.Host
	deadline time.Time
}

func newDirectory(ba *Balancer) *directory {
	return &directory{balancer: ba, hosts: make(map[netip.AddrPort]known)}
}

func (di *directory) register(mux *link.Mux) {
	link.On(mux, message.KindAnnounce, func(_ context.Context, _ link.Peer, ho register.Host) (any, error) {
		di.announce(time.Now(), ho)
		return nil, nil
	})
}

func (di *directory) announce(now time.Time, ho register.Host) {
	di.mu.Lock()
	old, ok := di.hosts[ho.Address]
	newer := !ok || ho.Supersedes(old.host.Revision)
	if newer || ho.Revision == old.host.Revision {
		di.hosts[ho.Address] = known{host: ho, deadline: now.Add(hostLifetime)}
	}
	di.mu.Unlock()
	if newer {
		di.advance(now, []register.Host{ho})
	}
}

// KnownHosts returns the number of hosts that the balancer knows.
func (ba *Balancer) KnownHosts() int {
	ba.directory.mu.Lock()
	defer ba.directory.mu.Unlock()
	return len(ba.directory.hosts)
}

// list returns the known hosts by address.
func (di *directory) list() []register.Host {
	di.mu.Lock()
	defer di.mu.Unlock()
	var hosts []register.Host
	for _, kn := range di.hosts {
		hosts = append(hosts, kn.host)
	}
	slices.SortFunc(hosts, func(a, b register.Host) int { return a.Address.Compare(b.Address) })
	return hosts
}

func (di *directory) run(ctx context.Context) error {
	ticker := time.NewTicker(directoryCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			di.advance(now, di.expire(now))
		}
	}
}

// expire returns the records of the hosts that have fallen silent, as Gone.
func (di *directory) expire(now time.Time) []register.Host {
	di.mu.Lock()
	defer di.mu.Unlock()
	var gone []register.Host
	for address, kn := range di.hosts {
		if now.After(kn.deadline) {
			delete(di.hosts, address)
			kn.host.State = register.StateGone
			kn.host.Sequence++
			gone = append(gone, kn.host)
		}
	}
	return gone
}

// advance puts the table after the announced records in force.
func (di *directory) advance(now time.Time, announced []register.Host) {
	ba := di.balancer
	di.tableMu.Lock()
	defer di.tableMu.Unlock()
	ta := ba.table.Load()
	due := !ta.Deadline().IsZero() && !now.Before(ta.Deadline())
	if len(announced) == 0 && !due {
		return
	}
	effective := make([]register.Host, 0, len(announced))
	for _, ho := range announced {
		effective = append(effective, di.effective(ho))
	}
	ba.table.Store(ta.Next(now, effective))
}

// rebuild applies a new configuration to every known host.
func (di *directory) rebuild() {
	di.tableMu.Lock()
	di.generation++
	di.tableMu.Unlock()
	di.advance(time.Now(), di.list())
}

// effective returns the record as the configuration lets it count. Its sequence
// also grows with each configuration. The caller holds tableMu.
func (di *directory) effective(ho register.Host) register.Host {
	weight := di.balancer.weight(ho)
	ho.Sequence = ho.Sequence<<generationBits | di.generation
	if weight == 0 && ho.State.TakesNewWork() {
		ho.State = register.StateDraining
	}
	ho.Weight = weight
	return ho
}
