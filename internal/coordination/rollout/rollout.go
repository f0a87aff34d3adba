// Package rollout brings accepted configurations to every instance and counts
// which version each has in force.
//
// Two instances of each failure domain, chosen by rendezvous hashing, hold a
// watch of the root. They publish each change as a delta, which the others hear
// by gossip. Who misses one asks a peer; who hears nothing for long reads the
// root itself, with jitter. Acknowledgements are summed up along a tree within
// the failure domain. Reader is the decision core.
//
// # Usage
//
//	re := rollout.New(self, anchors, random)
//	do(re.Members(now, members))
//	do(re.Heard(now, item))
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

// The times and sizes of the rollout.
const (
	// Watchers is the number of instances of a failure domain that hold the
	// watch.
	Watchers = 2
	// FanOut is the number of instances that report to one other.
	FanOut = 16
	// WatchWait is how long one watch call waits.
	WatchWait = 30 * time.Second
	// WatchRetry is the delay before a watch that failed is begun again.
	WatchRetry = time.Second
	// CallTimeout bounds a read with its retries.
	CallTimeout = 10 * time.Second
	// HeadInterval is the time between two announcements of a watcher.
	HeadInterval = 20 * time.Second
	// SilenceMin is how long an instance hears nothing before it reads the
	// root itself, up to twice as long with jitter.
	SilenceMin = 90 * time.Second
	// ReadMax bounds the growing delay between such reads.
	ReadMax = 15 * time.Minute
	// AskDelay is how long an instance that is behind waits for the delta
	// before it asks a peer.
	AskDelay = 500 * time.Millisecond
	// AskMax bounds the growing delay between such questions.
	AskMax = 20 * time.Second
	// AsksBeforeRead is how many questions an instance without any
	// configuration asks before it reads the root.
	AsksBeforeRead = 12
	// ReportDelay is how long reports are collected before they are passed on.
	ReportDelay = 300 * time.Millisecond
	// ReportRepeat is when a changed report is sent again, ReportRepeats times,
	// in case it got lost.
	ReportRepeat  = 2 * time.Second
	ReportRepeats = 2
	// ReportInterval is when a report is repeated without a change.
	ReportInterval = 30 * time.Second
	// ReportExpiry is when a report that was not repeated is dropped.
	ReportExpiry = 100 * time.Second
	// SpreadInterval is the least time between two published sums.
	SpreadInterval = 5 * time.Second
	// SpreadDelay is how long a top collects reports before it publishes.
	SpreadDelay = time.Second
	// DeltaSlots is the number of latest deltas that gossip keeps.
	DeltaSlots = 16
	// MaxDeltaBytes is the size of the largest delta that gossip carries; peers
	// fetch a larger one.
	MaxDeltaBytes = 1100
	// MaxNamed is the number of laggards, and of holders, that a report names.
	MaxNamed = 4
)

// Member is a balancer. Agents are guests: each reports to one balancer of its
// failure domain and is no member of the tree.
type Member struct {
	Address netip.AddrPort
	Domain  string
}

// Item is what gossip spreads: the newest revision of each key.
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
	// ActionCall asks for Call to the store, to be answered by Deadline.
	ActionCall ActionKind = iota + 1
	// ActionPublish hands Item to gossip.
	ActionPublish
	// ActionApply puts State in force.
	ActionApply
	// ActionCatchUp puts Question to Peer; the answer is a Donation.
	ActionCatchUp
	// ActionReport sends Report to Peer.
	ActionReport
	// ActionNotice logs Notice.
	ActionNotice
	// ActionWake asks for a Tick at Deadline.
	ActionWake
)

// Action is what the shell is to do.
type Action struct {
	Kind     ActionKind
	Call     archive.Call
	Deadline time.Time
	Item     Item
	State    *change.State
	Peer     netip.AddrPort
	Request CatchUpRequest
	Report   Report
	Notice   Notice
}

// NoticeKind is the kind of a notice.
type NoticeKind uint8

// The kinds of notices.
const (
	// NoticeStoreBehind says that the store holds an older version than the one in
	// force: it went back.
	NoticeStoreBehind NoticeKind = iota + 1
	// NoticeUntrusted says that a root or delta failed its check.
	NoticeUntrusted
)

// String returns the kind as logs name it.
func (no NoticeKind) String() string {
	if no == NoticeStoreBehind {
		return "StoreBehind"
	}
	return "Untrusted"
}

// Notice is something that the operators should know.
type Notice struct {
	Kind    NoticeKind
	Store   catalog.Version
	InForce catalog.Version
	Reason  string
}

// Report sums up what a part of a failure domain has in force.
type Report struct {
	_      struct{} `cbor:",toarray"`
	Domain string
	// Newest and Lowest are the extremes among the instances.
	Newest catalog.Version
	Lowest catalog.Version
	// Instances is how many are counted, Current how many have Newest.
	Instances int
	Current   int
	// Laggards are some of the instances that lack Newest, Holders some of
	// those that have it.
	Laggards []netip.AddrPort `json:",omitempty"`
	Holders  []netip.AddrPort `json:",omitempty"`
}

// Add sums up two reports.
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
	total.Laggards = named(newer.Laggards, older.Laggards)
	if older.Newest == newer.Newest {
		total.Current += older.Current
		total.Holders = named(newer.Holders, older.Holders)
		return total
	}
	total.Laggards = named(total.Laggards, older.Holders)
	return total
}

// named joins two lists of names up to MaxNamed.
func named(first, second []netip.AddrPort) []netip.AddrPort {
	joined := append(slices.Clone(first), second...)
	return joined[:min(len(joined), MaxNamed)]
}

// InForceOnAll returns the version that all of the instances have, zero if fewer
// than that many are counted.
func (re Report) InForceOnAll(instances int) catalog.Version {
	if re.Instances < instances {
		return catalog.Version{}
	}
	return re.Lowest
}
