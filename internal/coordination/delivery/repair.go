package delivery

import (
	"math"
	"net/netip"
	"time"
)

// Bounds of one step of repair.
const (
	// maxBranches is how many differing children one digest follows.
	maxBranches = 4
	// maxVersions bounds a listing, maxRequest a request.
	maxVersions = 36
	maxRequest  = 100
	// maxListable bounds the own items that are held against a listing.
	maxListable = 1000
)

// startDigest sends the root's sum to a random neighbour when one is due.
func (gs *Gossip) startDigest(now time.Time) []Action {
	if now.Before(gs.nextDigest) {
		return nil
	}
	spread := time.Duration(gs.rng.Int64N(int64(DigestInterval)))
	gs.nextDigest = now.Add(DigestInterval/2 + spread)
	pe, ok := gs.neighbours.random(gs.rng)
	if !ok {
		return nil
	}
	return gs.Compare(pe.Address, now)
}

// Compare sends the root's sum to a peer, which answers if its table differs.
func (gs *Gossip) Compare(peer netip.AddrPort, now time.Time) []Action {
	digest := &Digest{Sums: gs.table.children(0, 0)}
	return gs.send(nil, peer, Message{Digest: digest}, now)
}

// hasten brings the next digest forward while repair finds differences.
func (gs *Gossip) hasten(now time.Time) {
	soon := now.Add(RepairInterval)
	if soon.Before(gs.nextDigest) {
		gs.nextDigest = soon
	}
}

// receiveDigest follows a few of the children whose sums differ: with the sums
// of their own children, or with a listing when they are leaves.
func (gs *Gossip) receiveDigest(from netip.AddrPort, di Digest, now time.Time) []Action {
	if !di.valid() {
		return nil
	}
	own := gs.table.children(di.Depth, di.Path)
	var differing []uint16
	for ii, sum := range di.Sums {
		if sum != own[ii] {
			differing = append(differing, di.Path<<fanOutBits|uint16(ii))
		}
	}
	gs.rng.Shuffle(len(differing), func(ii, jj int) {
		differing[ii], differing[jj] = differing[jj], differing[ii]
	})
	var acts []Action
	if di.Depth > 0 && len(differing) > 0 {
		gs.hasten(now)
	}
	for _, path := range differing[:min(len(differing), maxBranches)] {
		acts = gs.send(acts, from, gs.descend(di.Depth, path), now)
	}
	return acts
}

// descend returns the next step below a node that differs: a listing if few
// items are below it, else the sums of its children.
func (gs *Gossip) descend(depth uint8, path uint16) Message {
	shift := fanOutBits * (leafDepth - int(depth))
	firstLeaf := path << shift
	lastLeaf := firstLeaf | (1<<shift - 1)
	entries := gs.table.rangeEntries(firstLeaf, lastLeaf, maxVersions)
	if depth < leafDepth && len(entries) >= maxVersions {
		return Message{Digest: &Digest{
			Depth: depth + 1,
			Path:  path,
			Sums:  gs.table.children(depth+1, path),
		}}
	}
	first := uint64(firstLeaf) << (64 - leafBits)
	last := uint64(lastLeaf)<<(64-leafBits) | (math.MaxUint64 >> leafBits)
	return Message{Listing: listing(Interest{}, entries, first, last)}
}

// valid reports whether the digest names a node of the tree with all sums.
func (di Digest) valid() bool {
	if di.Depth == 0 {
		return di.Path == 0 && len(di.Sums) == 1
	}
	if di.Depth > leafDepth || len(di.Sums) != fanOut {
		return false
	}
	return int(di.Path) < 1<<(fanOutBits*(int(di.Depth)-1))
}

// listing returns the revisions of the entries, which are sorted by mark, cut
// to what fits; the range is narrowed to what is listed.
func listing(in Interest, entries []*entry, first, last uint64) *Listing {
	if len(entries) > maxVersions {
		entries = entries[:maxVersions]
		last = entries[maxVersions-1].mark
	}
	li := &Listing{Interest: in, First: first, Last: last}
	for _, en := range entries {
		li.Versions = append(li.Versions, Version{Revision: en.item.Revision, Mark: en.mark})
	}
	return li
}

