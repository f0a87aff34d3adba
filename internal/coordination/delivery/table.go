package delivery

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/dchest/siphash"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// The digest tree is a hash tree of fixed shape: each inner node has 16
// children, and there are 4,096 leaves. The first 12 bits of an item's identity
// hash select its leaf.
const (
	fanOutBits = 4
	fanOut     = 1 << fanOutBits
	leafDepth  = 3
	leafBits   = leafDepth * fanOutBits
	leafCount  = 1 << leafBits
)

// The keys of SipHash. All nodes must use the same, as their sums are compared.
const (
	hashKey0 uint64 = 0x636f726e656c7469
	hashKey1 uint64 = 0x6c6c657264696765
)

// entry is an item with its hashes.
type entry struct {
	item Item
	// deadline is when the item is dropped; the zero time means never.
	deadline     time.Time
	identityHash uint64
	revisionHash uint64
}

// group holds the items of one kind and scope. sum is the XOR of their revision
// hashes.
type group struct {
	sum     uint64
	members map[Identity]*entry
}

// Table holds the newest known item of each identity, and a digest tree that two
// nodes compare to find where their tables differ. The sum of a tree node is the
// XOR of the revision hashes of all items below it.
type Table struct {
	entries map[Identity]*entry
	byHash  map[uint64]*entry
	leaves  map[uint16][]*entry
	groups  map[Group]*group
	// sums holds the sums of the digest tree by depth and position.
	sums [leafDepth + 1][]uint64
	// expiry holds the deadlines of the items that have one.
	expiry map[Identity]time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	ta := &Table{
		entries: make(map[Identity]*entry),
		byHash:  make(map[uint64]*entry),
		leaves:  make(map[uint16][]*entry),
		groups:  make(map[Group]*group),
		expiry:  make(map[Identity]time.Time),
	}
	for depth := range ta.sums {
		ta.sums[depth] = make([]uint64, 1<<(fanOutBits*depth))
	}
	return ta
}

// Len returns the number of items.
func (ta *Table) Len() int {
	return len(ta.entries)
}

// Root returns the sum at the root of the digest tree. Tables with the same items
// at the same revisions have the same sum.
func (ta *Table) Root() uint64 {
	return ta.sums[0][0]
}

// Get returns the item of the identity with its remaining lifetime at now.
func (ta *Table) Get(id Identity, now time.Time) (Item, bool) {
	en, ok := ta.entries[id]
	if !ok {
		return Item{}, false
	}
	return en.itemAt(now), true
}

// Put stores the item unless the table holds the same or a newer revision of it,
// and reports whether it was stored.
func (ta *Table) Put(it Item, now time.Time) bool {
	id := it.Identity()
	if old, ok := ta.entries[id]; ok {
		if !it.Supersedes(old.item.Revision) {
			return false
		}
		ta.remove(old)
	}
	en := &entry{item: it, deadline: it.deadline(now), identityHash: hashIdentity(id)}
	en.revisionHash = hashRevision(en.identityHash, it.Revision)
	ta.insert(en)
	return true
}

// SetDeadline sets when the item of the identity is dropped. It does nothing if the
// table does not hold the item.
func (ta *Table) SetDeadline(id Identity, deadline time.Time) {
	en, ok := ta.entries[id]
	if !ok {
		return
	}
	en.deadline = deadline
	ta.expiry[id] = deadline
}

// DropExpired removes and returns the items whose deadline has passed, in the
// order of their identity hashes.
func (ta *Table) DropExpired(now time.Time) []Item {
	var dropped []*entry
	for id, deadline := range ta.expiry {
		if !now.Before(deadline) {
			dropped = append(dropped, ta.entries[id])
		}
	}
	slices.SortFunc(dropped, compareHashes)
	items := make([]Item, 0, len(dropped))
	for _, en := range dropped {
		ta.remove(en)
		items = append(items, en.item)
	}
	return items
}

// Items returns all items in the order of their identity hashes.
func (ta *Table) Items(now time.Time) []Item {
	items := make([]Item, 0, len(ta.entries))
	for leaf := range leafCount {
		for _, en := range ta.leafEntries(uint16(leaf)) {
			items = append(items, en.itemAt(now))
		}
	}
	return items
}

// Range returns the items of the leaves from first on, and the leaf to continue
// with, which is LeafCount at the end. It stops after the leaf with which the
// items' sizes together reach limit bytes, so they can exceed it.
func (ta *Table) Range(first, limit int, now time.Time) ([]Item, int) {
	var items []Item
	size := 0
	leaf := first
	for ; leaf < leafCount && size < limit; leaf++ {
		for _, en := range ta.leaves[uint16(leaf)] {
			items = append(items, en.itemAt(now))
			size += en.item.Size()
		}
	}
	return items, leaf
}

// LeafCount is the number of leaves of a table's digest tree.
const LeafCount = leafCount

