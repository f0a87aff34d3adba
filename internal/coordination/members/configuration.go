package members

import (
	"net/netip"
	"slices"
)

// configuration is the newest encoded configuration that is complete, and the
// pages received of a newer one.
type configuration struct {
	version        uint64
	data           []byte
	pendingVersion uint64
	pages          [][]byte
	missingPages   int
	// first says that the configuration is the first one, read from the store. Members
	// then may know more of the same version: which services addresses had before.
	first bool
}

// maxPages bounds the pages of a configuration, which is one object of the store
// of about 1 MiB at most.
const maxPages = 1 << 20 / bytesInPage

// Version returns the version of the newest configuration, zero without one.
func (co *configuration) Version() uint64 { return co.version }

// Publish stores a configuration that was read from the store and sends it to
// the members of the process's own failure domain and to one balancer of each
// other domain, unless they are known to have it. In the other domains processes
// read the store as well, and a member that still lacks the version gets it after
// its next greeting. A version that is not newer than the present one is ignored.
func (vi *View) Publish(version uint64, data []byte) []Action {
	vi.actions = vi.actions[:0]
	if version <= vi.version {
		return vi.actions
	}
	vi.first = vi.version == 0
	vi.version, vi.data = version, data
	informed := map[string]struct{}{vi.self.Domain: {}}
	for _, address := range vi.addresses() {
		me := vi.members[address]
		_, known := informed[me.record.Domain]
		first := !known && me.record.Role == RoleBalancer
		if first {
			informed[me.record.Domain] = struct{}{}
		}
		if (first || me.record.Domain == vi.self.Domain) && me.version < version {
			vi.sendConfiguration(address)
		}
	}
	return vi.actions
}

// HandleVersion handles a configuration version that a member was seen to have.
// If it is newer than the view's own, the member is greeted, so that it sends
// its configuration.
func (vi *View) HandleVersion(from netip.AddrPort, version uint64) []Action {
	vi.actions = vi.actions[:0]
	me, ok := vi.members[from]
	if !ok || version <= me.version {
		return vi.actions
	}
	me.version = version
	if version > vi.version {
		vi.send(from, Message{Greeting: vi.greeting(RoleBalancer, true, false)})
	}
	return vi.actions
}

// compareVersions sends the configuration to a member whose version is older, or that
// joins with the same one, and greets a member whose version is newer, so that it sends
// its configuration. The greeting is left out if the member asked for an answer, which
// has the same effect.
func (vi *View) compareVersions(from netip.AddrPort, gr *Greeting) {
	switch {
	case gr.Version < vi.version || gr.Joins() && gr.Version == vi.version:
		vi.sendConfiguration(from)
	case gr.Version > vi.version && !gr.WantAnswer:
		vi.send(from, Message{Greeting: vi.greeting(RoleBalancer, true, false)})
	}
}

// sendConfiguration sends the configuration in pages.
func (vi *View) sendConfiguration(to netip.AddrPort) {
	chunks := slices.Collect(slices.Chunk(vi.data, bytesInPage))
	for i, chunk := range chunks {
		vi.send(to, Message{Page: &Page{
			Version: vi.version, Index: uint16(i), Count: uint16(len(chunks)), Data: chunk,
		}})
	}
}

// collect stores a page of a configuration, and replaces the present one when all
// pages are there. Pages of a version that is not newer are ignored, unless it is that of
// the first configuration.
func (vi *View) collect(pa *Page) {
	isNew := pa.Version > vi.version || vi.first && pa.Version == vi.version
	if !isNew || pa.Version < vi.pendingVersion || pa.Index >= pa.Count || pa.Count > maxPages {
		return
	}
	if pa.Version > vi.pendingVersion || len(vi.pages) != int(pa.Count) {
		vi.pendingVersion = pa.Version
		vi.pages = make([][]byte, pa.Count)
		vi.missingPages = int(pa.Count)
	}
	if vi.pages[pa.Index] == nil {
		vi.pages[pa.Index] = pa.Data
		vi.missingPages--
	}
	if vi.missingPages > 0 {
		return
	}
	vi.version, vi.data = vi.pendingVersion, slices.Concat(vi.pages...)
	vi.pages, vi.first = nil, false
	vi.actions = append(vi.actions, Action{Kind: KindConfiguration, Data: vi.data, Version: vi.version})
}
