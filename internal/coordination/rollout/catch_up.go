package rollout

import (
	"net/netip"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/change"
	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// MaxCatchUpBytes bounds the size in bytes of the values of one response. The
// first value is included whatever its size.
const MaxCatchUpBytes = 1 << 20

// CatchUpRequest asks a peer for a newer configuration than Have.
type CatchUpRequest struct {
	Have catalog.Version
	// Names are the shards still missing of the root that the peer sent before;
	// deltas or all shards are requested if it is empty.
	Names []string `cbor:",omitempty"`
}

// CatchUpResponse is a peer's response: the deltas that lead from the
// requested version to the peer's if it still has them, else its root with as
// many of the shards as MaxCatchUpBytes allows. It is empty if the peer has
// nothing newer.
type CatchUpResponse struct {
	Deltas [][]byte            `cbor:",omitempty"`
	Root   []byte              `cbor:",omitempty"`
	Values []change.ShardValue `cbor:",omitempty"`
}

// HandleCatchUp returns the response to a peer's request.
func (re *Replica) HandleCatchUp(rq CatchUpRequest) CatchUpResponse {
	if re.state == nil || !rq.Have.Less(re.state.Version()) {
		return CatchUpResponse{}
	}
	if deltas, ok := re.deltasSince(rq.Have); ok && len(rq.Names) == 0 {
		return CatchUpResponse{Deltas: deltas}
	}
	sn := re.state.Snapshot
	rs := CatchUpResponse{Root: sn.Root.Encode()}
	size := 0
	for _, va := range sn.Values {
		if len(rq.Names) > 0 && !slices.Contains(rq.Names, va.Name) {
			continue
		}
		if size += len(va.Bytes); size > MaxCatchUpBytes && len(rs.Values) > 0 {
			break
		}
		rs.Values = append(rs.Values, va)
	}
	return rs
}

// deltasSince returns recent deltas that lead from the version to the one in
// force, and false if some of them are no longer kept.
func (re *Replica) deltasSince(have catalog.Version) ([][]byte, bool) {
	var deltas [][]byte
	for have.Less(re.state.Version()) {
		de := re.recent.from(have)
		if de == nil {
			return nil, false
		}
		deltas = append(deltas, de.encoded)
		have = de.to
	}
	return deltas, true
}

// recentDelta is a delta that leads to a version this instance put in force, kept
// for peers that missed it.
type recentDelta struct {
	from    catalog.Version
	to      catalog.Version
	encoded []byte
}

// recentDeltas are the latest such deltas, at most DeltaSlots, the newest last.
type recentDeltas []recentDelta

// add adds a delta and drops the oldest ones beyond DeltaSlots.
func (rd *recentDeltas) add(de *change.Delta, encoded []byte) {
	*rd = append(*rd, recentDelta{from: de.From, to: de.To(), encoded: encoded})
	if len(*rd) > DeltaSlots {
		*rd = slices.Clone((*rd)[len(*rd)-DeltaSlots:])
	}
}

// from returns the newest delta that can be applied to the version, or nil.
func (rd recentDeltas) from(have catalog.Version) *recentDelta {
	for i := len(rd) - 1; i >= 0; i-- {
		if !have.Less(rd[i].from) && have.Less(rd[i].to) {
			return &rd[i]
		}
	}
	return nil
}

// Poll requests a newer configuration from a random peer, whether or not one is
// known to exist. It is for instances that gossip does not reach.
func (re *Replica) Poll() []Action {
	peer, ok := re.pickPeer()
	if !ok {
		return nil
	}
	return []Action{{Kind: ActionCatchUp, Peer: peer, Request: CatchUpRequest{Have: re.state.Version()}}}
}

// HandleCatchUpResponse handles a peer's response to a request of this
// instance.
func (re *Replica) HandleCatchUpResponse(now time.Time, from netip.AddrPort, rs CatchUpResponse) []Action {
	var actions []Action
	if !re.peerAnswered && re.state == nil {
		re.watchAt = now
	}
	re.peerAnswered = true
	for _, encoded := range rs.Deltas {
		actions = append(actions, re.handleDelta(now, encoded)...)
	}
	if rs.Root != nil {
		actions = append(actions, re.handlePeerRoot(now, from, rs)...)
	}
	return append(actions, re.Tick(now)...)
}

// handlePeerRoot adds a response's shards to the snapshot being read from the
// peer, and requests those still missing.
func (re *Replica) handlePeerRoot(now time.Time, from netip.AddrPort, rs CatchUpResponse) []Action {
	ro, err := change.DecodeRoot(rs.Root)
	if err != nil {
		return re.notice(Notice{Kind: NoticeUntrusted, Reason: err.Error()})
	}
	if !re.state.Version().Less(ro.Version) {
		return nil
	}
	re.noteVersion(now, ro.Version)
	if re.peerSnapshot == nil || re.peerSnapshot.Root.Version != ro.Version {
		re.peerSnapshot = &change.Snapshot{Root: ro}
		if re.state != nil {
			re.peerSnapshot.Values = slices.Clone(re.state.Snapshot.Values)
		}
	}
	re.peerSnapshot.Values = append(re.peerSnapshot.Values, rs.Values...)
	missing := re.peerSnapshot.Missing()
	if len(missing) == 0 {
		sn := re.peerSnapshot
		re.peerSnapshot = nil
		sn.Trim()
		return append(re.applySnapshot(now, sn), re.applyWaiting(now)...)
	}
	if len(rs.Values) == 0 {
		// The peer has replaced its root and no longer holds the missing shards.
		re.peerSnapshot = nil
		return nil
	}
	rq := CatchUpRequest{Have: re.state.Version()}
	for _, sh := range missing {
		rq.Names = append(rq.Names, sh.Name)
	}
	return []Action{{Kind: ActionCatchUp, Peer: from, Request: rq}}
}
