package delivery

import (
	"math"
	"net/netip"
	"time"
)

// The limits on the messages that find and repair differences.
const (
	// maxBranches is how many differing tree nodes a node answers for one
	// digest.
	maxBranches = 4
	// maxVersions bounds the versions in a listing, maxRequest the identity
	// hashes in a request.
	maxVersions = 36
	maxRequest  = 100
	// maxCompared bounds the comparison of this node's items with a listing of
	// the whole table: it ends with the leaf that reaches this number of items.
	maxCompared = 1000
)

// startDigest sends the root's sum to a random neighbour when a digest is due.
func (gs *Gossip) startDigest(now time.Time) []Action {
	if now.Before(gs.nextDigest) {
		return nil
	}
	jitter := time.Duration(gs.rng.Int64N(int64(DigestInterval)))
	gs.nextDigest = now.Add(DigestInterval/2 + jitter)
	pe, ok := gs.neighbours.random(gs.rng)
	if !ok {
		return nil
	}
	return gs.SendDigest(pe.Address, now)
}

// SendDigest sends the root's sum to a peer, which answers if its table differs.
// The message is dropped if the budget does not cover it.
func (gs *Gossip) SendDigest(peer netip.AddrPort, now time.Time) []Action {
	digest := &Digest{Sums: gs.table.children(0, 0)}
	return gs.send(nil, peer, Message{Digest: digest}, now)
}

// digestSoon brings the next digest forward, to at most RepairInterval from now,
// because a difference was found.
func (gs *Gossip) digestSoon(now time.Time) {
	soon := now.Add(RepairInterval)
	if soon.Before(gs.nextDigest) {
		gs.nextDigest = soon
	}
}

// receiveDigest compares the sums with this node's and answers for at most
// maxBranches random ones of the tree nodes that differ, as descend does.
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
		gs.digestSoon(now)
	}
	for _, path := range differing[:min(len(differing), maxBranches)] {
		acts = gs.send(acts, from, gs.descend(di.Depth, path), now)
	}
	return acts
}

// descend returns the answer for a tree node whose sum differs: a listing if it
// is a leaf or this node holds fewer than maxVersions items below it, else the
// sums of its children.
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

// valid reports whether the digest's position is in the tree and its number of
// sums is right.
func (di Digest) valid() bool {
	if di.Depth == 0 {
		return di.Path == 0 && len(di.Sums) == 1
	}
	if di.Depth > leafDepth || len(di.Sums) != fanOut {
		return false
	}
	return int(di.Path) < 1<<(fanOutBits*(int(di.Depth)-1))
}

// listing lists at most maxVersions of the entries, which are in the order of
// their identity hashes. If it leaves out some, the range ends with the last one
// listed, so that the receiver does not take the others for missing.
func listing(in Interest, entries []*entry, first, last uint64) *Listing {
	if len(entries) > maxVersions {
		entries = entries[:maxVersions]
		last = entries[maxVersions-1].identityHash
	}
	li := &Listing{Interest: in, First: first, Last: last}
	for _, en := range entries {
		li.Versions = append(li.Versions, Version{Revision: en.item.Revision, IdentityHash: en.identityHash})
	}
	return li
}

// receiveListing queues the items that the peer lacks or holds at an older
// revision, and requests those that this node lacks or holds at an older one.
func (gs *Gossip) receiveListing(from netip.AddrPort, li Listing, now time.Time) []Action {
	if li.Interest.Last-li.Interest.First >= MaxInterestScopes || li.Last < li.First {
		return nil
	}
	gs.digestSoon(now)
	listed := make(map[uint64]struct{}, len(li.Versions))
	var wanted []uint64
	for _, ve := range li.Versions {
		listed[ve.IdentityHash] = struct{}{}
		en := gs.table.byHash[ve.IdentityHash]
		switch {
		case en == nil || ve.Supersedes(en.item.Revision):
			wanted = append(wanted, ve.IdentityHash)
		case en.item.Supersedes(ve.Revision):
			gs.outbox.add(from, en.item.Identity(), en.item.Urgent)
		}
	}
	for _, en := range gs.entriesInRange(li) {
		if _, ok := listed[en.identityHash]; !ok && li.First <= en.identityHash && en.identityHash <= li.Last {
			gs.outbox.add(from, en.item.Identity(), en.item.Urgent)
		}
	}
	acts := gs.flush(now, false)
	if len(wanted) > 0 {
		wanted = wanted[:min(len(wanted), maxRequest)]
		acts = gs.send(acts, from, Message{Request: &Request{IdentityHashes: wanted}}, now)
	}
	return acts
}

// entriesInRange returns this node's entries to compare with the listing. It can
// include entries outside the listing's range of identity hashes.
func (gs *Gossip) entriesInRange(li Listing) []*entry {
	if li.Interest.Kind != 0 {
		return gs.table.interestEntries(li.Interest)
	}
	return gs.table.rangeEntries(leafOf(li.First), leafOf(li.Last), maxCompared)
}

// receiveRequest queues the requested items that this node holds.
func (gs *Gossip) receiveRequest(from netip.AddrPort, re Request, now time.Time) []Action {
	for _, hash := range re.IdentityHashes[:min(len(re.IdentityHashes), maxRequest)] {
		if en := gs.table.byHash[hash]; en != nil {
			gs.outbox.add(from, en.item.Identity(), en.item.Urgent)
		}
	}
	return gs.flush(now, false)
}

// subscribe renews the subscription, with the sums of what this node holds, when
// it is due.
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

// choosePublisher chooses another publisher when the term has ended or the
// publisher is no longer a chosen neighbour. It reports whether there is a
// publisher.
func (gs *Gossip) choosePublisher(now time.Time) bool {
	if now.Before(gs.publisherDeadline) && gs.neighbours.hasChosen(gs.publisher) {
		return true
	}
	pe, ok := gs.neighbours.randomExcept(gs.failedPublisher, gs.rng)
	gs.publisher = pe.Address
	gs.publisherDeadline = now.Add(SubscriptionTerm)
	return ok
}

// receiveSubscribe stores the subscription and answers with a listing of each
// interest in which the subscriber's sum differs from this node's.
func (gs *Gossip) receiveSubscribe(from netip.AddrPort, su Subscribe, now time.Time) []Action {
	if !su.valid() {
		return nil
	}
	sub := gs.findSubscriber(from)
	if sub == nil {
		if len(gs.subscribers) >= MaxSubscribers {
			return nil
		}
		sub = &subscriber{address: from, credit: InitialSyncBytesPerSubscriber}
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

// interestListing lists the entries of the interest. If they do not fit in one
// listing it starts with a random one, so that the listings for several renewals
// cover the interest.
func (gs *Gossip) interestListing(in Interest) *Listing {
	entries := gs.table.interestEntries(in)
	if len(entries) <= maxVersions {
		return listing(in, entries, 0, math.MaxUint64)
	}
	start := gs.rng.IntN(len(entries))
	first := uint64(0)
	if start > 0 {
		first = entries[start-1].identityHash + 1
	}
	return listing(in, entries[start:], first, math.MaxUint64)
}

// valid reports whether the number of interests and their ranges are within
// MaxInterests and MaxInterestScopes.
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
