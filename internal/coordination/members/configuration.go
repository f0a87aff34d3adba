package members

import (
	"net/netip"
	"slices"
)

// configuration is the newest encoded configuration and the parts of one that
// is still coming in.
type configuration struct {
	version uint64
	data    []byte
	coming  uint64
	parts   [][]byte
	missing int
}

// maxPages bounds the pages of a configuration: one object of the store.
const maxPages = 1 << 20 / bytesInPage

// Version returns the version of the newest configuration, zero without one.
func (co *configuration) Version() uint64 { return co.version }

// Publish takes a configuration that was read from the store and sends it to
// the members of the own failure domain and to one balancer of each other one,
// where other processes read the store.
func (vi *View) Publish(version uint64, data []byte) []Action {
	vi.out = vi.out[:0]
	if version <= vi.version {
		return vi.out
	}
	vi.version, vi.data = version, data
	told := map[string]struct{}{vi.self.Domain: {}}
	for _, address := range vi.addresses() {
		me := vi.members[address]
		_, known := told[me.record.Domain]
		first := !known && me.record.Role == RoleBalancer
		if first {
			told[me.record.Domain] = struct{}{}
		}
		if (first || me.record.Domain == vi.self.Domain) && me.version < version {
			vi.sendConfiguration(address)
		}
	}
	return vi.out
}

// HandleVersion takes a version that a member was seen to have.
func (vi *View) HandleVersion(from netip.AddrPort, version uint64) []Action {
	vi.out = vi.out[:0]
	me, ok := vi.members[from]
	if !ok || version <= me.version {
		return vi.out
	}
	me.version = version
	if version > vi.version {
		vi.send(from, Message{Greeting: vi.greeting(RoleBalancer, true, false)})
	}
	return vi.out
}

// compareVersions sends the newer configuration to the member that lacks it.
func (vi *View) compareVersions(from netip.AddrPort, gr *Greeting) {
	switch {
	case gr.Version < vi.version:
		vi.sendConfiguration(from)
	case gr.Version > vi.version && !gr.Answer:
		vi.send(from, Message{Greeting: vi.greeting(RoleBalancer, true, false)})
	}
}

func (vi *View) sendConfiguration(to netip.AddrPort) {
	chunks := slices.Collect(slices.Chunk(vi.data, bytesInPage))
	for i, chunk := range chunks {
		vi.send(to, Message{Page: &Page{
			Version: vi.version, Index: uint16(i), Count: uint16(len(chunks)), Data: chunk,
		}})
	}
}

// collect takes a part of a configuration.
func (vi *View) collect(pa *Page) {
	if pa.Version <= vi.version || pa.Version < vi.coming || pa.Index >= pa.Count || pa.Count > maxPages {
		return
	}
	if pa.Version > vi.coming || len(vi.parts) != int(pa.Count) {
		vi.coming = pa.Version
		vi.parts = make([][]byte, pa.Count)
		vi.missing = int(pa.Count)
	}
	if vi.parts[pa.Index] == nil {
		vi.parts[pa.Index] = pa.Data
		vi.missing--
	}
	if vi.missing > 0 {
		return
	}
	vi.version, vi.data = vi.coming, slices.Concat(vi.parts...)
	vi.parts = nil
	vi.out = append(vi.out, Action{Kind: KindConfiguration, Data: vi.data, Version: vi.version})
}
