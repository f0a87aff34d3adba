package change

import (
	"slices"
	"strings"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/archive"
)

// MaxDeletions bounds the deletions of one collection.
const MaxDeletions = 256

// GarbageCollection is the decision core that removes shards which no root refers to.
//
// It reads the root, lists the shards, then raises the fence of the root on the
// condition of the version that it read, and only then deletes the shards that
// this root does not refer to. An attempt based on an earlier version fails its
// own condition because of the fence; a later attempt writes shards of new
// names. So a shard that is deleted was and will be referred to by nobody,
// however slow a writer or a collection is.
type GarbageCollection struct {
	step     collectionStep
	rootVersion   uint64
	root     *Root
	unreferenced  []archive.Object
	calls    uint64
	waiting  int
	removed  int
	finished bool
}

type collectionStep uint8

const (
	collectRoot collectionStep = iota
	collectList
	collectFence
	collectDelete
)

// NewGarbageCollection returns a collection that has not started.
func NewGarbageCollection() *GarbageCollection {
	return &GarbageCollection{}
}

// Done reports whether the collection has ended.
func (co *GarbageCollection) Done() bool {
	return co.finished
}

// Removed returns the number of shards that were deleted.
func (co *GarbageCollection) Removed() int {
	return co.removed
}

// Start returns the first call.
func (co *GarbageCollection) Start(time.Time) []archive.Call {
	return []archive.Call{co.call(archive.KindGet, archive.Object{Name: RootName})}
}

func (co *GarbageCollection) call(kind archive.Kind, ob archive.Object) archive.Call {
	co.calls++
	co.waiting++
	return archive.Call{ID: co.calls, Kind: kind, Object: ob}
}

func (co *GarbageCollection) end() []archive.Call {
	co.finished = true
	return nil
}

// Handle takes the answer to one call and returns the next calls.
func (co *GarbageCollection) Handle(_ time.Time, an archive.Answer) []archive.Call {
	co.waiting--
	if co.step == collectDelete {
		return co.deleted(an)
	}
	if an.Result != archive.ResultDone {
		return co.end()
	}
	switch co.step {
	case collectRoot:
		return co.rootRead(an)
	case collectList:
		return co.listed(an)
	default:
		return co.fenceWritten()
	}
}

func (co *GarbageCollection) rootRead(an archive.Answer) []archive.Call {
	ro, err := DecodeRoot(an.Object.Value)
	if err != nil {
		return co.end()
	}
	co.root, co.rootVersion = ro, an.Object.Version
	co.step = collectList
	return []archive.Call{co.call(archive.KindList, archive.Object{Name: ShardPrefix})}
}

func (co *GarbageCollection) listed(an archive.Answer) []archive.Call {
	co.unreferenced = slices.DeleteFunc(slices.Clone(an.Objects), func(ob archive.Object) bool {
		return !strings.HasPrefix(ob.Name, ShardPrefix) || co.root.refersTo(ob.Name)
	})
	if len(co.unreferenced) == 0 {
		return co.end()
	}
	co.unreferenced = co.unreferenced[:min(len(co.unreferenced), MaxDeletions)]
	co.step = collectFence
	ob := archive.Object{Name: RootName, Version: co.rootVersion, Value: raiseFence(co.root).Encode()}
	return []archive.Call{co.call(archive.KindPut, ob)}
}

func (co *GarbageCollection) fenceWritten() []archive.Call {
	co.step = collectDelete
	var calls []archive.Call
	for _, ob := range co.unreferenced {
		calls = append(calls, co.call(archive.KindDelete, ob))
	}
	return calls
}

func (co *GarbageCollection) deleted(an archive.Answer) []archive.Call {
	if an.Result == archive.ResultDone {
		co.removed++
	}
	if co.waiting > 0 {
		return nil
	}
	return co.end()
}
