// Package rollout distributes accepted configurations to every instance and
// counts how many instances have which version in force.
//
// Two balancers of each failure domain, chosen by rendezvous hashing, watch the
// root object in the store. They publish each change as a delta, which the other
// instances receive by gossip. They also announce when they last read the store. While
// nobody has read it lately, the next balancers in that order watch it too. An instance that misses a delta requests it from a
// peer, and one that learns of no version for ReadDelayMin, with jitter, reads
// the root from the store. Reports of the versions in force are aggregated along a
// tree within each failure domain.
//
// Replica is the state machine of one instance. It does no I/O and reads no clock:
// every input carries the time, and every output is a list of actions for the
// caller.
//
// # Usage
//
//	re := rollout.New(self, anchors, random)
//	do(re.SetView(now, view))
//	do(re.HandleItem(now, item))
//	do(re.Tick(now))
package rollout

import (
	"net/netip"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/archive"
	"corneltiller.dev/corneltiller/internal/coordination/change"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// The intervals and limits of a rollout.
const (
	// Watchers is the number of balancers of a failure domain that watch the
	// root object.
	Watchers = 2
	// FanOut is the most children of a node of the report tree.
	FanOut = 16
	// WatchWait is how long one watch call waits for a change. Each answer shows that
	// the store is in reach, so it is well below StaleAfter.
	WatchWait = 6 * time.Second
	// StaleAfter is the age of the last known read of the store from which the
	// balancers that come after the watchers of their failure domain watch it too, the
	// first one at once and each next one ReserveStagger later. A change has to be in
	// force everywhere within 19 s: this leaves 2 s for the gossip of the last read, 2 s for
	// a reserve's call that is lost and 6 s for the gossip of the change.
	StaleAfter     = 9 * time.Second
	ReserveStagger = 250 * time.Millisecond
	// WatchRetry is the least delay before a failed watch is tried again, up to
	// twice as long with jitter.
	WatchRetry = time.Second
	// PeerWait is how long an instance that starts waits for a peer's answer before it
	// takes the store's version, which may be older than the one in force: the store
	// may have been restored from a copy.
	PeerWait = 2 * time.Second
	// firstPolls is the number of peers that it asks again after it took the store's.
	firstPolls = 3
	// CallTimeout bounds a read from the store, retries included.
	CallTimeout = 10 * time.Second
	// AnnounceInterval is how much later than the last announced read of the store
	// a read must be for it to be announced. Together with WatchWait it bounds
	// the time between two announcements of a fleet.
	AnnounceInterval = 4 * time.Second
	// AnnounceSpread is the time over which the announcements of watchers that were
	// answered together are spread. A change is answered to all of them at once, and
	// so is the end of the watches after it.
	AnnounceSpread = 1500 * time.Millisecond
	// ReadDelayMin is how long an instance learns of no version before it reads
	// the root from the store, up to twice as long with jitter.
	ReadDelayMin = 90 * time.Second
	// ReadDelayMax bounds the delay between such reads, which doubles with each,
	// before jitter.
	ReadDelayMax = 15 * time.Minute
	// CatchUpDelay is how long an instance that is behind waits for the delta
	// before it sends a peer a catch-up request.
	CatchUpDelay = 500 * time.Millisecond
	// pickAgainAfter is the delay after which an instance that picked itself as the peer
	// to catch up from picks again.
	pickAgainAfter = 50 * time.Millisecond
	// CatchUpDelayMax bounds the delay between such requests, which doubles with
	// each, before jitter. The delay does not grow while nothing is in force.
	CatchUpDelayMax = 20 * time.Second
	// CatchUpsBeforeRead is how many catch-up attempts an instance without any
	// configuration makes before it reads the root from the store.
	CatchUpsBeforeRead = 12
	// ReportDelay is how long an instance collects changed reports before it
	// reports to its parent.
	ReportDelay = 300 * time.Millisecond
	// ReportRepeat is the delay after which a changed report is sent to the
	// parent again, ReportRepeats times, in case one is lost.
	ReportRepeat  = 2 * time.Second
	ReportRepeats = 2
	// ReportInterval is the time after which an unchanged report is sent again.
	ReportInterval = 30 * time.Second
	// ReportExpiry is how long a received report counts unless it is repeated.
	ReportExpiry = 100 * time.Second
	// SumInterval is the least time between two published sums.
	SumInterval = 5 * time.Second
	// SumDelay is how long the top of a report tree collects changed reports
	// before it publishes the sum.
	SumDelay = time.Second
	// DeltaSlots is the number of latest deltas that gossip keeps, and that an
	// instance keeps for peers. In gossip a delta replaces the one whose version
	// number is lower by DeltaSlots.
	DeltaSlots = 16
	// MaxDeltaBytes is the size of the largest delta that gossip carries;
	// instances request a larger one from a peer.
	MaxDeltaBytes = 1100
	// MaxListed is the most laggards, and the most holders, that a report lists.
	MaxListed = 4
)

// Member identifies an instance. The members of a View are balancers, which make
// up the report tree of each failure domain. An agent is no member of a tree: it
// reports to one balancer, of its own failure domain if there is any.
type Member struct {
	Address netip.AddrPort
	Domain  string
}

// Item is a value that gossip replicates; only the newest revision of a key is
// kept.
type Item struct {
	Key      string
	Revision register.Revision
	Urgent   bool
	Body     []byte
}

// ActionKind is the kind of an action.
type ActionKind uint8

// The kinds of actions.
const (
	// ActionCall requests Call to the store, to be answered by Deadline.
	ActionCall ActionKind = iota + 1
	// ActionPublish requests that Item is published by gossip.
	ActionPublish
	// ActionApply requests that State is put in force.
	ActionApply
	// ActionCatchUp requests that Request is sent to Peer; the response is a
	// CatchUpResponse.
	ActionCatchUp
	// ActionReport requests that Report is sent to Peer.
	ActionReport
	// ActionNotice requests that Notice is logged.
	ActionNotice
	// ActionWake requests a Tick at Deadline.
	ActionWake
)

// Action is something that the caller is to do. The comments on the kinds say
// which fields are set.
type Action struct {
	Kind     ActionKind
	Call     archive.Call
	Deadline time.Time
	Item     Item
	State    *change.State
	Peer     netip.AddrPort
	Request  CatchUpRequest
	Report   Report
	Notice   Notice
}

// NoticeKind is the kind of a notice.
type NoticeKind uint8

// The kinds of notices.
const (
	// NoticeStoreBehind says that the store holds an older version than the one
	// in force, for instance because a backup was restored.
	NoticeStoreBehind NoticeKind = iota + 1
	// NoticeUntrusted says that a root, a snapshot or a delta could not be
	// decoded, verified or applied, or that a delta could not be encoded.
	NoticeUntrusted
)

// String returns the kind as it is logged.
func (no NoticeKind) String() string {
	if no == NoticeStoreBehind {
		return "StoreBehind"
	}
	return "Untrusted"
}

// Notice is an event that operators should know of. Store is the version that it
// is about, zero if unknown; InForce is the version in force in this instance,
// zero for none.
type Notice struct {
	Kind    NoticeKind
	Store   catalog.Version
	InForce catalog.Version
	Reason  string
}

// Report says which versions the instances of a part of the fleet have in force:
// of a subtree, of a failure domain, or of all.
type Report struct {
	_ struct{} `cbor:",toarray"`
	// Domain is the failure domain, empty for a report on all.
	Domain string
	// Newest and Lowest are the newest and the oldest version in force.
	Newest catalog.Version
	Lowest catalog.Version
	// Instances is the number of instances counted, Current the number of those
	// that have Newest in force.
	Instances int
	Current   int
	// Laggards are at most MaxListed of the instances that do not have Newest in
	// force, Holders at most MaxListed of those that do.
	Laggards []netip.AddrPort `json:",omitempty"`
	Holders  []netip.AddrPort `json:",omitempty"`
}

// Add returns the report on the instances of both reports. It assumes that no
// instance is counted in both.
func (re Report) Add(other Report) Report {
	if re.Instances == 0 {
		return other
	}
	if other.Instances == 0 {
		return re
	}
	older, newer := re, other
	if newer.Newest.Less(older.Newest) {
		older, newer = newer, older
	}
	total := newer
	total.Instances += older.Instances
	if older.Lowest.Less(total.Lowest) {
		total.Lowest = older.Lowest
	}
	total.Laggards = joinListed(newer.Laggards, older.Laggards)
	if older.Newest == newer.Newest {
		total.Current += older.Current
		total.Holders = joinListed(newer.Holders, older.Holders)
		return total
	}
	total.Laggards = joinListed(total.Laggards, older.Holders)
	return total
}

// joinListed joins two lists and cuts the result to MaxListed.
func joinListed(first, second []netip.AddrPort) []netip.AddrPort {
	joined := append(slices.Clone(first), second...)
	return joined[:min(len(joined), MaxListed)]
}

// InForceOnAll returns the oldest version that an instance has in force, which
// all have in force or have replaced by a newer one. It is zero if the report
// counts fewer than the given number of instances.
func (re Report) InForceOnAll(instances int) catalog.Version {
	if re.Instances < instances {
		return catalog.Version{}
	}
	return re.Lowest
}