// insert adds an entry whose identity the table does not hold.
func (ta *Table) insert(en *entry) {
	id := en.item.Identity()
	ta.entries[id] = en
	ta.byHash[en.identityHash] = en
	leaf := leafOf(en.identityHash)
	ta.leaves[leaf] = append(ta.leaves[leaf], en)
	gr := ta.groups[en.item.Group()]
	if gr == nil {
		gr = &group{members: make(map[Identity]*entry)}
		ta.groups[en.item.Group()] = gr
	}
	gr.members[id] = en
	gr.sum ^= en.revisionHash
	ta.toggle(en)
	if !en.deadline.IsZero() {
		ta.expiry[id] = en.deadline
	}
}

// remove removes an entry that the table holds.
func (ta *Table) remove(en *entry) {
	id := en.item.Identity()
	delete(ta.entries, id)
	delete(ta.byHash, en.identityHash)
	delete(ta.expiry, id)
	leaf := leafOf(en.identityHash)
	ta.leaves[leaf] = slices.DeleteFunc(ta.leaves[leaf], func(other *entry) bool {
		return other == en
	})
	if len(ta.leaves[leaf]) == 0 {
		delete(ta.leaves, leaf)
	}
	gr := ta.groups[en.item.Group()]
	delete(gr.members, id)
	gr.sum ^= en.revisionHash
	if len(gr.members) == 0 {
		delete(ta.groups, en.item.Group())
	}
	ta.toggle(en)
}

// toggle XORs the entry's revision hash into every sum from its leaf to the root,
// which adds an entry that is not included and removes one that is.
func (ta *Table) toggle(en *entry) {
	leaf := leafOf(en.identityHash)
	for depth := range ta.sums {
		ta.sums[depth][leaf>>(fanOutBits*(leafDepth-depth))] ^= en.revisionHash
	}
}

// children returns the sums at the given depth of the children of the node at
// position path of the depth above; at depth 0, the root's own sum.
func (ta *Table) children(depth uint8, path uint16) []uint64 {
	if depth == 0 {
		return slices.Clone(ta.sums[0])
	}
	first := int(path) << fanOutBits
	return slices.Clone(ta.sums[depth][first : first+fanOut])
}

// interestSum returns the XOR of the revision hashes of the items in the interest.
func (ta *Table) interestSum(in Interest) uint64 {
	var sum uint64
	for scope := in.First; ; scope++ {
		if gr := ta.groups[Group{Kind: in.Kind, Scope: scope}]; gr != nil {
			sum ^= gr.sum
		}
		if scope >= in.Last {
			return sum
		}
	}
}

// interestEntries returns the entries in the interest in the order of their
// identity hashes.
func (ta *Table) interestEntries(in Interest) []*entry {
	var found []*entry
	for scope := in.First; ; scope++ {
		if gr := ta.groups[Group{Kind: in.Kind, Scope: scope}]; gr != nil {
			for _, en := range gr.members {
				found = append(found, en)
			}
		}
		if scope >= in.Last {
			slices.SortFunc(found, compareHashes)
			return found
		}
	}
}

// leafEntries returns the entries of one leaf in the order of their identity
// hashes.
func (ta *Table) leafEntries(leaf uint16) []*entry {
	found := slices.Clone(ta.leaves[leaf])
	slices.SortFunc(found, compareHashes)
	return found
}

// rangeEntries returns the entries of the leaves first to last in the order of
// their identity hashes. It stops after the leaf with which the number of
// entries reaches limit, so there can be more.
func (ta *Table) rangeEntries(first, last uint16, limit int) []*entry {
	var found []*entry
	for leaf := int(first); leaf <= int(last) && len(found) < limit; leaf++ {
		found = append(found, ta.leafEntries(uint16(leaf))...)
	}
	return found
}

// itemAt returns the item with its remaining lifetime at now. An item that
// expires has at least one second left.
func (en *entry) itemAt(now time.Time) Item {
	it := en.item
	if en.deadline.IsZero() {
		return it
	}
	remaining := en.deadline.Sub(now)
	it.RemainingSeconds = uint32(max(remaining, time.Second) / time.Second)
	return it
}

// compareHashes orders entries by identity hash.
func compareHashes(aa, bb *entry) int {
	switch {
	case aa.identityHash < bb.identityHash:
		return -1
	case aa.identityHash > bb.identityHash:
		return 1
	default:
		return 0
	}
}

// leafOf returns the number of the leaf that holds an identity hash.
func leafOf(hash uint64) uint16 {
	return uint16(hash >> (64 - leafBits))
}

// hashIdentity returns the hash that places an identity in the digest tree.
func hashIdentity(id Identity) uint64 {
	buf := make([]byte, 0, 64)
	buf = append(buf, byte(id.Kind))
	buf = append(buf, id.Key...)
	return siphash.Hash(hashKey0, hashKey1, buf)
}

// hashRevision returns the hash of an item's identity and revision.
func hashRevision(identityHash uint64, re register.Revision) uint64 {
	var buf [24]byte
	binary.BigEndian.PutUint64(buf[0:], identityHash)
	binary.BigEndian.PutUint64(buf[8:], re.Incarnation)
	binary.BigEndian.PutUint64(buf[16:], re.Sequence)
	return siphash.Hash(hashKey0, hashKey1, buf[:])
}
