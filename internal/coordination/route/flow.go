package route

import (
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// flowState is what an agent knows of a flow. In all states but flowUnknown and
// flowHeld the entry is a forwarding entry: it names the peer to which the flow's
// packets go.
type flowState uint8

const (
	// flowUnknown is a flow without an entry in the table.
	flowUnknown flowState = iota
	// flowHeld is a flow that is open on this host.
	flowHeld
	// flowAsked is a flow whose packets go to the peer with RequestAsk.
	flowAsked
	// flowDelegated is a flow that the peer is to open.
	flowDelegated
	// flowOffered is a flow that was offered to the peer, which may refuse it.
	flowOffered
)

// flow is an entry of a FlowTable. It takes 24 bytes.
type flow struct {
	key uint64
	// deadline is when the entry expires, in nanoseconds since the table's start.
	deadline int64
	// peer is the position of a forwarding entry's peer, and generation is the
	// peer's generation at the time of the entry.
	peer       uint16
	generation uint8
	state      flowState
}

const (
	// maxPeers is the largest number of other hosts in the table.
	maxPeers = 1 << 12
	// sweepPerPacket is the number of entries whose deadline is checked at each
	// packet.
	sweepPerPacket = 2
)

// FlowTable records which flows are open on an agent's host and to which peers
// the packets of other flows are forwarded. It is not safe for concurrent use.
type FlowTable struct {
	key     Key
	self    Candidate
	service register.ServiceID
	start   time.Time

	capacity int
	flows    []flow
	// free holds the positions of the unused elements of flows.
	free []uint32
	// index holds the positions of the entries by the flows' keys.
	index map[uint64]uint32
	// sweepPosition is where the last sweep ended.
	sweepPosition int
	// heldCount is the number of entries in the state flowHeld.
	heldCount int

	peers     []peer
	peerIndex map[netip.AddrPort]uint16

	// draining reports whether the host takes no new work.
	draining    bool
	connections int
	weight      uint16
	utilisation uint16
}

// NewFlowTable returns an empty table of the host for at most capacity entries:
// open flows and forwarding entries together.
func NewFlowTable(self register.Host, key Key, start time.Time, capacity int) *FlowTable {
	fl := &FlowTable{
		key:       key,
		self:      Candidate{Address: self.Address, Incarnation: self.Incarnation},
		service:   self.Service,
		start:     start,
		capacity:  capacity,
		index:     make(map[uint64]uint32),
		peerIndex: make(map[netip.AddrPort]uint16),
	}
	fl.UpdateSelf(self)
	return fl
}

// UpdateSelf takes the state, weight and utilisation from the host's own record.
func (fl *FlowTable) UpdateSelf(ho register.Host) {
	fl.draining = !ho.State.TakesNewWork()
	fl.weight = ho.Weight
	fl.utilisation = ho.Load
}

// SetConnections sets the number of open QUIC connections. It is needed because
// the later packets of a connection name the host and refresh no entry, so that
// the table alone would count too few flows.
func (fl *FlowTable) SetConnections(connections int) {
	fl.connections = connections
}

// UpdatePeer applies the record of another host. It invalidates the forwarding
// entries to a host that is gone, has restarted or now serves another service.
func (fl *FlowTable) UpdatePeer(ho register.Host) {
	if ho.Service != fl.service {
		fl.invalidateEntries(ho.Address)
		return
	}
	if ho.State == register.StateGone {
		fl.invalidateEntries(ho.Address)
	}
	if ho.Address == fl.self.Address {
		return
	}
	if i, ok := fl.findOrAddPeer(Candidate{Address: ho.Address, Incarnation: ho.Incarnation}); ok {
		fl.peers[i].state = ho.State
	}
}

// invalidateEntries invalidates the forwarding entries to a peer and marks it as
// gone.
func (fl *FlowTable) invalidateEntries(address netip.AddrPort) {
	i, ok := fl.peerIndex[address]
	if !ok || fl.peers[i].state == register.StateGone {
		return
	}
	fl.peers[i].generation++
	fl.peers[i].state = register.StateGone
}

// Flows returns the number of open flows: the larger one of the flows in the table
// and the number given to SetConnections.
func (fl *FlowTable) Flows() int {
	return max(fl.heldCount, fl.connections)
}

// ForwardedFlows returns the number of forwarding entries. A draining host waits
// for them to expire, as it waits for its own flows to end.
func (fl *FlowTable) ForwardedFlows() int {
	return len(fl.index) - fl.heldCount
}

// Close removes the entry of a flow.
func (fl *FlowTable) Close(caller netip.AddrPort, id []byte) {
	if at, ok := fl.index[fl.key.flow(caller, id)]; ok {
		fl.remove(at)
	}
}

// Sweep removes all entries whose deadline has passed.
func (fl *FlowTable) Sweep(now time.Time) {
	fl.sweepEntries(fl.sinceStart(now), len(fl.flows))
}

// sweepEntries checks the deadlines of the next count entries and removes those
// that have expired.
func (fl *FlowTable) sweepEntries(now int64, count int) {
	for range min(count, len(fl.flows)) {
		fl.sweepPosition++
		if fl.sweepPosition >= len(fl.flows) {
			fl.sweepPosition = 0
		}
		fw := &fl.flows[fl.sweepPosition]
		if fw.state != flowUnknown && fw.deadline <= now {
			fl.remove(uint32(fl.sweepPosition))
		}
	}
}

// sinceStart returns the nanoseconds since the table's start.
func (fl *FlowTable) sinceStart(now time.Time) int64 {
	return int64(now.Sub(fl.start))
}

// find returns the position of a flow's entry. It removes an entry that has
// expired or become invalid.
func (fl *FlowTable) find(now int64, key uint64) (uint32, bool) {
	at, ok := fl.index[key]
	if !ok {
		return 0, false
	}
	fw := &fl.flows[at]
	invalid := fw.state != flowHeld && fl.peers[fw.peer].invalidates(fw)
	if invalid || fw.deadline <= now {
		fl.remove(at)
		return 0, false
	}
	return at, true
}

// invalidates reports whether a forwarding entry to the peer is no longer valid.
func (pe *peer) invalidates(fw *flow) bool {
	return pe.generation != fw.generation || pe.state == register.StateGone
}

// remove removes the entry at a position.
func (fl *FlowTable) remove(at uint32) {
	fw := &fl.flows[at]
	if fw.state == flowHeld {
		fl.heldCount--
	}
	delete(fl.index, fw.key)
	*fw = flow{}
	fl.free = append(fl.free, at)
}

// put adds or replaces the entry of a flow. It returns false if the table is full.
// peerAt is ignored for flowHeld.
func (fl *FlowTable) put(now int64, key uint64, fs flowState, peerAt uint16) bool {
	at, ok := fl.index[key]
	if !ok {
		if at, ok = fl.allocate(); !ok {
			return false
		}
		fl.index[key] = at
	}
	fw := &fl.flows[at]
	if fw.state == flowHeld {
		fl.heldCount--
	}
	*fw = flow{key: key, deadline: now + int64(FlowIdle), peer: peerAt, state: fs}
	if fs == flowHeld {
		fl.heldCount++
	} else {
		fw.generation = fl.peers[peerAt].generation
	}
	return true
}

// allocate returns the position of an unused entry, or false if the table is full.
func (fl *FlowTable) allocate() (uint32, bool) {
	if last := len(fl.free) - 1; last >= 0 {
		at := fl.free[last]
		fl.free = fl.free[:last]
		return at, true
	}
	if len(fl.flows) >= fl.capacity {
		return 0, false
	}
	fl.flows = append(fl.flows, flow{})
	return uint32(len(fl.flows) - 1), true
}

// findOrAddPeer returns the position of a peer. It adds an unknown peer, and
// invalidates the forwarding entries to a former incarnation. It returns false if
// maxPeers are known.
func (fl *FlowTable) findOrAddPeer(ca Candidate) (uint16, bool) {
	if i, ok := fl.peerIndex[ca.Address]; ok {
		pe := &fl.peers[i]
		if pe.shortIncarnation() != ca.shortIncarnation() {
			pe.generation++
			pe.state = 0
			pe.Candidate = ca
		}
		return i, true
	}
	if len(fl.peers) >= maxPeers {
		return 0, false
	}
	fl.peers = append(fl.peers, peer{Candidate: ca})
	i := uint16(len(fl.peers) - 1)
	fl.peerIndex[ca.Address] = i
	return i, true
}
