package change

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// State is an accepted version of the configuration as an instance holds it,
// both as stored and decoded.
type State struct {
	Snapshot      *Snapshot
	Configuration *catalog.Configuration
}

// NewState decodes the snapshot and checks the digests of its shards.
func NewState(sn *Snapshot) (*State, error) {
	decoded, err := sn.Configuration()
	if err != nil {
		return nil, err
	}
	return &State{Snapshot: sn, Configuration: decoded}, nil
}

// Version returns the version of the configuration, zero for a nil State.
func (st *State) Version() catalog.Version {
	if st == nil {
		return catalog.Version{}
	}
	return st.Configuration.Version
}

// Delta is the difference between two versions, which instances send each
// other. It applies to every version from From, inclusive, to To, exclusive.
type Delta struct {
	_ struct{} `cbor:",toarray"`
	// From is the version that the delta was made from.
	From catalog.Version
	// Entries are the history entries after From, the oldest first. There is at
	// least one.
	Entries []Entry
	// Calendar replaces the calendar if CalendarChanged is true.
	CalendarChanged bool
	Calendar        []catalog.Turn
	NextService     register.ServiceID
	// Shards replace the references of their buckets. The buckets in
	// EmptiedBuckets have no shard any more.
	Shards         []Shard
	EmptiedBuckets []int
	// Services are the services that are new or changed. They replace those of
	// the same ID; the services in Removed are deleted.
	Services []catalog.Service
	Removed  []register.ServiceID
	// Rules replace the host rules and retirements, unless nil.
	Rules *Rules
}

// deltaEncoding encodes times to the nanosecond in UTC. A time that lost
// precision would change the digests and signatures that cover it.
var deltaEncoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Encode returns the delta as CBOR (RFC 8949).
func (de *Delta) Encode() ([]byte, error) {
	encoded, err := deltaEncoding.Marshal(de)
	return encoded, err
}

// DecodeDelta decodes a delta from CBOR. It returns an error for a delta
// without entries.
func DecodeDelta(encoded []byte) (*Delta, error) {
	var de Delta
	if err := cbor.Unmarshal(encoded, &de); err != nil {
		return nil, errors.Wrap(err, "decode delta")
	}
	if len(de.Entries) == 0 {
		return nil, errors.New("delta has no entries")
	}
	return &de, nil
}

// To returns the version that the delta leads to, that of its last entry.
func (de *Delta) To() catalog.Version {
	return de.Entries[len(de.Entries)-1].Version
}

// NewDelta returns the difference between two states, false if the version of
// after is not newer, or if its history does not reach back to before or
// contradicts it.
func NewDelta(before, after *State) (*Delta, bool) {
	entries, err := after.Snapshot.Root.entriesSince(before.Snapshot.Root)
	if err != nil || len(entries) == 0 {
		return nil, false
	}
	earlier, later := before.Configuration, after.Configuration
	de := &Delta{From: earlier.Version, Entries: entries, NextService: later.NextService}
	if !bytes.Equal(encode(earlier.Calendar), encode(later.Calendar)) {
		de.CalendarChanged, de.Calendar = true, later.Calendar
	}
	for bu := range rulesBucket + 1 {
		old, had := before.Snapshot.Root.Shard(bu)
		sh, has := after.Snapshot.Root.Shard(bu)
		switch {
		case has && (!had || !bytes.Equal(old.Digest, sh.Digest)):
			de.Shards = append(de.Shards, sh)
			de.addBucket(bu, earlier, later)
		case had && !has:
			de.EmptiedBuckets = append(de.EmptiedBuckets, bu)
			de.addBucket(bu, earlier, later)
		}
	}
	return de, true
}

// addBucket adds the rules or the changed and removed services of one bucket.
func (de *Delta) addBucket(bucket int, earlier, later *catalog.Configuration) {
	if bucket == rulesBucket {
		de.Rules = &Rules{Rules: later.Rules, Retired: later.Retired}
		return
	}
	for _, sv := range later.Services {
		if serviceBucket(sv.ID) != bucket {
			continue
		}
		old, known := earlier.ServiceByID(sv.ID)
		if !known || !bytes.Equal(encode(old), encode(sv)) {
			de.Services = append(de.Services, sv)
		}
	}
	for _, sv := range earlier.Services {
		if serviceBucket(sv.ID) != bucket {
			continue
		}
		if _, still := later.ServiceByID(sv.ID); !still {
			de.Removed = append(de.Removed, sv.ID)
		}
	}
}

// ErrDeltaMismatch says that the version is outside the range that the delta
// applies to.
var ErrDeltaMismatch = errors.New("delta does not apply to this version")