// receiveListing queues what the peer lacks and requests what it has newer.
func (gs *Gossip) receiveListing(from netip.AddrPort, li Listing, now time.Time) []Action {
	if li.Interest.Last-li.Interest.First >= MaxInterestScopes || li.Last < li.First {
		return nil
	}
	gs.hasten(now)
	listed := make(map[uint64]struct{}, len(li.Versions))
	var wanted []uint64
	for _, ve := range li.Versions {
		listed[ve.Mark] = struct{}{}
		en := gs.table.marks[ve.Mark]
		switch {
		case en == nil || ve.Supersedes(en.item.Revision):
			wanted = append(wanted, ve.Mark)
		case en.item.Supersedes(ve.Revision):
			gs.outbox.add(from, en.item.Identity(), en.item.Urgent)
		}
	}
	for _, en := range gs.listable(li) {
		if _, ok := listed[en.mark]; !ok && li.First <= en.mark && en.mark <= li.Last {
			gs.outbox.add(from, en.item.Identity(), en.item.Urgent)
		}
	}
	acts := gs.flush(now, false)
	if len(wanted) > 0 {
		wanted = wanted[:min(len(wanted), maxRequest)]
		acts = gs.send(acts, from, Message{Request: &Request{Marks: wanted}}, now)
	}
	return acts
}

// listable returns the own entries that the listing is about.
func (gs *Gossip) listable(li Listing) []*entry {
	if li.Interest.Kind != 0 {
		return gs.table.interestEntries(li.Interest)
	}
	return gs.table.rangeEntries(leafOf(li.First), leafOf(li.Last), maxListable)
}

// receiveRequest queues the requested items.
func (gs *Gossip) receiveRequest(from netip.AddrPort, re Request, now time.Time) []Action {
	for _, mark := range re.Marks[:min(len(re.Marks), maxRequest)] {
		if en := gs.table.marks[mark]; en != nil {
			gs.outbox.add(from, en.item.Identity(), en.item.Urgent)
		}
	}
	return gs.flush(now, false)
}

// subscribe renews the subscription when it is due.
func (gs *Gossip) subscribe(now time.Time) []Action {
	if now.Before(gs.nextSubscribe) || !gs.choosePublisher(now) {
		return nil
	}
	gs.nextSubscribe = now.Add(SubscribeInterval)
	interests := make([]Interest, 0, len(gs.settings.Interests))
	for _, in := range gs.settings.Interests {
		in.Sum = gs.table.interestSum(in)
		interests = append(interests, in)
	}
	return gs.send(nil, gs.publisher, Message{Subscribe: &Subscribe{Interests: interests}}, now)
}

// choosePublisher keeps the peer of the subscription for its term while it is
// a neighbour, and reports whether there is one.
func (gs *Gossip) choosePublisher(now time.Time) bool {
	if now.Before(gs.publisherDeadline) && gs.neighbours.picked(gs.publisher) {
		return true
	}
	pe, ok := gs.neighbours.randomBut(gs.failed, gs.rng)
	gs.publisher = pe.Address
	gs.publisherDeadline = now.Add(SubscriptionTerm)
	return ok
}

// receiveSubscribe notes the subscription and lists the interests in which
// the subscriber holds something else than this node.
func (gs *Gossip) receiveSubscribe(from netip.AddrPort, su Subscribe, now time.Time) []Action {
	if !su.valid() {
		return nil
	}
	sub := gs.subscription(from)
	if sub == nil {
		if len(gs.subscribers) >= MaxSubscribers {
			return nil
		}
		sub = &subscriber{address: from, credit: FirstViewBytes}
		gs.subscribers = append(gs.subscribers, sub)
	}
	sub.interests = su.Interests
	sub.deadline = now.Add(SubscriptionLifetime)
	var acts []Action
	for _, in := range su.Interests {
		if in.Sum == gs.table.interestSum(in) {
			continue
		}
		acts = gs.send(acts, from, Message{Listing: gs.interestListing(in)}, now)
	}
	return acts
}

// interestListing lists the interest from a random place on, so that a long
// one is covered by several subscriptions.
func (gs *Gossip) interestListing(in Interest) *Listing {
	entries := gs.table.interestEntries(in)
	if len(entries) <= maxVersions {
		return listing(in, entries, 0, math.MaxUint64)
	}
	start := gs.rng.IntN(len(entries))
	first := uint64(0)
	if start > 0 {
		first = entries[start-1].mark + 1
	}
	return listing(in, entries[start:], first, math.MaxUint64)
}

// valid reports whether the interests are few and narrow.
func (su Subscribe) valid() bool {
	if len(su.Interests) > MaxInterests {
		return false
	}
	for _, in := range su.Interests {
		if in.Last < in.First || in.Last-in.First >= MaxInterestScopes {
			return false
		}
	}
	return true
}
