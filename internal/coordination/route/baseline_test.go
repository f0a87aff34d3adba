package route

import (
	"net/netip"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// baseline is a method of selecting hosts that the benchmarks compare.
type baseline struct {
	name    string
	newView func([]register.Host) testView
}

func baselines() []baseline {
	return []baseline{
		{"Table", newTableView},
		{"RendezvousWithoutChain", newOwnerOnlyView},
		{"Maglev", func(hosts []register.Host) testView { return newListView(hosts, maglevLookup) }},
		{"Modulo", func(hosts []register.Host) testView { return newListView(hosts, moduloLookup) }},
	}
}

func (vi *ownerOnlyView) chain(now time.Time, caller netip.AddrPort) Chain {
	ch := vi.tableView.chain(now, caller)
	ch.Count = min(ch.Count, 1)
	ch.HolderCount = ch.Count
	return ch
}

// listView selects a host by a lookup table over the hosts that take new work.
type listView struct {
	hosts    map[netip.AddrPort]register.Host
	eligible []Candidate
	lookup   []uint16
	fill     func(eligible []Candidate) []uint16
}

func newListView(hosts []register.Host, fill func([]Candidate) []uint16) *listView {
	vi := &listView{hosts: make(map[netip.AddrPort]register.Host), fill: fill}
	for _, ho := range hosts {
		vi.hosts[ho.Address] = ho
	}
	vi.refill()
	return vi
}

func (vi *listView) next(_ time.Time, ho register.Host) {
	if !ho.Supersedes(vi.hosts[ho.Address].Revision) {
		return
	}
	vi.hosts[ho.Address] = ho
	vi.refill()
}

func (vi *listView) refill() {
	vi.eligible = nil
	for _, ho := range vi.hosts {
		if ho.State.TakesNewWork() {
			vi.eligible = append(vi.eligible, Candidate{Address: ho.Address, Incarnation: ho.Incarnation})
		}
	}
	slices.SortFunc(vi.eligible, func(a, b Candidate) int { return a.Address.Compare(b.Address) })
	vi.lookup = vi.fill(vi.eligible)
}

func (vi *listView) chain(_ time.Time, caller netip.AddrPort) Chain {
	hash := testKey.flow(caller, nil)
	ch := Chain{HolderCount: 1}
	ch.append(vi.eligible[vi.lookup[hash%uint64(len(vi.lookup))]])
	return ch
}

// moduloLookup returns a lookup table with one entry for each host.
func moduloLookup(eligible []Candidate) []uint16 {
	lookup := make([]uint16, len(eligible))
	for i := range lookup {
		lookup[i] = uint16(i)
	}
	return lookup
}

// maglevLookup returns a lookup table of the Maglev algorithm: the hosts take turns,
// and each one takes the next free entry of its own permutation.
func maglevLookup(eligible []Candidate) []uint16 {
	size := uint64(2039)
	if len(eligible) > 20 {
		size = 65537
	}
	lookup := slices.Repeat([]uint16{noSlot}, int(size))
	next := make([]uint64, len(eligible))
	for filled := 0; ; {
		for i, ca := range eligible {
			offset, skip := testKey.seed(1, ca.Address)%size, testKey.seed(2, ca.Address)%(size-1)+1
			at := (offset + next[i]*skip) % size
			for lookup[at] != noSlot {
				next[i]++
				at = (offset + next[i]*skip) % size
			}
			lookup[at] = uint16(i)
			next[i]++
			if filled++; filled == int(size) {
				return lookup
			}
		}
	}
}
