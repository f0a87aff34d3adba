package cost

import (
	"cmp"
	"math/bits"
	"net/netip"
	"time"
)

const (
	// maxKeys bounds the distributions of one model.
	maxKeys = 64
	// parentWeight is the weight in requests of the next more general distribution in
	// the mean of a kind.
	parentWeight = 3
	// speedHalfLife is the time in which the weight of a request in the host's present
	// speed halves. It is short, as a host that slows down must lose requests within
	// a second or two.
	speedHalfLife = 300 * time.Millisecond
	// speedPrior is the weight of the speed 1, in mean requests, so that a few long
	// requests don't make a host slow.
	speedPrior = 4
	// maxSpeed bounds the factor by which a host is taken to be slower or faster than
	// its distributions say.
	maxSpeed = 10
)

// Key identifies a kind of request.
type Key struct {
	// Route is the address that the caller opened the flow to.
	Route netip.AddrPort
	// First says that the request is the first one of its flow.
	First bool
	// Size is the size class of the request's first data, see SizeClass; AnySize while
	// it is unknown.
	Size uint8
}

// AnySize stands for a request whose data has not arrived.
const AnySize = 0

// SizeClass returns the size class of a number of bytes. A class holds sizes that
// differ by less than a factor of four.
func SizeClass(length int) uint8 { return uint8(1 + bits.Len(uint(max(length, 0)))/2) }

// Model holds what is known of the service times at one host.
type Model struct {
	kinds map[Key]*distribution
	// all is the distribution of all requests.
	all distribution
	// took and expected are the decayed sums, in milliseconds, of the latest service
	// times and of what was expected of them; their ratio is the host's present speed.
	took, expected float64
	speedAt        time.Time
}

// NewModel returns a model that has seen no request.
func NewModel() *Model { return &Model{kinds: make(map[Key]*distribution)} }

// Add adds the service time of a request.
func (mo *Model) Add(now time.Time, key Key, took time.Duration) {
	if took < 0 {
		return
	}
	if mo.Known() {
		factor := decay(mo.speedAt, now, speedHalfLife)
		mo.took = mo.took*factor + milliseconds(took)
		mo.expected = mo.expected*factor + mo.mean(key)
		mo.speedAt = now
	}
	mo.all.add(now, took)
	mo.get(key).add(now, took)
	if general := key.general(); general != key {
		mo.get(general).add(now, took)
	}
}

// general returns the key of all requests of the route that are first ones of their
// flows, or all that aren't.
func (ke Key) general() Key { return Key{Route: ke.Route, First: ke.First} }

// get returns the distribution of the key. A new one takes the place of the one that
// was used least recently if there are maxKeys.
func (mo *Model) get(key Key) *distribution {
	if di, ok := mo.kinds[key]; ok {
		return di
	}
	if len(mo.kinds) >= maxKeys {
		delete(mo.kinds, mo.leastRecent())
	}
	di := &distribution{}
	mo.kinds[key] = di
	return di
}

// leastRecent returns the key that was used least recently, of several the first in the
// order of keys.
func (mo *Model) leastRecent() Key {
	var oldest Key
	var at time.Time
	for key, di := range mo.kinds {
		if at.IsZero() || di.last.Before(at) || di.last.Equal(at) && key.compare(oldest) < 0 {
			oldest, at = key, di.last
		}
	}
	return oldest
}

// compare orders keys.
func (ke Key) compare(other Key) int {
	if order := ke.Route.Compare(other.Route); order != 0 || ke.First == other.First {
		return cmp.Or(order, cmp.Compare(ke.Size, other.Size))
	}
	if ke.First {
		return -1
	}
	return 1
}

// Known reports whether a request was seen.
func (mo *Model) Known() bool { return !mo.all.last.IsZero() }

// Speed returns the factor by which the latest requests took longer than expected.
func (mo *Model) Speed(now time.Time) float64 {
	weight, sum := mo.all.total()
	if weight == 0 || sum == 0 {
		return 1
	}
	prior := speedPrior * sum / weight
	factor := decay(mo.speedAt, now, speedHalfLife)
	return min(max((mo.took*factor+prior)/(mo.expected*factor+prior), 1.0/maxSpeed), maxSpeed)
}

// mean returns the mean of a key in milliseconds, at the speed at which it was learned.
func (mo *Model) mean(key Key) float64 {
	weight, sum := mo.all.total()
	mean := sum / max(weight, priorWeight)
	for _, ke := range [...]Key{key.general(), key} {
		if di, ok := mo.kinds[ke]; ok {
			weight, sum = di.total()
			mean = (sum + parentWeight*mean) / (weight + parentWeight)
		}
		if key == key.general() {
			break
		}
	}
	return mean
}

// Mean returns the expected service time of a request at the host's present speed,
// zero while nothing is known.
func (mo *Model) Mean(now time.Time, key Key) time.Duration {
	return duration(mo.mean(key) * mo.Speed(now))
}

// ServiceMean returns the expected service time of any request at the host's present
// speed, zero while nothing is known.
func (mo *Model) ServiceMean(now time.Time) time.Duration {
	weight, sum := mo.all.total()
	return duration(sum / max(weight, priorWeight) * mo.Speed(now))
}

// Rest returns how long a request that the host has worked on for the age is expected
// to take from now on, at the host's present speed. An age that none has reached yet is
// expected to double.
func (mo *Model) Rest(now time.Time, key Key, age time.Duration) time.Duration {
	speed := mo.Speed(now)
	worked := max(milliseconds(age)/speed, 0)
	rest := max(mo.mean(key), worked)
	weight := float64(priorWeight)
	sum := rest * weight
	for _, ke := range [...]Key{key.general(), key} {
		if di, ok := mo.kinds[ke]; ok {
			above, left := di.above(worked)
			weight += above
			sum += left
		}
		if key == key.general() {
			break
		}
	}
	return duration(sum / weight * speed)
}
