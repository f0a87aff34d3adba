package cost

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var (
	began = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
	cheap = Key{Route: netip.MustParseAddrPort("198.18.0.1:443"), First: true}
	dear  = Key{Route: netip.MustParseAddrPort("198.18.0.2:443"), First: true}
)

// within reports whether the duration is within a share of the expected one.
func within(got, want time.Duration, share float64) bool {
	return got >= time.Duration(float64(want)*(1-share)) && got <= time.Duration(float64(want)*(1+share))
}

func TestRoutesOfDifferentCost(t *testing.T) {
	Convey("The mean of a route isn't that of another route at the same host", t, func() {
		mo := NewModel()
		now := began
		So(mo.Known(), ShouldBeFalse)
		So(mo.ServiceMean(now), ShouldEqual, 0)
		for range 300 {
			now = now.Add(20 * time.Millisecond)
			mo.Add(now, cheap, 5*time.Millisecond)
			mo.Add(now, dear, 52*time.Millisecond)
		}
		So(within(mo.Mean(now, cheap), 5*time.Millisecond, 0.2), ShouldBeTrue)
		So(within(mo.Mean(now, dear), 52*time.Millisecond, 0.05), ShouldBeTrue)
		So(within(mo.ServiceMean(now), 28500*time.Microsecond, 0.05), ShouldBeTrue)
	})
	Convey("An unknown kind has the mean of its route, an unknown route that of the host", t, func() {
		mo := NewModel()
		for i := range 100 {
			mo.Add(began.Add(time.Duration(i)*time.Millisecond), dear, 50*time.Millisecond)
		}
		now := began.Add(100 * time.Millisecond)
		large := dear
		large.Size = SizeClass(1000)
		So(within(mo.Mean(now, large), 50*time.Millisecond, 0.05), ShouldBeTrue)
		So(within(mo.Mean(now, cheap), 50*time.Millisecond, 0.05), ShouldBeTrue)
	})
}

func TestRestGrowsWithAgeForAHeavyTail(t *testing.T) {
	Convey("A request that is in progress longer than most is expected to go on for long", t, func() {
		mo := NewModel()
		random := rand.New(rand.NewPCG(1, 1))
		now := began
		for range 2000 {
			now = now.Add(5 * time.Millisecond)
			took := 16 * time.Millisecond
			if random.Float64() < 0.03 {
				took = 140 * time.Millisecond
			}
			mo.Add(now, cheap, took)
		}
		So(mo.Rest(now, cheap, 0), ShouldBeLessThan, 25*time.Millisecond)
		So(mo.Rest(now, cheap, 40*time.Millisecond), ShouldBeGreaterThan, 80*time.Millisecond)
		So(mo.Rest(now, cheap, 100*time.Millisecond), ShouldBeLessThan, 60*time.Millisecond)
		So(mo.Rest(now, cheap, 10*time.Second), ShouldBeGreaterThanOrEqualTo, 5*time.Second)
	})
}

func TestSlowHost(t *testing.T) {
	Convey("A host that becomes three times slower is noticed within a second, and its recovery as well", t, func() {
		mo := NewModel()
		now := began
		add := func(count int, took time.Duration) {
			for range count {
				now = now.Add(20 * time.Millisecond)
				mo.Add(now, cheap, took)
			}
		}
		add(500, 15*time.Millisecond)
		add(50, 45*time.Millisecond)
		So(within(mo.Mean(now, cheap), 45*time.Millisecond, 0.35), ShouldBeTrue)
		add(50, 15*time.Millisecond)
		So(within(mo.Mean(now, cheap), 15*time.Millisecond, 0.35), ShouldBeTrue)
	})
}

func TestModelForgets(t *testing.T) {
	Convey("What was seen six half-lives ago no longer counts", t, func() {
		mo := NewModel()
		for range 100 {
			mo.Add(began, cheap, 200*time.Millisecond)
		}
		now := began.Add(6 * halfLife)
		for range 100 {
			now = now.Add(50 * time.Millisecond)
			mo.Add(now, cheap, 10*time.Millisecond)
		}
		So(within(mo.Mean(now, cheap), 10*time.Millisecond, 0.4), ShouldBeTrue)
	})
}

func TestBoundedMemory(t *testing.T) {
	Convey("A model keeps at most maxKeys distributions, those used last", t, func() {
		mo := NewModel()
		for i := range 1000 {
			key := Key{Route: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443)}
			mo.Add(began.Add(time.Duration(i)*time.Millisecond), key, time.Millisecond)
		}
		So(len(mo.kinds), ShouldEqual, maxKeys)
		_, ok := mo.kinds[Key{Route: netip.MustParseAddrPort("198.18.3.231:443")}]
		So(ok, ShouldBeTrue)
	})
}

func TestFiguresAreFiniteAndPositive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mo := NewModel()
		now := began
		for range rapid.IntRange(0, 50).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Hour)).Draw(t, "gap")))
			took := time.Duration(rapid.Int64Range(-1, int64(time.Hour)).Draw(t, "took"))
			mo.Add(now, Key{First: rapid.Bool().Draw(t, "first"), Size: uint8(rapid.IntRange(0, 3).Draw(t, "size"))}, took)
		}
		age := time.Duration(rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(t, "age"))
		for _, du := range []time.Duration{mo.Mean(now, Key{}), mo.ServiceMean(now), mo.Rest(now, Key{}, age)} {
			if du < 0 || du > 1000*time.Hour {
				t.Fatalf("%v after %v", du, age)
			}
		}
	})
}
