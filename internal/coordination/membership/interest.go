package membership

import (
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/delivery"
	"corneltiller.dev/corneltiller/internal/coordination/roster"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// How many balancers an agent wants to know.
const (
	// wantedBalancers is enough to choose watchers in different domains.
	wantedBalancers = 24
	// widenInterval is the time between two doublings of the share.
	widenInterval = 500 * time.Millisecond
)

// interest is what an agent subscribes to: the hosts of its service, what
// concerns everybody, and the balancers of an aligned block of cells.
type interest struct {
	service uint32
	cell    uint32
	// cells is the size of the block, a power of two.
	cells     uint32
	nextWiden time.Time
}

// newInterest returns the interest of an agent with the smallest block.
func newInterest(ho register.Host) interest {
	return interest{
		service: uint32(ho.Service),
		cell:    roster.CellOf(ho.Address),
		cells:   1,
	}
}

// list returns the interest in the form of a subscription.
func (in interest) list() []delivery.Interest {
	first := in.cell &^ (in.cells - 1)
	last := first + in.cells - 1
	// The balancers come first: without a live one an agent hears of nothing.
	return []delivery.Interest{
		{Kind: delivery.KindBalancer, First: first, Last: last},
		{Kind: delivery.KindBalancerRemoval, First: first, Last: last},
		{Kind: delivery.KindHost, First: in.service, Last: in.service},
		{Kind: delivery.KindHostRemoval, First: in.service, Last: in.service},
		{Kind: delivery.KindConfiguration, First: delivery.ScopeAll, Last: delivery.ScopeAll},
	}
}

// widen doubles an agent's block of cells while it knows few balancers.
func (no *Node) widen(now time.Time) {
	in := &no.interest
	if no.joiner != nil || in.cells >= roster.CellCount || now.Before(in.nextWiden) {
		return
	}
	if len(no.roster.Balancers(now)) >= wantedBalancers {
		return
	}
	if !in.nextWiden.IsZero() {
		in.cells *= 2
	}
	in.nextWiden = now.Add(widenInterval)
	no.gossip.SetInterests(in.list())
}
