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
	// widenInterval is the time between two doublings of the block of hash
	// buckets.
	widenInterval = 500 * time.Millisecond
)

// interest is what an agent subscribes to: the hosts of its service, the
// configuration, and the balancers of an aligned block of hash buckets (see
// roster.HashBucketOf).
type interest struct {
	service    uint32
	hashBucket uint32
	// hashBucketCount is the size of the block, a power of two.
	hashBucketCount uint32
	nextWiden       time.Time
}

// newInterest returns the interest of an agent with a block of one hash bucket.
func newInterest(ho register.Host) interest {
	return interest{
		service:         uint32(ho.Service),
		hashBucket:      roster.HashBucketOf(ho.Address),
		hashBucketCount: 1,
	}
}

// subscription returns the interest in the form that gossip takes.
func (in interest) subscription() []delivery.Interest {
	first := in.hashBucket &^ (in.hashBucketCount - 1)
	last := first + in.hashBucketCount - 1
	// A balancer sends the listings in this order. Those of balancers come first,
	// because an agent receives items only from live balancers and must know some.
	return []delivery.Interest{
		{Kind: delivery.KindBalancer, First: first, Last: last},
		{Kind: delivery.KindBalancerRemoval, First: first, Last: last},
		{Kind: delivery.KindHost, First: in.service, Last: in.service},
		{Kind: delivery.KindHostRemoval, First: in.service, Last: in.service},
		{Kind: delivery.KindConfiguration, First: delivery.ScopeAll, Last: delivery.ScopeAll},
	}
}

// widenInterest doubles the block of hash buckets of an agent every widenInterval
// while it knows fewer than wantedBalancers. The first call only starts the
// interval.
func (no *Node) widenInterest(now time.Time) {
	in := &no.interest
	if no.joiner != nil || in.hashBucketCount >= roster.HashBucketCount || now.Before(in.nextWiden) {
		return
	}
	if len(no.roster.Balancers(now)) >= wantedBalancers {
		return
	}
	if !in.nextWiden.IsZero() {
		in.hashBucketCount *= 2
	}
	in.nextWiden = now.Add(widenInterval)
	no.gossip.SetInterests(in.subscription())
}
