package spread

import (
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/change"
	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// Phases of the measurements, in virtual time.
const (
	warmUp     = time.Minute
	idleWindow = time.Minute
	// inForceTimeout is how long a change may take to be in force everywhere before
	// it counts as failed.
	inForceTimeout = time.Minute
	settleTime     = 10 * time.Second
)

// IdleCost is the load on the store while nothing changes.
type IdleCost struct {
	Instances           int
	StoreCallsPerSecond float64
}

// MeasureIdle measures the rate of store calls without changes.
func MeasureIdle(op Options) IdleCost {
	fl := New(op)
	fl.Run(warmUp)
	before := fl.Calls.Total()
	fl.Run(idleWindow)
	calls := float64(fl.Calls.Total() - before)
	return IdleCost{Instances: op.Instances, StoreCallsPerSecond: calls / idleWindow.Seconds()}
}

// Rollout holds the duration and the cost of changes that are made one after
// another.
type Rollout struct {
	Instances int
	Changes   int
	// InForce are the times until every instance had a change in force, shortest
	// first; a failed change counts with the timeout.
	InForce []time.Duration
	// BytesPerChangeAndNode is the number of bytes that one change adds to what a
	// node sends without changes; StoreCallsPerChange is the number of store calls
	// that it adds in the whole fleet.
	BytesPerChangeAndNode float64
	StoreCallsPerChange   float64
	// Failed is the number of changes that were not in force everywhere in time.
	Failed int
}

// Median returns the median of InForce, which must not be empty.
func (ro Rollout) Median() time.Duration {
	return ro.InForce[len(ro.InForce)/2]
}

// Worst returns the longest time of InForce, which must not be empty.
func (ro Rollout) Worst() time.Duration {
	return ro.InForce[len(ro.InForce)-1]
}

// MeasureRollout makes changes, waits after each until it is in force everywhere,
// and measures time, traffic and store calls.
func MeasureRollout(op Options, changes int) Rollout {
	fl := New(op)
	fl.Run(warmUp)
	idleBytes, idleCalls := fl.idleRates()
	ro := Rollout{Instances: op.Instances, Changes: changes}
	begin, bytes, calls := fl.Now, fl.BytesSent, fl.Calls.Total()
	for number := range changes {
		fl.Change(AddService(number))
		elapsed, ok := fl.RunUntilInForce(inForceTimeout)
		if !ok {
			ro.Failed++
		}
		ro.InForce = append(ro.InForce, elapsed)
		fl.Run(settleTime)
	}
	slices.Sort(ro.InForce)
	seconds := fl.Now.Sub(begin).Seconds()
	ro.BytesPerChangeAndNode = (float64(fl.BytesSent-bytes) - idleBytes*seconds) / float64(changes*op.Instances)
	ro.StoreCallsPerChange = (float64(fl.Calls.Total()-calls) - idleCalls*seconds) / float64(changes)
	return ro
}

// idleRates returns the bytes and the store calls per second of the whole fleet
// without changes.
func (fl *Fleet) idleRates() (bytes, calls float64) {
	beforeBytes, beforeCalls := fl.BytesSent, fl.Calls.Total()
	fl.Run(idleWindow)
	seconds := idleWindow.Seconds()
	return float64(fl.BytesSent-beforeBytes) / seconds, float64(fl.Calls.Total()-beforeCalls) / seconds
}

// Sustained holds the lag and the load of a fleet under changes at a constant rate.
type Sustained struct {
	ChangesPerSecond float64
	// WorstLag is the longest time after which a change was seen not to be in force
	// everywhere yet; it is sampled once per interval.
	WorstLag time.Duration
	// BytesPerNodeSecond is the number of bytes that a node sends per second.
	BytesPerNodeSecond  float64
	StoreCallsPerSecond float64
}

// MeasureSustained makes changes at a fixed interval, without waiting for them to be
// in force.
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
		everywhere = fl.countInForceEverywhere(order, everywhere, made, &worst)
	}
	window := fl.Now.Sub(begin).Seconds()
	su := Sustained{
		ChangesPerSecond:    float64(changes) / window,
		BytesPerNodeSecond:  float64(fl.BytesSent-bytes) / window / float64(op.Instances),
		StoreCallsPerSecond: float64(fl.Calls.Total()-calls) / window,
	}
	for everywhere < len(order) {
		fl.Run(interval)
		everywhere = fl.countInForceEverywhere(order, everywhere, made, &worst)
	}
	su.WorstLag = worst
	return su
}

// countInForceEverywhere returns how many versions of the order, from the first on,
// are in force everywhere; everywhere is the number known so far. It raises worst to
// the age of the first one that is not, if that is larger.
func (fl *Fleet) countInForceEverywhere(order []catalog.Version, everywhere int, made map[catalog.Version]time.Time, worst *time.Duration) int {
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

// Size holds the encoded sizes of a configuration.
type Size struct {
	// Addresses is the number of addresses asked for; the measured configuration has
	// one more service.
	Addresses int
	// Root is the size of the root in bytes.
	Root int
	// Shards is the number of shards.
	Shards int
	// LargestShard is the size of the largest shard in bytes.
	LargestShard int
	// Total is the size of the root and all shards in bytes.
	Total int
	// Delta is the size in bytes of the delta that adds one more service.
	Delta int
}

// NewWithAddresses returns a fleet of one instance whose configuration has that many
// addresses, rounded down to an even number: two for each service.
func NewWithAddresses(addresses int) *Fleet {
	fl := New(Options{Instances: 1, Domains: 1, Seed: 1})
	var edits []change.Edit
	for number := range addresses / 2 {
		edits = append(edits, AddService(number))
	}
	fl.Change(edits...)
	return fl
}

// MeasureSize returns the encoded sizes of a configuration of that many addresses
// and one more service.
func MeasureSize(addresses int) Size {
	fl := NewWithAddresses(addresses)
	before := fl.ReadState()
	fl.Change(AddService(addresses))
	after := fl.ReadState()
	root := after.Snapshot.Root
	si := Size{Addresses: addresses, Root: len(root.Encode()), Shards: len(root.Shards)}
	si.Total = si.Root
	for _, sh := range root.Shards {
		si.LargestShard = max(si.LargestShard, sh.Size)
		si.Total += sh.Size
	}
	de, ok := change.NewDelta(before, after)
	if !ok {
		panic("create delta: the history does not contain the change before the last")
	}
	encoded, err := de.Encode()
	if err != nil {
		panic(err)
	}
	si.Delta = len(encoded)
	return si
}

// ReadState reads the state in the store directly, unaffected by simulated faults.
// It panics if the read fails.
func (fl *Fleet) ReadState() *change.State {
	read := change.NewSnapshotRead(nil)
	calls := read.Start(fl.Now)
	for len(calls) > 0 {
		ca := calls[0]
		calls = append(calls[1:], read.Handle(fl.Now, fl.execute(ca))...)
	}
	sn, _, err := read.Snapshot()
	if err != nil {
		panic(err)
	}
	st, err := change.NewState(sn)
	if err != nil {
		panic(err)
	}
	return st
}

// SetClass commits one change that replaces the classes of a service, as the command
// SET CLASS does. The number selects the service and the weight.
func (fl *Fleet) SetClass(number int) {
	fl.Change(change.Edit{Summary: "SET CLASS", Apply: func(co *catalog.Configuration) error {
		sv := &co.Services[number%len(co.Services)]
		sv.Classes = []catalog.Class{{Name: "bookings", Weight: uint16(number%catalog.MaxWeight + 1)}}
		return nil
	}})
}
