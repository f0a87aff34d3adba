package balancer

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"corneltiller.dev/corneltiller/internal/protocol/envelope"
	"corneltiller.dev/corneltiller/internal/protocol/message"
	"corneltiller.dev/corneltiller/internal/state/register"
	"corneltiller.dev/corneltiller/internal/transport/link"
)

const (
	hostLifetime   = 3 * time.Second
	directoryCheck = 500 * time.Millisecond
)

// directory holds the hosts that have announced themselves.
type directory struct {
	balancer *Balancer

	mu    sync.Mutex
	hosts map[netip.AddrPort]known
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
		di.rebuild()
	}
}

// KnownHosts returns the number of hosts that the balancer knows.
func (ba *Balancer) KnownHosts() int {
	ba.directory.mu.Lock()
	defer ba.directory.mu.Unlock()
	return len(ba.directory.hosts)
}

func (di *directory) run(ctx context.Context) error {
	ticker := time.NewTicker(directoryCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if di.expire(now) {
				di.rebuild()
			}
		}
	}
}

func (di *directory) expire(now time.Time) bool {
	di.mu.Lock()
	defer di.mu.Unlock()
	changed := false
	for address, kn := range di.hosts {
		if now.After(kn.deadline) {
			delete(di.hosts, address)
			changed = true
		}
	}
	return changed
}

// rebuild puts a steering function over the present hosts in force.
func (di *directory) rebuild() {
	di.mu.Lock()
	byService := make(map[register.ServiceID][]register.Host)
	for _, kn := range di.hosts {
		if kn.host.State.TakesNewWork() {
			byService[kn.host.Service] = append(byService[kn.host.Service], kn.host)
		}
	}
	di.mu.Unlock()
	for _, hosts := range byService {
		slices.SortFunc(hosts, func(a, b register.Host) int { return a.Address.Compare(b.Address) })
	}
	steer := Steer(func(sv register.ServiceID, caller netip.AddrPort, chain *[envelope.MaxChain]envelope.Hop) uint8 {
		hosts := byService[sv]
		if len(hosts) == 0 {
			return 0
		}
		ho := hosts[int(caller.Port())%len(hosts)]
		chain[0] = envelope.Hop{Address: ho.Address, Incarnation: uint16(ho.Incarnation)}
		return 1
	})
	di.balancer.steer.Store(&steer)
}
