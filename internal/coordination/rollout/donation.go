package rollout

import (
	"net/netip"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/change"
	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// MaxDonationBytes bounds the values of one donation.
const MaxDonationBytes = 1 << 20

// CatchUpRequest asks a peer for what is missing.
type CatchUpRequest struct {
	Have catalog.Version
	// Names are shards that are missing of a root that the peer gave.
	Names []string `cbor:",omitempty"`
}

// CatchUpResponse is what a peer gives: deltas if it has those that fit, else its root
// with as many shards as one answer holds. It is empty if the peer has nothing
// newer.
type CatchUpResponse struct {
	Deltas [][]byte       `cbor:",omitempty"`
	Root   []byte         `cbor:",omitempty"`
	Values []change.Value `cbor:",omitempty"`
}

// HandleCatchUp answers a peer's question.
func (re *Reader) HandleCatchUp(qu CatchUpRequest) CatchUpResponse {
	if re.state == nil || !qu.Have.Less(re.state.Version()) {
		return CatchUpResponse{}
	}
	if deltas, ok := re.deltasSince(qu.Have); ok && len(qu.Names) == 0 {
		return CatchUpResponse{Deltas: deltas}
	}
	sn := re.state.Snapshot
	do := CatchUpResponse{Root: sn.Root.Encode()}
	size := 0
	for _, va := range sn.Values {
		if len(qu.Names) > 0 && !slices.Contains(qu.Names, va.Name) {
			continue
		}
		if size += len(va.Bytes); size > MaxDonationBytes && len(do.Values) > 0 {
			break
		}
		do.Values = append(do.Values, va)
	}
	return do
}

// deltasSince returns kept deltas that lead from the version to the present one.
func (re *Reader) deltasSince(have catalog.Version) ([][]byte, bool) {
	var deltas [][]byte
	for have.Less(re.state.Version()) {
		de := re.kept.from(have)
		if de == nil {
			return nil, false
		}
		deltas = append(deltas, de.encoded)
		have = de.to
	}
	return deltas, true
}

// keptDelta is a delta that was applied, for peers that missed it.
type keptDelta struct {
	from    catalog.Version
	to      catalog.Version
	encoded []byte
}

// keptDeltas are the latest deltas, the newest last.
type keptDeltas []keptDelta

// keep adds a delta and drops the oldest beyond DeltaSlots.
func (kd *keptDeltas) keep(de *change.Delta, encoded []byte) {
	*kd = append(*kd, keptDelta{from: de.From, to: de.To(), encoded: encoded})
	if len(*kd) > DeltaSlots {
		*kd = slices.Clone((*kd)[len(*kd)-DeltaSlots:])
	}
}

// from returns the kept delta that leads furthest from the version.
func (kd keptDeltas) from(have catalog.Version) *keptDelta {
	for i := len(kd) - 1; i >= 0; i-- {
		if !have.Less(kd[i].from) && have.Less(kd[i].to) {
			return &kd[i]
		}
	}
	return nil
}

// Poll asks a random peer for whatever is newer, for instances that gossip does
// not reach.
func (re *Reader) Poll() []Action {
	peer, ok := re.peer()
	if !ok {
		return nil
	}
	return []Action{{Kind: ActionCatchUp, Peer: peer, Request: CatchUpRequest{Have: re.state.Version()}}}
}

// HandleCatchUpResponse takes a peer's answer to a question.
func (re *Reader) HandleCatchUpResponse(now time.Time, from netip.AddrPort, do CatchUpResponse) []Action {
	var actions []Action
	for _, encoded := range do.Deltas {
		actions = append(actions, re.takeDelta(now, encoded)...)
	}
	if do.Root != nil {
		actions = append(actions, re.takeRoot(now, from, do)...)
	}
	return append(actions, re.Tick(now)...)
}

// takeRoot collects a peer's root and shards, and asks for those still missing.
func (re *Reader) takeRoot(now time.Time, from netip.AddrPort, do CatchUpResponse) []Action {
	ro, err := change.DecodeRoot(do.Root)
	if err != nil {
		return re.notice(Notice{Kind: NoticeUntrusted, Reason: err.Error()})
	}
	if !re.state.Version().Less(ro.Version) {
		return nil
	}
	re.news(now, ro.Version)
	if re.gift == nil || re.gift.Root.Version != ro.Version {
		re.gift = &change.Snapshot{Root: ro}
		if re.state != nil {
			re.gift.Values = slices.Clone(re.state.Snapshot.Values)
		}
	}
	re.gift.Values = append(re.gift.Values, do.Values...)
	missing := re.gift.Missing()
	if len(missing) == 0 {
		sn := re.gift
		re.gift = nil
		sn.Trim()
		return append(re.adopt(now, sn), re.applyWaiting(now)...)
	}
	if len(do.Values) == 0 {
		// The peer has gone on to another version.
		re.gift = nil
		return nil
	}
	qu := CatchUpRequest{Have: re.state.Version()}
	for _, sh := range missing {
		qu.Names = append(qu.Names, sh.Name)
	}
	return []Action{{Kind: ActionCatchUp, Peer: from, Request: qu}}
}
