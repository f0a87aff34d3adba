package route

import (
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// knowledge is what an agent knows of a flow.
type flowState uint8

const (
	// unknown is a flow of which no packet has come lately.
	flowUnknown flowState = iota
	// held is a flow of this host.
	flowHeld
	// asked is a flow for which the peer was asked.
	flowAsked
	// promised is a flow that was left to the peer.
	flowDelegated
	// offered is a flow that was offered to the peer, who may refuse it.
	flowOffered
)

// flow is what a FlowTable keeps of a flow: 24 bytes.
type flow struct {
	key uint64
	// deadline is in nanoseconds since the table's start.
	deadline   int64
	peer       uint16
	generation uint8
	state      flowState
}

const (
	// maxPeers bounds the other hosts of a service that an agent knows.
	maxPeers = 1 << 12
	// sweepStep is the number of flows examined for their deadline at each packet.
	sweepPerPacket = 2
)

// FlowTable is the agent's half of steering: which flows the host holds and
// where it has sent the others. It is not safe for concurrent use.
type FlowTable struct {
	key     Key
	self    Candidate
	service register.ServiceID
	start   time.Time

	capacity      int
	flows         []flow
	free          []uint32
	index         map[uint64]uint32
	sweepPosition int
	heldCount     int

	peers     []peer
	peerIndex map[netip.AddrPort]uint16

	draining    bool
	connections int
	weight      uint16
	utilisation uint16
}

// NewFlowTable returns an empty table of the host for at most capacity flows.
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

// UpdateSelf takes the host's own record: its state, weight and utilisation.
func (fl *FlowTable) UpdateSelf(ho register.Host) {
	fl.draining = !ho.State.TakesNewWork()
	fl.weight = ho.Weight
	fl.utilisation = ho.Load
}

// SetConnections takes the number of QUIC connections that are open. Their
// later packets name the host and refresh nothing in the table.
func (fl *FlowTable) SetConnections(connections int) {
	fl.connections = connections
}

// UpdatePeer takes the record of another host. Pointers to a host that is gone,
// has restarted or serves another service now are void.
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

// lose makes the pointers to a peer void.
func (fl *FlowTable) invalidateEntries(address netip.AddrPort) {
	i, ok := fl.peerIndex[address]
	if !ok || fl.peers[i].state == register.StateGone {
		return
	}
	fl.peers[i].generation++
	fl.peers[i].state = register.StateGone
}

// Flows returns the number of open flows.
func (fl *FlowTable) Flows() int {
	return max(fl.heldCount, fl.connections)
}

// Pointers returns the number of flows of which the table knows another host.
// A draining host waits for them to end, as it waits for its own flows.
func (fl *FlowTable) ForwardedFlows() int {
	return len(fl.index) - fl.heldCount
}

// Close ends a flow of this host.
func (fl *FlowTable) Close(caller netip.AddrPort, id []byte) {
	if at, ok := fl.index[fl.key.flow(caller, id)]; ok {
		fl.remove(at)
	}
}

// Sweep removes all flows whose deadline has passed.
func (fl *FlowTable) Sweep(now time.Time) {
	fl.sweepEntries(fl.sinceStart(now), len(fl.flows))
}

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

func (fl *FlowTable) sinceStart(now time.Time) int64 {
	return int64(now.Sub(fl.start))
}

// find returns the place of a flow that is still known.
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

// voids reports whether a pointer to the peer has become useless.
func (pe *peer) invalidates(fw *flow) bool {
	return pe.generation != fw.generation || pe.state == register.StateGone
}

func (fl *FlowTable) remove(at uint32) {
	fw := &fl.flows[at]
	if fw.state == flowHeld {
		fl.heldCount--
	}
	delete(fl.index, fw.key)
	*fw = flow{}
	fl.free = append(fl.free, at)
}

// put keeps what is now known of a flow. It returns false if the table is full.
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

// peerOf returns the place of a peer, which is new or restarted if need be.
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
