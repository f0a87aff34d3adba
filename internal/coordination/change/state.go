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

// State is an accepted version as an instance holds it.
type State struct {
	Snapshot      *Snapshot
	Configuration *catalog.Configuration
}

// NewState decodes the snapshot and checks its digests.
func NewState(sn *Snapshot) (*State, error) {
	decoded, err := sn.Configuration()
	if err != nil {
		return nil, err
	}
	return &State{Snapshot: sn, Configuration: decoded}, nil
}

// Version returns the version, zero for a nil State.
func (st *State) Version() catalog.Version {
	if st == nil {
		return catalog.Version{}
	}
	return st.Configuration.Version
}

// Delta is what changed between two versions, to be spread among instances. It
// applies to every version from From up to, but without, that of its last
// entry.
type Delta struct {
	_       struct{} `cbor:",toarray"`
	From    catalog.Version
	Entries []Entry
	// Calendar replaces the calendar if CalendarChanged is true.
	CalendarChanged       bool
	Calendar    []catalog.Turn
	NextService register.ServiceID
	// Shards replace the references of their buckets; Emptied have none left.
	Shards  []Shard
	EmptiedBuckets []int
	// Services replace those of the same number.
	Services []catalog.Service
	Removed  []register.ServiceID
	Rules    *Rules
}

// deltaEncoding keeps times exact, so that digests match.
var deltaEncoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Encode returns the CBOR form (RFC 8949).
func (de *Delta) Encode() ([]byte, error) {
	encoded, err := deltaEncoding.Marshal(de)
	return encoded, err
}

// DecodeDelta returns the delta that the bytes hold.
func DecodeDelta(encoded []byte) (*Delta, error) {
	var de Delta
	if err := cbor.Unmarshal(encoded, &de); err != nil {
		return nil, errors.Wrap(err, "decode delta")
	}
	if len(de.Entries) == 0 {
		return nil, errors.New("delta without an entry")
	}
	return &de, nil
}

// To returns the version that the delta leads to.
func (de *Delta) To() catalog.Version {
	return de.Entries[len(de.Entries)-1].Version
}

// NewDelta returns what changed between two states, false if the history of the
// later one does not reach back to the earlier one.
func NewDelta(before, after *State) (*Delta, bool) {
	entries, err := after.Snapshot.Root.entriesSince(before.Snapshot.Root)
	if err != nil || len(entries) == 0 {
		return nil, false
	}
	was, is := before.Configuration, after.Configuration
	de := &Delta{From: was.Version, Entries: entries, NextService: is.NextService}
	if !bytes.Equal(encode(was.Calendar), encode(is.Calendar)) {
		de.CalendarChanged, de.Calendar = true, is.Calendar
	}
	for bu := range rulesShard + 1 {
		old, had := before.Snapshot.Root.Shard(bu)
		sh, has := after.Snapshot.Root.Shard(bu)
		switch {
		case has && (!had || !bytes.Equal(old.Digest, sh.Digest)):
			de.Shards = append(de.Shards, sh)
			de.addBucket(bu, was, is)
		case had && !has:
			de.EmptiedBuckets = append(de.EmptiedBuckets, bu)
			de.addBucket(bu, was, is)
		}
	}
	return de, true
}

// addBucket adds what changed in one bucket.
func (de *Delta) addBucket(bucket int, was, is *catalog.Configuration) {
	if bucket == rulesShard {
		de.Rules = &Rules{Rules: is.Rules, Retired: is.Retired}
		return
	}
	for _, sv := range is.Services {
		if serviceBucket(sv.ID) != bucket {
			continue
		}
		old, known := was.ServiceByID(sv.ID)
		if !known || !bytes.Equal(encode(old), encode(sv)) {
			de.Services = append(de.Services, sv)
		}
	}
	for _, sv := range was.Services {
		if serviceBucket(sv.ID) != bucket {
			continue
		}
		if _, still := is.ServiceByID(sv.ID); !still {
			de.Removed = append(de.Removed, sv.ID)
		}
	}
}

// ErrDeltaMismatch says that a delta does not apply to the version.
var ErrDeltaMismatch = errors.New("delta does not apply to this version")

// Apply returns the state after the delta. Digests and signatures are checked;
// the given state stays as it is.
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

// patchConfiguration returns the configuration after the delta.
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

// encodeBucket returns the value of one shard.
func encodeBucket(co *catalog.Configuration, bucket int) []byte {
	if bucket == rulesShard {
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

// nextRoot returns the root after the delta, verified.
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

// replaceShards returns the references in the order of their buckets.
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
