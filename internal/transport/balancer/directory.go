package balancer

import (
	"context"
	"net/netip"
	"sync"
	"time"

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
		di.advance(now, []register.Host{ho})
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
	ba.tableMu.Lock()
	defer ba.tableMu.Unlock()
	ta := ba.table.Load()
	due := !ta.Deadline().IsZero() && !now.Before(ta.Deadline())
	if len(announced) > 0 || due {
		ba.table.Store(ta.Next(now, announced))
	}
}
