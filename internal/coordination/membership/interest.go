package membership

import (
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/delivery"
	"corneltiller.dev/corneltiller/internal/coordination/roster"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// How many balancers an agent subscribes to.
const (
	// wantedBalancers is the number of known balancers at which an agent stops
	// subscribing to more. It is enough to choose watchers in different failure
	// domains.
	wantedBalancers = 24
	// widenInterval is the time between two doublings of the block of cells.
	widenInterval = 500 * time.Millisecond
)

// interest is what an agent subscribes to: the hosts of its service, the
// configuration, and the balancers of an aligned block of cells (see
// roster.CellOf).
type interest struct {
	service uint32
	cell    uint32
	// cellCount is the size of the block, a power of two.
	cellCount uint32
	nextWiden time.Time
}

// newInterest returns the interest of an agent with a block of one cell.
func newInterest(ho register.Host) interest {
	return interest{
		service:   uint32(ho.Service),
		cell:      roster.HashBucketOf(ho.Address),
		cellCount: 1,
	}
}

// subscription returns the interest in the form that gossip takes.
func (in interest) subscription() []delivery.Interest {
	first := in.cell &^ (in.cellCount - 1)
	last := first + in.cellCount - 1
	// The balancers come first: an agent receives items only from live balancers.
	return []delivery.Interest{
		{Kind: delivery.KindBalancer, First: first, Last: last},
		{Kind: delivery.KindBalancerRemoval, First: first, Last: last},
		{Kind: delivery.KindHost, First: in.service, Last: in.service},
		{Kind: delivery.KindHostRemoval, First: in.service, Last: in.service},
		{Kind: delivery.KindConfiguration, First: delivery.ScopeAll, Last: delivery.ScopeAll},
	}
}

// widenInterest doubles the block of cells of an agent while it knows fewer than
// wantedBalancers. The first call only starts the interval.
func (no *Node) widenInterest(now time.Time) {
	in := &no.interest
	if no.joiner != nil || in.cellCount >= roster.HashBucketCount || now.Before(in.nextWiden) {
		return
	}
	if len(no.roster.Balancers(now)) >= wantedBalancers {
		return
	}
	if !in.nextWiden.IsZero() {
		in.cellCount *= 2
	}
	in.nextWiden = now.Add(widenInterval)
	no.gossip.SetInterests(in.subscription())
}
