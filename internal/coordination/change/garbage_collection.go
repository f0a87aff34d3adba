package change

import (
	"slices"
	"strings"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/archive"
)

// MaxDeletions is the largest number of objects that one collection deletes.
const MaxDeletions = 256

// GarbageCollection is the state machine that deletes shards and history pages
// which the root does not refer to.
//
// It reads the root and lists the shards. It then raises the fence of the root,
// on the condition that the store still has the version that it read, and only
// after that deletes the listed shards that this root does not refer to. The
// raised fence fails the root write of every attempt that started from this
// root or an earlier one. An attempt that starts later writes shards under new
// names. So no root can come to refer to a deleted shard, however slowly an
// attempt or a collection proceeds.
//
// Before a shard is deleted it is written again with the same value, on the condition
// of the listed version, and the deletion names the version that this gave. So it spares
// a shard that a Reinstatement has written again since it was listed. It also spares one
// that came back with a restored store: a copy from before the fence holds the shard
// in its former version, and the root of a later copy doesn't refer to it.
type GarbageCollection struct {
	step collectionStep
	// rootVersion is the store's version of the root object that was read.
	rootVersion  uint64
	root         *Root
	unreferenced []archive.Object
	calls        uint64
	waiting      int
	// era is the store's era when the fence was raised. In a later era the store may have
	// come back from a copy without the fence.
	era uint64
	// deletions are the shards about which a call is open, by the call's ID.
	deletions map[uint64]deletion
	removed   int
	finished  bool
}

// collectionStep says which answers a collection waits for.
type collectionStep uint8

const (
	collectionReadRoot collectionStep = iota
	collectionListShards
	collectionWriteFence
	collectionDeleteShards
)

// NewGarbageCollection returns a collection that has not started.
func NewGarbageCollection() *GarbageCollection {
	return &GarbageCollection{deletions: make(map[uint64]deletion)}
}

// Done reports whether the collection has ended.
func (gc *GarbageCollection) Done() bool {
	return gc.finished
}

// Removed returns the number of deletions that the store confirmed.
func (gc *GarbageCollection) Removed() int {
	return gc.removed
}

// Start returns the first call.
func (gc *GarbageCollection) Start(time.Time) []archive.Call {
	return []archive.Call{gc.call(archive.KindGet, archive.Object{Name: RootName})}
}

func (gc *GarbageCollection) call(kind archive.Kind, ob archive.Object) archive.Call {
	gc.calls++
	gc.waiting++
	return archive.Call{ID: gc.calls, Kind: kind, Object: ob}
}

func (gc *GarbageCollection) finish() []archive.Call {
	gc.finished = true
	return nil
}

// Handle takes the answer to one call and returns the next calls.
func (gc *GarbageCollection) Handle(_ time.Time, an archive.Answer) []archive.Call {
	gc.waiting--
	if gc.step == collectionDeleteShards {
		return gc.shardAnswered(an)
	}
	if an.Result != archive.ResultDone {
		return gc.finish()
	}
	switch gc.step {
	case collectionReadRoot:
		return gc.rootRead(an)
	case collectionListShards:
		return gc.shardsListed(an)
	default:
		return gc.fenceWritten(an)
	}
}

func (gc *GarbageCollection) rootRead(an archive.Answer) []archive.Call {
	ro, err := DecodeRoot(an.Object.Value)
	if err != nil {
		return gc.finish()
	}
	gc.root, gc.rootVersion = ro, an.Object.Version
	gc.step = collectionListShards
	return []archive.Call{gc.call(archive.KindList, archive.Object{Name: ShardPrefix})}
}

func (gc *GarbageCollection) shardsListed(an archive.Answer) []archive.Call {
	gc.unreferenced = slices.DeleteFunc(slices.Clone(an.Objects), func(ob archive.Object) bool {
		return !strings.HasPrefix(ob.Name, ShardPrefix) || gc.root.refersTo(ob.Name)
	})
	if len(gc.unreferenced) == 0 {
		return gc.finish()
	}
	gc.unreferenced = gc.unreferenced[:min(len(gc.unreferenced), MaxDeletions)]
	gc.step = collectionWriteFence
	ob := archive.Object{Name: RootName, Version: gc.rootVersion, Value: raiseFence(gc.root).Encode()}
	return []archive.Call{gc.call(archive.KindPut, ob)}
}

// fenceWritten reads the shards to be deleted.
func (gc *GarbageCollection) fenceWritten(an archive.Answer) []archive.Call {
	gc.era = an.Object.Era
	gc.step = collectionDeleteShards
	var calls []archive.Call
	for _, ob := range gc.unreferenced {
		calls = append(calls, gc.call(archive.KindGet, archive.Object{Name: ob.Name}))
		gc.deletions[gc.calls] = deletion{kind: archive.KindGet, listed: ob.Version}
	}
	return calls
}

// deletion is what a collection has done about one shard: the kind of the open call is
// KindGet, KindPut or KindDelete, in this order.
type deletion struct {
	listed uint64
	kind   archive.Kind
}

// shardAnswered goes on with one shard: it writes again what was read, and then deletes
// what was written. A shard for which a call failed, or that has changed, stays, and so
// do all if the store was restored since the fence was raised.
func (gc *GarbageCollection) shardAnswered(an archive.Answer) []archive.Call {
	de := gc.deletions[an.ID]
	delete(gc.deletions, an.ID)
	switch {
	case an.Result != archive.ResultDone:
	case de.kind == archive.KindDelete:
		gc.removed++
	case an.Object.Era != gc.era:
	case de.kind == archive.KindPut:
		return gc.goOn(archive.KindDelete, archive.Object{Name: an.Object.Name, Version: an.Object.Version})
	case an.Object.Version == de.listed:
		return gc.goOn(archive.KindPut, archive.Object{Name: an.Object.Name, Version: de.listed, Value: an.Object.Value})
	}
	if gc.waiting > 0 {
		return nil
	}
	return gc.finish()
}

// goOn returns the next call about a shard.
func (gc *GarbageCollection) goOn(kind archive.Kind, ob archive.Object) []archive.Call {
	ca := gc.call(kind, ob)
	gc.deletions[ca.ID] = deletion{kind: kind}
	return []archive.Call{ca}
}