// Apply returns the state after the delta; the receiver stays as it is. It
// returns ErrDeltaMismatch if the delta does not apply to the version, and an
// error if a digest or signature does not match.
func (st *State) Apply(de *Delta) (*State, error) {
	if st.Version().Less(de.From) || !st.Version().Less(de.To()) {
		return nil, errors.Wrapf(ErrDeltaMismatch, "from %s to %s, have %s", de.From, de.To(), st.Version())
	}
	decoded := st.patchConfiguration(de)
	ro, err := st.nextRoot(de, decoded)
	if err != nil {
		return nil, err
	}
	sn := &Snapshot{Root: ro, Values: slices.Clone(st.Snapshot.Values)}
	for _, sh := range de.Shards {
		value := encodeBucket(decoded, sh.Bucket)
		if err := sh.checkDigest(value); err != nil {
			return nil, err
		}
		sn.Values = append(sn.Values, ShardValue{Name: sh.Name, Bytes: value})
	}
	sn.Trim()
	return &State{Snapshot: sn, Configuration: decoded}, nil
}

// patchConfiguration returns a copy of the configuration with the delta
// applied, unverified.
func (st *State) patchConfiguration(de *Delta) *catalog.Configuration {
	last := de.Entries[len(de.Entries)-1]
	decoded := *st.Configuration
	decoded.Version, decoded.Say, decoded.NextService = last.Version, last.Say, de.NextService
	if de.CalendarChanged {
		decoded.Calendar = de.Calendar
	}
	for _, en := range de.Entries {
		if en.Owners != nil && st.Version().Less(en.Version) {
			decoded.Owners = en.Owners
		}
	}
	if de.Rules != nil {
		decoded.Rules, decoded.Retired = de.Rules.Rules, de.Rules.Retired
	}
	decoded.Services = slices.Clone(decoded.Services)
	for _, id := range de.Removed {
		if at, found := findService(decoded.Services, id); found {
			decoded.Services = slices.Delete(decoded.Services, at, at+1)
		}
	}
	for _, sv := range de.Services {
		at, found := findService(decoded.Services, sv.ID)
		if found {
			decoded.Services[at] = sv
			continue
		}
		decoded.Services = slices.Insert(decoded.Services, at, sv)
	}
	return &decoded
}

func findService(services []catalog.Service, id register.ServiceID) (int, bool) {
	return slices.BinarySearchFunc(services, id, func(sv catalog.Service, id register.ServiceID) int {
		return cmp.Compare(sv.ID, id)
	})
}

// encodeBucket returns the shard value of one bucket.
func encodeBucket(co *catalog.Configuration, bucket int) []byte {
	if bucket == rulesBucket {
		return encode(Rules{Rules: co.Rules, Retired: co.Retired})
	}
	var services []catalog.Service
	for _, sv := range co.Services {
		if serviceBucket(sv.ID) == bucket {
			services = append(services, sv)
		}
	}
	return encode(services)
}

// nextRoot returns the root after the delta, with the newest MaxHistory entries
// and the present root's history pages. It returns an error unless the root verifiably
// continues the present one.
func (st *State) nextRoot(de *Delta, decoded *catalog.Configuration) (*Root, error) {
	ro := st.Snapshot.Root.clone()
	ro.Content = Content{
		Version:     decoded.Version,
		Say:         decoded.Say,
		Owners:      decoded.Owners,
		Calendar:    decoded.Calendar,
		NextService: decoded.NextService,
		Shards:      replaceShards(ro.Shards, de),
	}
	for _, en := range de.Entries {
		if st.Version().Less(en.Version) {
			ro.History = append(ro.History, en)
		}
	}
	if len(ro.History) > MaxHistory {
		ro.History = slices.Clone(ro.History[len(ro.History)-MaxHistory:])
	}
	if err := ro.Verify(st.Snapshot.Root, nil); err != nil {
		return nil, err
	}
	return ro, nil
}

// replaceShards returns the references after the delta, in the order of their
// buckets. It changes the given slice in place.
func replaceShards(shards []Shard, de *Delta) []Shard {
	replaced := func(sh Shard) bool {
		sameBucket := func(other Shard) bool { return other.Bucket == sh.Bucket }
		return slices.Contains(de.EmptiedBuckets, sh.Bucket) || slices.ContainsFunc(de.Shards, sameBucket)
	}
	shards = slices.DeleteFunc(shards, replaced)
	shards = append(shards, de.Shards...)
	slices.SortFunc(shards, func(a, b Shard) int { return cmp.Compare(a.Bucket, b.Bucket) })
	return shards
}

// digestOf returns the SHA-256 digest of the value.
func digestOf(value []byte) []byte {
	digest := sha256.Sum256(value)
	return digest[:]
}
