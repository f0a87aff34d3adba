package balancer

import (
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/protocol/envelope"
	"corneltiller.dev/corneltiller/internal/state/register"
	"corneltiller.dev/corneltiller/internal/transport/fleet"
	"corneltiller.dev/corneltiller/internal/transport/link"
)

// directory keeps the steering function in step with the fleet's view.
type directory struct {
	balancer *Balancer
	pool     *link.Pool
	fleet    *fleet.Fleet
}

// newDirectory returns the directory of a balancer whose addresses are taken.
func newDirectory(ba *Balancer) *directory {
	di := &directory{balancer: ba, pool: link.NewPool(ba.cfg.Material.PeerClientTLS())}
	di.pool.Sent = func(bytes int) { ba.cfg.Board.Count("ControlBytesSent", int64(bytes)) }
	di.fleet = fleet.OpenBalancer(fleet.Config{
		Pool:    di.pool,
		Board:   ba.cfg.Board,
		Seeds:   ba.cfg.Seeds,
		Changed: di.rebuild,
		Joined:  di.joined,
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
	di.rebuild()
	di.fleet.SetState(register.StateReady)
	di.balancer.cfg.Board.SetReady(true)
}

// KnownHosts returns the number of hosts that the balancer knows.
func (ba *Balancer) KnownHosts() int {
	return len(ba.directory.fleet.Hosts())
}

// Fleet returns the balancer's membership.
func (ba *Balancer) Fleet() *fleet.Fleet {
	return ba.directory.fleet
}

// rebuild puts a steering function over the present hosts in force.
func (di *directory) rebuild() {
	di.steer(di.fleet.Rotations())
}

// steer puts a steering function over the hosts in force.
func (di *directory) steer(hosts []register.Host) {
	byService := make(map[register.ServiceID][]register.Host)
	for _, ho := range hosts {
		byService[ho.Service] = append(byService[ho.Service], ho)
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
