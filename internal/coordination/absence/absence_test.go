package absence

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var began = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

const lifetime = time.Minute

// An agent that claims to know all flows of an older host has the host's open flows reset.
func TestCertainty(t *testing.T) {
	Convey("An agent is certain at the first start of the whole system", t, func() {
		ce := NewCertainty(began, lifetime, true)
		So(ce.Certain(began), ShouldBeTrue)
		ce.EarlierCheckIn(began.Add(-time.Hour))
		So(ce.Certain(began), ShouldBeTrue)
	})
	Convey("An agent that starts beside a host is certain after the host's first check-in only", t, func() {
		for _, it := range []struct {
			sequence uint64
			certain  bool
		}{{1, true}, {0, false}, {2, false}, {40, false}} {
			ce := NewCertainty(began, lifetime, false)
			So(ce.Certain(began), ShouldBeFalse)
			// The clock of the host may be ahead or behind.
			ce.FirstCheckIn(began.Add(-10*time.Second), it.sequence)
			So(ce.Certain(began), ShouldEqual, it.certain)
		}
	})
	Convey("An agent that has run for a flow's lifetime is certain", t, func() {
		ce := NewCertainty(began, lifetime, false)
		So(ce.Certain(began.Add(lifetime-1)), ShouldBeFalse)
		So(ce.Certain(began.Add(lifetime)), ShouldBeTrue)
	})
	Convey("The host's earlier check-ins show that the first check-in was another writer's", t, func() {
		ce := NewCertainty(began, lifetime, false)
		ce.FirstCheckIn(began, 1)
		ce.EarlierCheckIn(began)
		So(ce.Certain(began), ShouldBeTrue)
		ce.EarlierCheckIn(began.Add(-time.Second))
		So(ce.Certain(began), ShouldBeFalse)
	})
	Convey("An agent that has dropped flows is certain again after a flow's lifetime", t, func() {
		ce := NewCertainty(began, lifetime, true)
		ce.Dropped(began.Add(time.Hour))
		So(ce.Certain(began.Add(time.Hour)), ShouldBeFalse)
		So(ce.Certain(began.Add(time.Hour+lifetime)), ShouldBeTrue)
	})
}

func TestAnswer(t *testing.T) {
	Convey("A code of a later build says nothing", t, func() {
		So(ParseAnswer(byte(Absent)), ShouldEqual, Absent)
		So(ParseAnswer(9), ShouldEqual, Unknown)
		So(Answer(9).String(), ShouldEqual, "Unknown")
		So(Possible.String(), ShouldEqual, "Possible")
	})
}

// A set that confuses agents proves an absence that isn't.
func TestProof(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var pr Proof
		want := make(map[uint32]bool)
		for range rapid.IntRange(0, 60).Draw(rt, "steps") {
			agent := rapid.Uint32Range(0, 300).Draw(rt, "agent")
			if rapid.IntRange(0, 3).Draw(rt, "step") == 0 {
				pr.Remove(agent)
				delete(want, agent)
			} else {
				pr.Add(agent)
				want[agent] = true
			}
		}
		for agent := range uint32(400) {
			if pr.Has(agent) != want[agent] {
				rt.Fatalf("agent %d: %v", agent, pr.Has(agent))
			}
		}
		if pr.Len() != len(want) {
			rt.Fatalf("length %d, want %d", pr.Len(), len(want))
		}
		pr.Clear()
		if pr.Len() != 0 {
			rt.Fatalf("length %d after Clear", pr.Len())
		}
	})
}

// The questions of many searches filled the links of small balancers.
func TestBudget(t *testing.T) {
	Convey("Over any time no more than the rate and a burst is taken, and the rate is reached", t, func() {
		rapid.Check(t, func(rt *rapid.T) {
			var bu Budget
			now, taken := began, 0
			size := rapid.IntRange(20, 5000).Draw(rt, "size")
			for now.Before(began.Add(10 * time.Second)) {
				if bu.Open(now) {
					bu.Charge(now, size)
					taken += size
					continue
				}
				next := bu.NextTurn()
				if !next.After(now) {
					rt.Fatalf("next turn not later than %v", now)
				}
				now = next
			}
			if limit := 10*BytesPerSecond + burstBytes + size; taken > limit || taken < 10*BytesPerSecond-burstBytes-size {
				rt.Fatalf("%d bytes in 10 s", taken)
			}
		})
	})
	Convey("Searches that have waited ask together", t, func() {
		var bu Budget
		bu.Charge(began, 2*burstBytes)
		So(bu.Open(began), ShouldBeFalse)
		now := bu.NextTurn()
		So(bu.Open(now.Add(-time.Millisecond)), ShouldBeFalse)
		count := 0
		for bu.Open(now) {
			bu.Charge(now, 1000)
			count++
		}
		So(count, ShouldBeGreaterThan, 10)
	})
}

// A single check-in may be another writer's: all flows that balancers remember at the agent
// would be reset, though its host lives.
func TestRepeatedCertainty(t *testing.T) {
	Convey("A certainty that relies on one check-in is repeated with the next one of the same start", t, func() {
		ce := NewCertainty(began, lifetime, false)
		So(ce.Repeated(began), ShouldBeFalse)
		ce.FirstCheckIn(began, 1)
		So(ce.Certain(began), ShouldBeTrue)
		So(ce.Repeated(began), ShouldBeFalse)
		ce.NextCheckIn(began.Add(time.Second))
		So(ce.Repeated(began), ShouldBeFalse)
		ce.NextCheckIn(began)
		So(ce.Repeated(began), ShouldBeTrue)
		ce.EarlierCheckIn(began.Add(-time.Second))
		So(ce.Repeated(began), ShouldBeFalse)
		So(ce.Repeated(began.Add(lifetime)), ShouldBeTrue)
	})
	Convey("That of an agent which started with the whole system needs none", t, func() {
		ce := NewCertainty(began, lifetime, true)
		So(ce.Repeated(began), ShouldBeTrue)
	})
	Convey("Answers with a reservation are answers of absence", t, func() {
		for an := range answerCount {
			So(an.IsAbsent(), ShouldEqual, an == Absent || an == Reused || an == Provisional)
		}
	})
}
