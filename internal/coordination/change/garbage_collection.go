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
// A deletion is conditional on the listed version of the object, so it spares a
// shard that a Reinstatement has written again since it was listed.
type GarbageCollection struct {
	step collectionStep
	// rootVersion is the store's version of the root object that was read.
	rootVersion  uint64
	root         *Root
	unreferenced []archive.Object
	calls        uint64
	waiting      int
	removed      int
	finished     bool
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
	return &GarbageCollection{}
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
		return gc.shardDeleted(an)
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
		return gc.fenceWritten()
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

func (gc *GarbageCollection) fenceWritten() []archive.Call {
	gc.step = collectionDeleteShards
	var calls []archive.Call
	for _, ob := range gc.unreferenced {
		calls = append(calls, gc.call(archive.KindDelete, ob))
	}
	return calls
}

func (gc *GarbageCollection) shardDeleted(an archive.Answer) []archive.Call {
	if an.Result == archive.ResultDone {
		gc.removed++
	}
	if gc.waiting > 0 {
		return nil
	}
	return gc.finish()
}
