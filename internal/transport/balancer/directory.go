package balancer

import (
	"context"
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
	"corneltiller.dev/corneltiller/internal/transport/fleet"
	"corneltiller.dev/corneltiller/internal/transport/link"
)

// directoryCheck is the time between two looks at the table's deadline.
const directoryCheck = 500 * time.Millisecond

// directory keeps the steering table in step with the fleet's view.
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
		Changed: di.update,
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
	di.update()
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

// run follows the fleet's view until the context ends.
func (di *directory) run(ctx context.Context) error {
	ticker := time.NewTicker(directoryCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			di.update()
		}
	}
}

// update puts the table after the changes of the view in force. The lock is
// held from the reading to the storing, so that changes are put in force in
// their order.
func (di *directory) update() {
	ba := di.balancer
	ba.tableMu.Lock()
	defer ba.tableMu.Unlock()
	di.advance(time.Now(), di.fleet.Project())
}

// advance puts the table after the announced records in force. It is called
// with Balancer.tableMu held.
func (di *directory) advance(now time.Time, announced []register.Host) {
	ba := di.balancer
	ta := ba.table.Load()
	due := !ta.Deadline().IsZero() && !now.Before(ta.Deadline())
	if len(announced) > 0 || due {
		ba.table.Store(ta.Next(now, announced))
	}
}
