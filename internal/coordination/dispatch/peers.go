package dispatch

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/dchest/siphash"

	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// maxHolders bounds the agents that are asked for a ledger or offered one.
const maxHolders = 6

// The SipHash key of the rendezvous order. It need not be secret: the order only
// spreads ledgers over the agents.
const (
	successorKey0 = 0x636f726e656c7469
	successorKey1 = 0x6c6c65722d6c6467
)

// peerTable holds the other agents of the service.
type peerTable struct {
	all []Peer
	// accepting are the peers that take new work.
	accepting []netip.AddrPort
}

// replace sets the current peers.
func (pt *peerTable) replace(peers []Peer) {
	pt.all = slices.Clone(peers)
	pt.accepting = nil
	for _, pe := range pt.all {
		if pe.TakesNewWork {
			pt.accepting = append(pt.accepting, pe.Host)
		}
	}
}

// holders returns the agents that may hold the ledger of the home: the agent at
// its address, if any, then the peers in rendezvous order, at most maxHolders.
func (pt *peerTable) holders(home ledger.Home) []netip.AddrPort {
	var hosts []netip.AddrPort
	for _, pe := range pt.all {
		if pe.Host == home.Host {
			hosts = append(hosts, pe.Host)
		}
	}
	hosts = append(hosts, pt.rendezvousOrder(home)...)
	return hosts[:min(len(hosts), maxHolders)]
}

// successors returns the agents that may adopt the ledger of the home, at most
// maxHolders. Those that take new work come first.
func (pt *peerTable) successors(home ledger.Home) []netip.AddrPort {
	var accepting, draining []netip.AddrPort
	for _, ho := range pt.rendezvousOrder(home) {
		if slices.Contains(pt.accepting, ho) {
			accepting = append(accepting, ho)
		} else {
			draining = append(draining, ho)
		}
	}
	hosts := append(accepting, draining...)
	return hosts[:min(len(hosts), maxHolders)]
}

// rendezvousOrder returns the peers other than the home in the order of their
// rendezvous hash for the home, so that agents with the same view of the peers
// agree without a message.
func (pt *peerTable) rendezvousOrder(home ledger.Home) []netip.AddrPort {
	type ranked struct {
		host netip.AddrPort
		rank uint64
	}
	var order []ranked
	for _, pe := range pt.all {
		if pe.Host != home.Host {
			order = append(order, ranked{host: pe.Host, rank: rank(home, pe.Host)})
		}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), a.host.Compare(b.host))
	})
	hosts := make([]netip.AddrPort, 0, len(order))
	for _, ra := range order {
		hosts = append(hosts, ra.host)
	}
	return hosts
}

// rank returns the rendezvous hash of the peer for the home; the lowest comes
// first.
func rank(home ledger.Home, peer netip.AddrPort) uint64 {
	raw := appendAddrPort(nil, home.Host)
	raw = binary.BigEndian.AppendUint64(raw, home.Incarnation)
	raw = appendAddrPort(raw, peer)
	return siphash.Hash(successorKey0, successorKey1, raw)
}

// appendAddrPort appends the address and port in a fixed layout.
func appendAddrPort(raw []byte, ap netip.AddrPort) []byte {
	addr := ap.Addr().As16()
	raw = append(raw, addr[:]...)
	return binary.BigEndian.AppendUint16(raw, ap.Port())
}
