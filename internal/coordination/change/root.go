// Package change commits changes of the configuration to the platform's object
// store by conditional writes, and finds out whether a change whose write got
// no answer took effect.
//
// The root object is the only commit point. It holds the version, the latest
// history entries, references to immutable shards, and which owner may change
// the configuration at present. The command language and the stored data call
// that authority the say (see catalog.Say); its term grows by one each time it
// passes to another owner.
//
// A change first writes new shards under names that are never used again. It
// then raises the fence of the root on the condition that the store still has the
// version of the root object that the change read (compare and swap), and writes
// the root on the condition of the version that this gave. This one comparison
// rejects the write of a process that was paused, of an owner who lost the
// authority meanwhile, and of an operator who changed the configuration at the
// same time.
//
// Commit, GarbageCollection, StatusQuery, SnapshotRead and Reinstatement are
// state machines: they do no I/O and read no clock. The caller hands in the
// time and the store's answers, and executes the calls that are returned.
//
// # Usage
//
//	co := change.NewCommit(request, random)
//	submit(co.Start(now))
//	for !co.Done() {
//		submit(co.Handle(now, nextAnswer()))
//	}
//	outcome := co.Outcome()
package change

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// The object names in the store.
const (
	// RootName is the name of the root object.
	RootName = "root"
	// ShardPrefix is the prefix of the name of every shard and history page.
	ShardPrefix = "shards/"
)

// The limits on the contents of a root.
const (
	// ServiceBuckets is the number of buckets that the services are divided into.
	// Each bucket that isn't empty is stored as one shard.
	ServiceBuckets = 64
	// rulesBucket is the bucket of the host rules and the retired addresses.
	rulesBucket = ServiceBuckets
	// MaxHistory is the largest number of history entries in the root. Once it is
	// exceeded, the oldest MaxHistory/2 entries move to a history page.
	MaxHistory = 64
	// MaxPages is the largest number of history pages that the root refers to. The
	// references to older pages are dropped.
	MaxPages = 32
	// MaxFenced is the largest length of Root.Fenced. The oldest identities are
	// dropped.
	MaxFenced = 32
	// MaxShardBytes is the largest size of a shard's value, in bytes. It leaves
	// room below the store's limit of a megabyte.
	MaxShardBytes = 1_000_000
)

// Identity is the unique name of one attempt at a change: the version that the
// attempt was made from, a hyphen and a random number.
type Identity string

// Shard is a reference to an immutable object in the store. The object holds
// the part of the configuration that falls into one bucket.
type Shard struct {
	_ struct{} `cbor:",toarray"`
	// Bucket is the number of the bucket, from 0 to ServiceBuckets.
	Bucket int
	// Name is the name of the object in the store.
	Name string
	// Digest is the SHA-256 digest of the object's value.
	Digest []byte
	// Size is the length of the object's value in bytes.
	Size int
}

// Page is a reference to an immutable object with earlier entries of the
// history. From and To are the versions of its first and last entry. The Bucket
// of its Shard is not used.
type Page struct {
	Shard
	From catalog.Version
	To   catalog.Version
}

// Entry is the record of one accepted change in the history. Each entry is
// signed and contains the digest of the entry before it.
type Entry struct {
	_        struct{} `cbor:",toarray"`
	Identity Identity
	Version  catalog.Version
	// Base is the version that the change was made from.
	Base  catalog.Version
	Owner string
	// At is the store's time when the change was evaluated, or the local time if
	// the store's is not known.
	At      time.Time
	Summary string
	// Say is who holds the authority to change the configuration after this
	// change.
	Say catalog.Say
	// Owners lists all owners after the change. It is nil if the change did not
	// alter them.
	Owners []catalog.Owner `json:",omitempty"`
	// Previous is the digest of the entry before this one.
	Previous []byte `json:",omitempty"`
	// Content is the digest of the root's content after the change.
	Content []byte
	// Signature is the owner's Ed25519 signature of Message.
	Signature []byte `json:",omitempty"`
}

// Content is the part of the root whose digest the newest Entry signs.
type Content struct {
	Version     catalog.Version
	Say         catalog.Say
	Owners      []catalog.Owner
	Calendar    []catalog.Turn
	NextService register.ServiceID
	Shards      []Shard
}

// Root is the value of the root object.
type Root struct {
	Content
	// History holds the latest entries, the newest last.
	History []Entry
	Pages   []Page `json:",omitempty"`
	// Fence is raised by one by each write of the root that adds no change. Such a
	// write gives the root object a new version in the store, so that every write
	// that is conditional on an earlier version fails.
	Fence uint64
	// Fenced lists attempts that can no longer take effect because the fence was
	// raised while their writes had no answer.
	Fenced []Identity `json:",omitempty"`
}

