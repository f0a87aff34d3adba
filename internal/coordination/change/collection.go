package change

import (
	"slices"
	"strings"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/archive"
)

// MaxCollected bounds the deletions of one collection.
const MaxCollected = 256

// Collection is the decision core that removes shards which no root refers to.
//
// It reads the root, lists the shards, then raises the fence of the root on the
// condition of the version that it read, and only then deletes the shards that
// this root does not refer to. An attempt based on an earlier version fails its
// own condition because of the fence; a later attempt writes shards of new
// names. So a shard that is deleted was and will be referred to by nobody,
// however slow a writer or a collection is.
type Collection struct {
	step     collectStep
	stored   uint64
	root     *Root
	rubbish  []archive.Object
	calls    uint64
	waiting  int
	removed  int
	finished bool
}

type collectStep uint8

const (
	collectRoot collectStep = iota
	collectList
	collectFence
	collectDelete
)

// NewGarbageCollection returns a collection that has not started.
func NewGarbageCollection() *Collection {
	return &Collection{}
}

// Done reports whether the collection has ended.
func (co *Collection) Done() bool {
	return co.finished
}

// Removed returns the number of shards that were deleted.
func (co *Collection) Removed() int {
	return co.removed
}

// Start returns the first call.
func (co *Collection) Start(time.Time) []archive.Call {
	return []archive.Call{co.call(archive.KindGet, archive.Object{Name: RootName})}
}

func (co *Collection) call(kind archive.Kind, ob archive.Object) archive.Call {
	co.calls++
	co.waiting++
	return archive.Call{ID: co.calls, Kind: kind, Object: ob}
}

func (co *Collection) end() []archive.Call {
	co.finished = true
	return nil
}

// Handle takes the answer to one call and returns the next calls.
func (co *Collection) Handle(_ time.Time, an archive.Answer) []archive.Call {
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
		return co.fenced()
	}
}

func (co *Collection) rootRead(an archive.Answer) []archive.Call {
	ro, err := DecodeRoot(an.Object.Value)
	if err != nil {
		return co.end()
	}
	co.root, co.stored = ro, an.Object.Version
	co.step = collectList
	return []archive.Call{co.call(archive.KindList, archive.Object{Name: ShardPrefix})}
}

func (co *Collection) listed(an archive.Answer) []archive.Call {
	co.rubbish = slices.DeleteFunc(slices.Clone(an.Objects), func(ob archive.Object) bool {
		return !strings.HasPrefix(ob.Name, ShardPrefix) || co.root.refers(ob.Name)
	})
	if len(co.rubbish) == 0 {
		return co.end()
	}
	co.rubbish = co.rubbish[:min(len(co.rubbish), MaxCollected)]
	co.step = collectFence
	ob := archive.Object{Name: RootName, Version: co.stored, Value: fenceRoot(co.root).Encode()}
	return []archive.Call{co.call(archive.KindPut, ob)}
}

func (co *Collection) fenced() []archive.Call {
	co.step = collectDelete
	var calls []archive.Call
	for _, ob := range co.rubbish {
		calls = append(calls, co.call(archive.KindDelete, ob))
	}
	return calls
}

func (co *Collection) deleted(an archive.Answer) []archive.Call {
	if an.Result == archive.ResultDone {
		co.removed++
	}
	if co.waiting > 0 {
		return nil
	}
	return co.end()
}
