package delivery

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/dchest/siphash"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// The digest tree has 16 children a node and 4,096 leaves.
const (
	fanOutBits = 4
	fanOut     = 1 << fanOutBits
	leafDepth  = 3
	leafBits   = leafDepth * fanOutBits
	leafCount  = 1 << leafBits
)

// The keys of the hash; all nodes must use the same.
const (
	hashKey0 uint64 = 0x636f726e656c7469
	hashKey1 uint64 = 0x6c6c657264696765
)

// entry is an item with its place in the digest tree.
type entry struct {
	item     Item
	deadline time.Time
	mark     uint64
	sum      uint64
}

// group holds the items of one kind and scope with the sum of their hashes.
type group struct {
	sum     uint64
	members map[Identity]*entry
}

// Table holds the newest known item of each identity, with sums over hashed
// ranges that two nodes compare to find their differences.
type Table struct {
	entries map[Identity]*entry
	marks   map[uint64]*entry
	leaves  map[uint16][]*entry
	groups  map[Group]*group
	sums    [leafDepth + 1][]uint64
	expiry  map[Identity]time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	ta := &Table{
		entries: make(map[Identity]*entry),
		marks:   make(map[uint64]*entry),
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

// Root returns the sum over all items; equal tables have equal sums.
func (ta *Table) Root() uint64 {
	return ta.sums[0][0]
}

// Get returns the item of the identity.
func (ta *Table) Get(id Identity, now time.Time) (Item, bool) {
	en, ok := ta.entries[id]
	if !ok {
		return Item{}, false
	}
	return en.at(now), true
}

// Put joins the item into the table and reports whether it was newer than
// what was there.
func (ta *Table) Put(it Item, now time.Time) bool {
	id := it.Identity()
	if old, ok := ta.entries[id]; ok {
		if !it.Supersedes(old.item.Revision) {
			return false
		}
		ta.remove(old)
	}
	en := &entry{item: it, deadline: it.deadline(now), mark: markOf(id)}
	en.sum = sumOf(en.mark, it.Revision)
	ta.insert(en)
	return true
}

// SetDeadline sets the deadline of an item that is there.
func (ta *Table) SetDeadline(id Identity, deadline time.Time) {
	en, ok := ta.entries[id]
	if !ok {
		return
	}
	en.deadline = deadline
	ta.expiry[id] = deadline
}

// DropExpired removes and returns the items whose deadline has passed, in the
// order of their marks.
func (ta *Table) DropExpired(now time.Time) []Item {
	var dropped []*entry
	for id, deadline := range ta.expiry {
		if !now.Before(deadline) {
			dropped = append(dropped, ta.entries[id])
		}
	}
	slices.SortFunc(dropped, byMark)
	items := make([]Item, 0, len(dropped))
	for _, en := range dropped {
		ta.remove(en)
		items = append(items, en.item)
	}
	return items
}

// Items returns all items in the order of their marks.
func (ta *Table) Items(now time.Time) []Item {
	items := make([]Item, 0, len(ta.entries))
	for leaf := range leafCount {
		for _, en := range ta.leafEntries(uint16(leaf)) {
			items = append(items, en.at(now))
		}
	}
	return items
}

// Range returns the items of the leaves from first up to the byte limit, and
// the leaf to go on with, which is LeafCount at the end.
func (ta *Table) Range(first, limit int, now time.Time) ([]Item, int) {
	var items []Item
	size := 0
	leaf := first
	for ; leaf < leafCount && size < limit; leaf++ {
		for _, en := range ta.leaves[uint16(leaf)] {
			items = append(items, en.at(now))
			size += en.item.Size()
		}
	}
	return items, leaf
}

// LeafCount is the number of hashed ranges of a table.
const LeafCount = leafCount

// insert adds an entry that is not there.
func (ta *Table) insert(en *entry) {
	id := en.item.Identity()
	ta.entries[id] = en
	ta.marks[en.mark] = en
	leaf := leafOf(en.mark)
	ta.leaves[leaf] = append(ta.leaves[leaf], en)
	gr := ta.groups[en.item.Group()]
	if gr == nil {
		gr = &group{members: make(map[Identity]*entry)}
		ta.groups[en.item.Group()] = gr
	}
	gr.members[id] = en
	gr.sum ^= en.sum
	ta.toggle(en)
	if !en.deadline.IsZero() {
		ta.expiry[id] = en.deadline
	}
}

// remove takes out an entry that is there.
func (ta *Table) remove(en *entry) {
	id := en.item.Identity()
	delete(ta.entries, id)
	delete(ta.marks, en.mark)
	delete(ta.expiry, id)
	leaf := leafOf(en.mark)
	ta.leaves[leaf] = slices.DeleteFunc(ta.leaves[leaf], func(other *entry) bool {
		return other == en
	})
	if len(ta.leaves[leaf]) == 0 {
		delete(ta.leaves, leaf)
	}
	gr := ta.groups[en.item.Group()]
	delete(gr.members, id)
	gr.sum ^= en.sum
	if len(gr.members) == 0 {
		delete(ta.groups, en.item.Group())
	}
	ta.toggle(en)
}

// toggle adds the entry's sum to its path in the digest tree, or takes it out.
func (ta *Table) toggle(en *entry) {
	leaf := leafOf(en.mark)
	for depth := range ta.sums {
		ta.sums[depth][leaf>>(fanOutBits*(leafDepth-depth))] ^= en.sum
	}
}

// children returns the sums of the children of a node, or the root's own sum
// at depth zero.
func (ta *Table) children(depth uint8, path uint16) []uint64 {
	if depth == 0 {
		return slices.Clone(ta.sums[0])
	}
	first := int(path) << fanOutBits
	return slices.Clone(ta.sums[depth][first : first+fanOut])
}

// interestSum returns the sum over the items inside the interest.
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

// interestEntries returns the entries inside the interest by mark.
func (ta *Table) interestEntries(in Interest) []*entry {
	var found []*entry
	for scope := in.First; ; scope++ {
		if gr := ta.groups[Group{Kind: in.Kind, Scope: scope}]; gr != nil {
			for _, en := range gr.members {
				found = append(found, en)
			}
		}
		if scope >= in.Last {
			slices.SortFunc(found, byMark)
			return found
		}
	}
}

// leafEntries returns the entries of one leaf by mark.
func (ta *Table) leafEntries(leaf uint16) []*entry {
	found := slices.Clone(ta.leaves[leaf])
	slices.SortFunc(found, byMark)
	return found
}

// rangeEntries returns the entries of a range of leaves by mark; the leaf in
// which the limit is reached is the last.
func (ta *Table) rangeEntries(first, last uint16, limit int) []*entry {
	var found []*entry
	for leaf := int(first); leaf <= int(last) && len(found) < limit; leaf++ {
		found = append(found, ta.leafEntries(uint16(leaf))...)
	}
	return found
}

// at returns the item as it would be sent now.
func (en *entry) at(now time.Time) Item {
	it := en.item
	if en.deadline.IsZero() {
		return it
	}
	remaining := en.deadline.Sub(now)
	it.RemainingSeconds = uint32(max(remaining, time.Second) / time.Second)
	return it
}

func byMark(aa, bb *entry) int {
	switch {
	case aa.mark < bb.mark:
		return -1
	case aa.mark > bb.mark:
		return 1
	default:
		return 0
	}
}

func leafOf(mark uint64) uint16 {
	return uint16(mark >> (64 - leafBits))
}

// markOf returns the hash that places an identity in the digest tree.
func markOf(id Identity) uint64 {
	buf := make([]byte, 0, 64)
	buf = append(buf, byte(id.Kind))
	buf = append(buf, id.Key...)
	return siphash.Hash(hashKey0, hashKey1, buf)
}

// sumOf returns the hash of an identity at a revision.
func sumOf(mark uint64, re register.Revision) uint64 {
	var buf [24]byte
	binary.BigEndian.PutUint64(buf[0:], mark)
	binary.BigEndian.PutUint64(buf[8:], re.Incarnation)
	binary.BigEndian.PutUint64(buf[16:], re.Sequence)
	return siphash.Hash(hashKey0, hashKey1, buf[:])
}
