// Package change carries one change of the configuration into the platform's
// store and settles whether it took effect.
//
// The root object is the only commit point. It holds the say, the version, a
// short history and references to immutable shards. A change writes new shards
// under names that are never used again, then updates the root on the condition
// of the store's version that it read. A holder who was paused, an owner who
// lost the say and a racing operator all fail that one comparison. Commit and
// Collection are decision cores: answers and times go in, calls come out.
//
// # Usage
//
//	co := change.New(request, random)
//	calls := co.Start(now)
//	for !co.Done() {
//		calls = co.Handle(now, answerTo(calls))
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

// The names in the store.
const (
	// RootName is the name of the root object.
	RootName = "root"
	// ShardPrefix begins the name of every shard and history page.
	ShardPrefix = "shards/"
)

// The sizes of a root.
const (
	// ServiceShards is the number of shards that the services are spread over.
	ServiceShards = 64
	// rulesShard is the bucket of the host rules and retirements.
	rulesShard = ServiceShards
	// MaxHistory is the number of entries in the root; beyond it the older half
	// moves to a page.
	MaxHistory = 64
	// MaxPages is the number of history pages that are kept.
	MaxPages = 32
	// MaxFenced is the number of fenced identities that are kept.
	MaxFenced = 32
	// MaxShardBytes leaves room below the store's limit of a megabyte.
	MaxShardBytes = 1_000_000
)

// Identity names one attempt of a change, uniquely.
type Identity string

// Shard refers to an immutable object.
type Shard struct {
	_      struct{} `cbor:",toarray"`
	Bucket int
	Name   string
	// Digest is the SHA-256 digest of the value.
	Digest []byte
	Size   int
}

// Page refers to a shard with earlier entries of the history.
type Page struct {
	Shard
	From catalog.Version
	To   catalog.Version
}

// Entry is one accepted change.
type Entry struct {
	_        struct{} `cbor:",toarray"`
	Identity Identity
	Version  catalog.Version
	// Base is the version that the change was made from.
	Base  catalog.Version
	Owner string
	// At is the store's time when the change was made.
	At      time.Time
	Summary string
	// Say is who has the say after the change.
	Say catalog.Say
	// Owners are all owners after the change, if the change altered them.
	Owners []catalog.Owner `json:",omitempty"`
	// Previous is the digest of the entry before this one.
	Previous []byte `json:",omitempty"`
	// Content is the digest of the root's content after the change.
	Content []byte
	// Signature is the owner's Ed25519 signature of all the above.
	Signature []byte `json:",omitempty"`
}

// Content is the part of the root that the signature covers.
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
	// Fence counts the updates that changed nothing but the store's version.
	Fence uint64
	// Fenced are identities that can no longer take effect.
	Fenced []Identity `json:",omitempty"`
}

// DecodeRoot returns the root that the value holds.
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

// encode returns the JSON form. The types of this package always have one.
func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}

// Digest returns the digest that an Entry signs.
func (co *Content) Digest() []byte {
	return digestOf(encode(co))
}

// Digest returns the digest that the next Entry links to.
func (en *Entry) Digest() []byte {
	return digestOf(encode(en))
}

// Message returns what the owner signs.
func (en *Entry) Message() []byte {
	unsigned := *en
	unsigned.Signature = nil
	return encode(unsigned)
}

// Last returns the newest entry.
func (ro *Root) Last() (Entry, bool) {
	if len(ro.History) == 0 {
		return Entry{}, false
	}
	return ro.History[len(ro.History)-1], true
}

// clone returns a copy whose lists may be changed.
func (ro *Root) clone() *Root {
	copied := *ro
	copied.Shards = slices.Clone(ro.Shards)
	copied.History = slices.Clone(ro.History)
	copied.Pages = slices.Clone(ro.Pages)
	copied.Fenced = slices.Clone(ro.Fenced)
	return &copied
}

// Shard returns the reference for the bucket.
func (ro *Root) Shard(bucket int) (Shard, bool) {
	for _, sh := range ro.Shards {
		if sh.Bucket == bucket {
			return sh, true
		}
	}
	return Shard{}, false
}

// refersTo reports whether the root refersTo to the object.
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

// Status is what a root says about an attempt.
type Status uint8

// The fates of an attempt.
const (
	// StatusPending says that the attempt may still take effect.
	StatusPending Status = iota
	// StatusAccepted says that the attempt is in the history.
	StatusAccepted
	// StatusAborted says that the attempt can't take effect any more.
	StatusAborted
	// StatusNotRetained says that the history does not reach back far enough.
	StatusNotRetained
	// StatusStoreBehind says that the root is older than the attempt's base: the
	// store lost accepted changes.
	StatusStoreBehind
)

// StatusOf returns what the root's own history says about an attempt that was
// made from the base version.
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

// statusIn looks for the one entry that was made from the base.
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

// pageFor returns the pageFor that holds the entry made from the base.
func (ro *Root) pageFor(base catalog.Version) (Page, bool) {
	for _, pa := range ro.Pages {
		if pa.From.Number <= base.Number+1 && base.Number+1 <= pa.To.Number {
			return pa, true
		}
	}
	return Page{}, false
}

// checkDigest returns an error if the value is not the one referred to.
func (sh Shard) checkDigest(value []byte) error {
	if !bytes.Equal(digestOf(value), sh.Digest) {
		return errors.Errorf("shard %s has another digest than its reference", sh.Name)
	}
	return nil
}