// DecodeRoot decodes the value of the root object. It does not verify it; see
// Root.Verify.
func DecodeRoot(value []byte) (*Root, error) {
	var ro Root
	if err := json.Unmarshal(value, &ro); err != nil {
		return nil, errors.Wrap(err, "decode root")
	}
	return &ro, nil
}

// Encode returns the value of the root object.
func (ro *Root) Encode() []byte {
	return encode(ro)
}

// encode returns the value as JSON. Marshalling the types of this package never
// fails.
func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}

// Digest returns the SHA-256 digest of the content. The Entry of the change
// signs it.
func (co *Content) Digest() []byte {
	return digestOf(encode(co))
}

// Digest returns the SHA-256 digest of the entry. The next Entry holds it as
// Previous.
func (en *Entry) Digest() []byte {
	return digestOf(encode(en))
}

// Message returns the bytes that the owner signs: the entry as JSON without its
// signature.
func (en *Entry) Message() []byte {
	unsigned := *en
	unsigned.Signature = nil
	return encode(unsigned)
}

// Last returns the newest entry of the history, false if there is none.
func (ro *Root) Last() (Entry, bool) {
	if len(ro.History) == 0 {
		return Entry{}, false
	}
	return ro.History[len(ro.History)-1], true
}

// clone returns a copy whose Shards, History, Pages and Fenced may be changed.
// The other slices are shared.
func (ro *Root) clone() *Root {
	copied := *ro
	copied.Shards = slices.Clone(ro.Shards)
	copied.History = slices.Clone(ro.History)
	copied.Pages = slices.Clone(ro.Pages)
	copied.Fenced = slices.Clone(ro.Fenced)
	return &copied
}

// Shard returns the reference for the bucket, false if the bucket is empty.
func (ro *Root) Shard(bucket int) (Shard, bool) {
	for _, sh := range ro.Shards {
		if sh.Bucket == bucket {
			return sh, true
		}
	}
	return Shard{}, false
}

// refersTo reports whether the named object is a shard or a history page of the
// root.
func (ro *Root) refersTo(name string) bool {
	for _, sh := range ro.Shards {
		if sh.Name == name {
			return true
		}
	}
	for _, pa := range ro.Pages {
		if pa.Name == name {
			return true
		}
	}
	return false
}

// Status says what became of one attempt at a change.
type Status uint8

// The statuses of an attempt.
const (
	// StatusPending says that the attempt has not taken effect but still may.
	StatusPending Status = iota
	// StatusAccepted says that the attempt is in the history.
	StatusAccepted
	// StatusAborted says that the attempt has not taken effect and never will.
	StatusAborted
	// StatusNotRetained says that it is no longer known whether the attempt took
	// effect: the history does not reach back to the version that the attempt was
	// made from.
	StatusNotRetained
	// StatusStoreBehind says that the root is older than the version that the
	// attempt was made from, or missing: the store lost accepted changes.
	StatusStoreBehind
)

// StatusOf returns the status of an attempt that was made from the base
// version. It considers the root's own history but not its pages.
func (ro *Root) StatusOf(identity Identity, base catalog.Version) Status {
	switch {
	case ro.Version.Number < base.Number:
		return StatusStoreBehind
	case slices.Contains(ro.Fenced, identity):
		return StatusAborted
	case ro.Version == base:
		return StatusPending
	}
	return statusIn(ro.History, identity, base)
}

// statusIn returns the status according to the entry that was made from the
// base version. There is at most one such entry, so any other attempt made from
// that version has lost.
func statusIn(history []Entry, identity Identity, base catalog.Version) Status {
	for _, en := range history {
		if en.Base != base {
			continue
		}
		if en.Identity == identity {
			return StatusAccepted
		}
		return StatusAborted
	}
	return StatusNotRetained
}

// pageFor returns the page that holds the entry made from the base version,
// false if no page reaches it.
func (ro *Root) pageFor(base catalog.Version) (Page, bool) {
	for _, pa := range ro.Pages {
		if pa.From.Number <= base.Number+1 && base.Number+1 <= pa.To.Number {
			return pa, true
		}
	}
	return Page{}, false
}

// checkDigest returns an error unless the value has the digest of the
// reference.
func (sh Shard) checkDigest(value []byte) error {
	if !bytes.Equal(digestOf(value), sh.Digest) {
		return errors.Errorf("shard %s does not match the digest of its reference", sh.Name)
	}
	return nil
}
