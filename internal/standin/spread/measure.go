package spread

import (
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/change"
	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// The times of the measurements.
const (
	warmUp      = time.Minute
	quietWindow = time.Minute
	// forceLimit is when a change that is not in force everywhere is given up.
	forceLimit = time.Minute
	settle     = 10 * time.Second
)

// Quiet is what a fleet costs while nothing changes.
type Quiet struct {
	Instances           int
	StoreCallsPerSecond float64
}

// MeasureQuiet counts the calls to the store without any change.
func MeasureQuiet(op Options) Quiet {
	fl := New(op)
	fl.Run(warmUp)
	before := fl.Calls.Total()
	fl.Run(quietWindow)
	calls := float64(fl.Calls.Total() - before)
	return Quiet{Instances: op.Instances, StoreCallsPerSecond: calls / quietWindow.Seconds()}
}

// Rollout is what changes cost, one after another.
type Rollout struct {
	Instances int
	Changes   int
	// InForce are the times until every instance had the change, shortest first.
	InForce []time.Duration
	// BytesPerChangeAndNode is what one change adds to what a node sends.
	BytesPerChangeAndNode float64
	StoreCallsPerChange   float64
	// Failed counts the changes that did not come into force everywhere.
	Failed int
}

// Median returns the median time to in force everywhere.
func (ro Rollout) Median() time.Duration {
	return ro.InForce[len(ro.InForce)/2]
}

// Worst returns the longest time to in force everywhere.
func (ro Rollout) Worst() time.Duration {
	return ro.InForce[len(ro.InForce)-1]
}

// MeasureRollout makes changes and measures how they spread.
func MeasureRollout(op Options, changes int) Rollout {
	fl := New(op)
	fl.Run(warmUp)
	quietBytes, quietCalls := fl.idle()
	ro := Rollout{Instances: op.Instances, Changes: changes}
	begin, bytes, calls := fl.Now, fl.BytesSent, fl.Calls.Total()
	for number := range changes {
		fl.Change(AddService(number))
		elapsed, ok := fl.RunUntilInForce(forceLimit)
		if !ok {
			ro.Failed++
		}
		ro.InForce = append(ro.InForce, elapsed)
		fl.Run(settle)
	}
	slices.Sort(ro.InForce)
	seconds := fl.Now.Sub(begin).Seconds()
	ro.BytesPerChangeAndNode = (float64(fl.BytesSent-bytes) - quietBytes*seconds) / float64(changes*op.Instances)
	ro.StoreCallsPerChange = (float64(fl.Calls.Total()-calls) - quietCalls*seconds) / float64(changes)
	return ro
}

// idle returns the bytes and store calls a second without changes.
func (fl *Fleet) idle() (bytes, calls float64) {
	beforeBytes, beforeCalls := fl.BytesSent, fl.Calls.Total()
	fl.Run(quietWindow)
	seconds := quietWindow.Seconds()
	return float64(fl.BytesSent-beforeBytes) / seconds, float64(fl.Calls.Total()-beforeCalls) / seconds
}

// Sustained is how a fleet follows a steady stream of changes.
type Sustained struct {
	ChangesPerSecond float64
	// WorstLag is the longest time that an instance was behind a change.
	WorstLag time.Duration
	// BytesPerNodeSecond is what a node sends.
	BytesPerNodeSecond  float64
	StoreCallsPerSecond float64
}

// MeasureSustained makes changes at a fixed interval.
func MeasureSustained(op Options, interval time.Duration, changes int) Sustained {
	fl := New(op)
	fl.Run(warmUp)
	begin, bytes, calls := fl.Now, fl.BytesSent, fl.Calls.Total()
	made := make(map[catalog.Version]time.Time)
	var order []catalog.Version
	var worst time.Duration
	everywhere := 0
	for number := range changes {
		fl.Change(AddService(number))
		version := fl.StoreVersion()
		made[version] = fl.Now
		order = append(order, version)
		fl.Run(interval)
		everywhere = fl.advance(order, everywhere, made, &worst)
	}
	window := fl.Now.Sub(begin).Seconds()
	su := Sustained{
		ChangesPerSecond:    float64(changes) / window,
		BytesPerNodeSecond:  float64(fl.BytesSent-bytes) / window / float64(op.Instances),
		StoreCallsPerSecond: float64(fl.Calls.Total()-calls) / window,
	}
	for everywhere < len(order) {
		fl.Run(interval)
		everywhere = fl.advance(order, everywhere, made, &worst)
	}
	su.WorstLag = worst
	return su
}

// advance notes which versions have come into force everywhere.
func (fl *Fleet) advance(order []catalog.Version, everywhere int, made map[catalog.Version]time.Time, worst *time.Duration) int {
	for everywhere < len(order) {
		current, running := fl.CountInForce(order[everywhere])
		if current < running {
			*worst = max(*worst, fl.Now.Sub(made[order[everywhere]]))
			return everywhere
		}
		everywhere++
	}
	return everywhere
}

// Size is what a configuration of many addresses takes.
type Size struct {
	Addresses int
	Root      int
	Shards    int
	// LargestShard is its size in bytes.
	LargestShard int
	// Total is the size of the root and all shards in bytes.
	Total int
	// Delta is the size of the change that adds one more service.
	Delta int
}

// NewWithAddresses returns a fleet of one instance whose configuration has that many
// addresses, two for each service.
func NewWithAddresses(addresses int) *Fleet {
	fl := New(Options{Instances: 1, Domains: 1, Seed: 1})
	var edits []change.Edit
	for number := range addresses / 2 {
		edits = append(edits, AddService(number))
	}
	fl.Change(edits...)
	return fl
}

// MeasureSize returns the sizes for that many addresses.
func MeasureSize(addresses int) Size {
	fl := NewWithAddresses(addresses)
	before := fl.State()
	fl.Change(AddService(addresses))
	after := fl.State()
	root := after.Snapshot.Root
	si := Size{Addresses: addresses, Root: len(root.Encode()), Shards: len(root.Shards)}
	si.Total = si.Root
	for _, sh := range root.Shards {
		si.LargestShard = max(si.LargestShard, sh.Size)
		si.Total += sh.Size
	}
	de, ok := change.NewDelta(before, after)
	if !ok {
		panic("the history does not reach back one change")
	}
	encoded, err := de.Encode()
	if err != nil {
		panic(err)
	}
	si.Delta = len(encoded)
	return si
}

// State reads the store's version directly.
func (fl *Fleet) State() *change.State {
	reading := change.NewSnapshotRead(nil)
	calls := reading.Start(fl.Now)
	for len(calls) > 0 {
		ca := calls[0]
		calls = append(calls[1:], reading.Handle(fl.Now, fl.execute(ca))...)
	}
	sn, _, err := reading.Snapshot()
	if err != nil {
		panic(err)
	}
	st, err := change.NewState(sn)
	if err != nil {
		panic(err)
	}
	return st
}

// Renew makes one change as a console would, to measure its cost.
func (fl *Fleet) Renew(number int) {
	fl.Change(change.Edit{Summary: "SET CLASS", Apply: func(co *catalog.Configuration) error {
		sv := &co.Services[number%len(co.Services)]
		sv.Classes = []catalog.Class{{Name: "bookings", Weight: uint16(number%catalog.MaxWeight + 1)}}
		return nil
	}})
}
