package change

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// Rules is the value of the shard with the host rules and the retired
// addresses.
type Rules struct {
	Rules   []catalog.HostRule   `json:",omitempty"`
	Retired []catalog.Retirement `json:",omitempty"`
}

// ShardValue is the value of one shard, or of a history page to be written,
// under its name in the store.
type ShardValue struct {
	Name  string
	Bytes []byte
}

// Snapshot is a root together with the values of its shards. An instance needs
// no more to apply the version, to pass it on to an instance that lacks it, and
// to restore the version in a store that holds an older one.
type Snapshot struct {
	Root   *Root
	Values []ShardValue
}

// value returns the value of the named shard, false if the snapshot lacks it.
func (sn *Snapshot) value(name string) ([]byte, bool) {
	for _, va := range sn.Values {
		if va.Name == name {
			return va.Bytes, true
		}
	}
	return nil, false
}

// Missing returns the shards of the root whose values the snapshot lacks.
func (sn *Snapshot) Missing() []Shard {
	var missing []Shard
	for _, sh := range sn.Root.Shards {
		if _, ok := sn.value(sh.Name); !ok {
			missing = append(missing, sh)
		}
	}
	return missing
}

// Configuration decodes the configuration from the root and the shards. It
// returns an error if a shard is missing, doesn't match its digest or can't be
// decoded.
func (sn *Snapshot) Configuration() (*catalog.Configuration, error) {
	ro := sn.Root
	co := &catalog.Configuration{
		Version:     ro.Version,
		Say:         ro.Say,
		Owners:      ro.Owners,
		Calendar:    ro.Calendar,
		NextService: ro.NextService,
	}
	for _, sh := range ro.Shards {
		value, ok := sn.value(sh.Name)
		if !ok {
			return nil, errors.Errorf("shard %s is missing", sh.Name)
		}
		if err := sh.checkDigest(value); err != nil {
			return nil, err
		}
		if err := decodeShard(co, sh, value); err != nil {
			return nil, err
		}
	}
	slices.SortFunc(co.Services, func(a, b catalog.Service) int {
		return cmp.Compare(a.ID, b.ID)
	})
	return co, nil
}

func decodeShard(co *catalog.Configuration, sh Shard, value []byte) error {
	if sh.Bucket == rulesBucket {
		var ru Rules
		if err := json.Unmarshal(value, &ru); err != nil {
			return errors.Wrapf(err, "decode shard %s", sh.Name)
		}
		co.Rules, co.Retired = ru.Rules, ru.Retired
		return nil
	}
	var services []catalog.Service
	if err := json.Unmarshal(value, &services); err != nil {
		return errors.Wrapf(err, "decode shard %s", sh.Name)
	}
	co.Services = append(co.Services, services...)
	return nil
}

// serviceBucket returns the bucket that holds the service.
func serviceBucket(id register.ServiceID) int {
	return int(id) % ServiceBuckets
}

// encodeShards returns the shard value of each bucket, nil for an empty bucket.
func encodeShards(co *catalog.Configuration) [rulesBucket + 1][]byte {
	var values [rulesBucket + 1][]byte
	var buckets [ServiceBuckets][]catalog.Service
	for _, sv := range co.Services {
		bu := serviceBucket(sv.ID)
		buckets[bu] = append(buckets[bu], sv)
	}
	for bu, services := range buckets {
		if len(services) > 0 {
			values[bu] = encode(services)
		}
	}
	if len(co.Rules) > 0 || len(co.Retired) > 0 {
		values[rulesBucket] = encode(Rules{Rules: co.Rules, Retired: co.Retired})
	}
	return values
}

// buildContent returns the root's content for the configuration and the shards
// to be written. Shards that did not change keep their references; the others
// get names that contain the identity. It returns catalog.ErrLimit for a shard
// of more than MaxShardBytes.
func buildContent(before *Root, after *catalog.Configuration, identity Identity) (Content, []ShardValue, error) {
	content := Content{
		Version:     after.Version,
		Say:         after.Say,
		Owners:      after.Owners,
		Calendar:    after.Calendar,
		NextService: after.NextService,
	}
	var newShards []ShardValue
	for bu, value := range encodeShards(after) {
		if value == nil {
			continue
		}
		if len(value) > MaxShardBytes {
			return content, nil, errors.Wrapf(catalog.ErrLimit, "shard %d takes %d bytes, at most %d are allowed", bu, len(value), MaxShardBytes)
		}
		digest := digestOf(value)
		sh, known := before.Shard(bu)
		if !known || !bytes.Equal(sh.Digest, digest) {
			sh = Shard{Bucket: bu, Name: shardName(bu, identity), Digest: digest, Size: len(value)}
			newShards = append(newShards, ShardValue{Name: sh.Name, Bytes: value})
		}
		content.Shards = append(content.Shards, sh)
	}
	return content, newShards, nil
}

func shardName(bucket int, identity Identity) string {
	return fmt.Sprintf("%s%d-%s", ShardPrefix, bucket, identity)
}

// appendEntry appends the entry to the history. If the history then has more
// than MaxHistory entries, the oldest MaxHistory/2 move to a new page, whose
// value is returned and must be written before the root.
func (ro *Root) appendEntry(en Entry) []ShardValue {
	ro.History = append(ro.History, en)
	if len(ro.History) <= MaxHistory {
		return nil
	}
	old := ro.History[:MaxHistory/2]
	ro.History = slices.Clone(ro.History[MaxHistory/2:])
	value := encode(old)
	pa := Page{
		Shard: Shard{Name: ShardPrefix + "history-" + string(en.Identity), Digest: digestOf(value), Size: len(value)},
		From:  old[0].Version,
		To:    old[len(old)-1].Version,
	}
	ro.Pages = append(ro.Pages, pa)
	if len(ro.Pages) > MaxPages {
		ro.Pages = slices.Clone(ro.Pages[len(ro.Pages)-MaxPages:])
	}
	return []ShardValue{{Name: pa.Name, Bytes: value}}
}

// Trim removes the values that the root does not refer to.
func (sn *Snapshot) Trim() {
	sn.Values = slices.DeleteFunc(sn.Values, func(va ShardValue) bool { return !sn.Root.refersTo(va.Name) })
}
