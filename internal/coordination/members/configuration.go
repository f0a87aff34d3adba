package members

import (
	"net/netip"
	"slices"
	"time"
)

// configuration is the newest encoded configuration that is in force, and the
// pages received of newer ones.
type configuration struct {
	version    uint64
	data       []byte
	assemblies assemblies
	// nextRequest is from when a member with a newer version is asked for it.
	nextRequest time.Time
	// partial says that members may know more of the same version: which services
	// addresses had in versions that this process hasn't seen.
	partial bool
}

// Version returns the version of the newest configuration, zero without one.
func (co *configuration) Version() uint64 { return co.version }

// Publish stores a configuration that was read from the store and sends it to
// the members of the process's own failure domain and to one balancer of each
// other domain, unless they are known to have it. In the other domains processes
// read the store as well, and a member that still lacks the version gets it after
// its next greeting. Partial says that former services may be missing in it. A version
// that is not newer than the present one is ignored, unless the present one is partial.
func (vi *View) Publish(version uint64, data []byte, partial bool) []Action {
	vi.actions = vi.actions[:0]
	if version < vi.version || version == vi.version && !vi.partial {
		return vi.actions
	}
	vi.replace(version, data, partial)
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

// Accept makes a configuration that KindConfiguration has reported the view's own. A
// process calls it once it has decoded the configuration and put it in force; one that is
// refused is sent again by the members that have it. Partial is as in Publish.
func (vi *View) Accept(version uint64, data []byte, partial bool) {
	if version < vi.version {
		return
	}
	vi.nextRequest = time.Time{}
	vi.replace(version, data, partial)
}

// replace makes a configuration the view's own.
func (vi *View) replace(version uint64, data []byte, partial bool) {
	vi.version, vi.data, vi.partial = version, data, partial
	if partial {
		// Pages of the same version may tell more.
		vi.assemblies.dropUpTo(version - 1)
	} else {
		vi.assemblies.dropUpTo(version)
	}
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
// has the same effect, or if a configuration was asked for a moment ago.
func (vi *View) compareVersions(now time.Time, from netip.AddrPort, gr *Greeting) {
	switch {
	case gr.Version < vi.version || gr.Joins() && gr.Version == vi.version:
		vi.sendConfiguration(from)
	case gr.Version > vi.version && !gr.WantAnswer && !now.Before(vi.nextRequest):
		vi.nextRequest = now.Add(pageRetry)
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
