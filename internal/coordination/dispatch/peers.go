package dispatch

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/dchest/siphash"

	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// holderLimit bounds the agents that are asked for a ledger.
const holderLimit = 6

// The key of the successor order. It is public: the order spreads ledgers and
// protects nothing.
const (
	successorKey0 = 0x636f726e656c7469
	successorKey1 = 0x6c6c65722d6c6467
)

// peerTable holds the other agents of the service.
type peerTable struct {
	all []Peer
	// takers are the peers that take new work.
	takers []netip.AddrPort
}

// replace takes the current peers.
func (pt *peerTable) replace(peers []Peer) {
	pt.all = slices.Clone(peers)
	pt.takers = nil
	for _, pe := range pt.all {
		if pe.TakesNewWork {
			pt.takers = append(pt.takers, pe.Host)
		}
	}
}

// holders returns the agents that may hold the ledger of the home: the home
// itself while there is an agent at its address, then its successors.
func (pt *peerTable) holders(home ledger.Home) []netip.AddrPort {
	var hosts []netip.AddrPort
	for _, pe := range pt.all {
		if pe.Host == home.Host {
			hosts = append(hosts, pe.Host)
		}
	}
	hosts = append(hosts, pt.successors(home)...)
	return hosts[:min(len(hosts), holderLimit)]
}

// heirs returns the agents that may adopt the ledger of the home, those that
// take new work first.
func (pt *peerTable) heirs(home ledger.Home) []netip.AddrPort {
	var stay, leave []netip.AddrPort
	for _, ho := range pt.successors(home) {
		if slices.Contains(pt.takers, ho) {
			stay = append(stay, ho)
		} else {
			leave = append(leave, ho)
		}
	}
	hosts := append(stay, leave...)
	return hosts[:min(len(hosts), holderLimit)]
}

// successors returns the peers in the rendezvous order of the home, so that
// agents with the same view agree without a message.
func (pt *peerTable) successors(home ledger.Home) []netip.AddrPort {
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

// rank returns the place of the peer in the order of the home.
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
