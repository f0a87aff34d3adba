package ledger

import (
	"flag"
	"net/netip"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// start is the time on the agent's clock when a test begins.
var start = time.Unix(1_700_000_000, 0)

// home is the home of the ledger under test.
var home = Home{Host: netip.MustParseAddrPort("127.0.0.1:8443"), Incarnation: 3}

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func TestLedger(t *testing.T) {
	Convey("Given a ledger with an issued ticket", t, func() {
		le := New(home, 5, Limits{Entries: 4, Bytes: 64, Window: 128})
		ti := le.Issue(start)
		answer := Answer{Status: 201, Body: []byte("booked")}

		Convey("It runs once, and repeats get its answer", func() {
			So(le.Open(start, ti, Digest{1}).Verdict, ShouldEqual, VerdictRun)
			So(le.Open(start, ti, Digest{1}).Verdict, ShouldEqual, VerdictWait)
			So(le.Start(ti.Sequence), ShouldBeTrue)
			So(le.Start(ti.Sequence), ShouldBeFalse)
			le.Record(ti.Sequence, answer)
			So(le.Open(start, ti, Digest{1}), ShouldResemble, OpenResult{Verdict: VerdictReplay, Answer: answer})
			So(le.Open(start, ti, Digest{2}).Verdict, ShouldEqual, VerdictMismatch)
		})

		Convey("NotRun is final", func() {
			le.Open(start, ti, Digest{1})
			le.MarkNotRun(ti.Sequence)
			So(le.Open(start, ti, Digest{1}).Verdict, ShouldEqual, VerdictNotRun)
		})

		Convey("An expired ticket that never ran is NotRun, also after the clock went back", func() {
			So(le.Open(start.Add(Lifetime), ti, Digest{1}).Verdict, ShouldEqual, VerdictNotRun)
			So(le.Open(start, ti, Digest{1}).Verdict, ShouldEqual, VerdictNotRun)
		})

		Convey("An expired ticket that ran is Unknown, also after the clock went back", func() {
			le.Open(start, ti, Digest{1})
			le.Start(ti.Sequence)
			le.Record(ti.Sequence, answer)
			So(le.Open(start.Add(Lifetime), ti, Digest{1}).Verdict, ShouldEqual, VerdictUnknown)
			So(le.Open(start, ti, Digest{1}).Verdict, ShouldEqual, VerdictUnknown)
			So(le.Bytes(), ShouldEqual, 0)
		})

		Convey("A ticket outside the window is Unknown", func() {
			for range 1000 {
				le.Issue(start)
			}
			So(le.Open(start, ti, Digest{1}).Verdict, ShouldEqual, VerdictUnknown)
		})

		Convey("Answers beyond the limit are dropped, the oldest first", func() {
			le.Open(start, ti, Digest{1})
			le.Start(ti.Sequence)
			le.Record(ti.Sequence, Answer{Body: make([]byte, 40)})
			other := le.Issue(start)
			le.Open(start, other, Digest{2})
			le.Start(other.Sequence)
			le.Record(other.Sequence, Answer{Body: make([]byte, 40)})
			So(le.Open(start, ti, Digest{1}).Verdict, ShouldEqual, VerdictUnknown)
			So(le.Open(start, other, Digest{2}).Verdict, ShouldEqual, VerdictReplay)
		})

		Convey("A full ledger refuses a ticket, which stays NotRun when there is room again", func() {
			for range 4 {
				le.Open(start, le.Issue(start), Digest{3})
			}
			So(le.Open(start, ti, Digest{1}).Verdict, ShouldEqual, VerdictNotRun)
			le.MarkNotRun(2)
			So(le.Open(start, ti, Digest{1}).Verdict, ShouldEqual, VerdictNotRun)
		})
	})
}

func TestArchive(t *testing.T) {
	Convey("Given the snapshot of a ledger with tickets in every state", t, func() {
		le := New(home, 5, DefaultLimits())
		var ts []Ticket
		for range 5 {
			ts = append(ts, le.Issue(start))
		}
		for _, ti := range ts[1:] {
			le.Open(start, ti, Digest{byte(ti.Sequence)})
		}
		le.Start(ts[2].Sequence)
		le.Start(ts[3].Sequence)
		le.Record(ts[3].Sequence, Answer{Status: 201})
		le.MarkNotRun(ts[4].Sequence)
		ar := NewArchive()
		So(ar.Add(start, le.FreezeAndSnapshot(1)), ShouldBeTrue)
		lookup := func(at int) Verdict { return ar.Lookup(ts[at], Digest{byte(ts[at].Sequence)}).Verdict }

		Convey("Each ticket gets a verdict that stays true whatever its home still does", func() {
			So(lookup(0), ShouldEqual, VerdictNotRun)
			So(lookup(1), ShouldEqual, VerdictUnknown)
			So(lookup(2), ShouldEqual, VerdictUnknown)
			So(lookup(3), ShouldEqual, VerdictReplay)
			So(lookup(4), ShouldEqual, VerdictNotRun)
			So(le.Open(start, ts[0], Digest{}).Verdict, ShouldEqual, VerdictNotRun)
			So(le.Issue(start).Valid(), ShouldBeFalse)
		})

		Convey("A later snapshot replaces it, an earlier one does not", func() {
			le.Record(ts[2].Sequence, Answer{Status: 202})
			So(ar.Add(start, le.FreezeAndSnapshot(2)), ShouldBeTrue)
			So(lookup(2), ShouldEqual, VerdictReplay)
			So(ar.Add(start, le.FreezeAndSnapshot(1)), ShouldBeFalse)
		})

		Convey("Another digest gets no answer, and tickets of other homes are not found", func() {
			So(ar.Lookup(ts[3], Digest{99}).Verdict, ShouldEqual, VerdictMismatch)
			other := ts[3]
			other.Incarnation++
			So(ar.Lookup(other, Digest{}).Verdict, ShouldEqual, VerdictOtherHome)
		})

		Convey("It is forgotten once its tickets have expired", func() {
			ar.RemoveExpired(start.Add(Lifetime))
			So(lookup(3), ShouldEqual, VerdictOtherHome)
		})
	})
}

// TestLedgerRandomly runs random operations on a small ledger while its clock
// jumps. It keeps its own record of which tickets ran and which were refused as
// not run, and fails if the ledger contradicts it.
func TestLedgerRandomly(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		le := New(home, 5, Limits{Entries: 6, Bytes: 100, Window: 64})
		now := start
		var ts []Ticket
		ran, refused, running := map[uint64]int{}, map[uint64]bool{}, map[uint64]bool{}
		pick := func() Ticket {
			if len(ts) == 0 {
				ts = append(ts, le.Issue(now))
			}
			return rapid.SampledFrom(ts).Draw(rt, "ticket")
		}
		rt.Repeat(map[string]func(*rapid.T){
			"Issue": func(*rapid.T) { ts = append(ts, le.Issue(now)) },
			"Clock": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(-400, 400).Draw(rt, "seconds")) * time.Second)
			},
			"Open": func(rt *rapid.T) {
				ti := pick()
				op := le.Open(now, ti, Digest{byte(ti.Sequence)})
				if op.Verdict == VerdictRun && (ran[ti.Sequence] > 0 || refused[ti.Sequence]) {
					rt.Fatalf("ticket %d runs after it ran or was refused", ti.Sequence)
				}
				if op.Verdict == VerdictNotRun {
					if ran[ti.Sequence] > 0 {
						rt.Fatalf("ticket %d ran and is refused as not run", ti.Sequence)
					}
					refused[ti.Sequence] = true
				}
				if op.Verdict == VerdictReplay && op.Answer.Status != int(ti.Sequence) {
					rt.Fatalf("ticket %d got the answer of %d", ti.Sequence, op.Answer.Status)
				}
			},
			"Start": func(rt *rapid.T) {
				ti := pick()
				if !le.Start(ti.Sequence) {
					return
				}
				ran[ti.Sequence]++
				running[ti.Sequence] = true
				if ran[ti.Sequence] > 1 || refused[ti.Sequence] {
					rt.Fatalf("ticket %d started %d times, refused %v", ti.Sequence, ran[ti.Sequence], refused[ti.Sequence])
				}
			},
			"Record": func(*rapid.T) {
				ti := pick()
				le.Record(ti.Sequence, Answer{Status: int(ti.Sequence), Body: make([]byte, 30)})
				delete(running, ti.Sequence)
			},
			"MarkUnknown": func(*rapid.T) {
				ti := pick()
				le.MarkUnknown(ti.Sequence)
				delete(running, ti.Sequence)
			},
			"Refuse": func(*rapid.T) {
				ti := pick()
				if !running[ti.Sequence] {
					le.MarkNotRun(ti.Sequence)
				}
			},
			"Archive": func(rt *rapid.T) {
				if rapid.IntRange(0, 9).Draw(rt, "freeze") > 0 {
					return
				}
				sn := le.FreezeAndSnapshot(1)
				for _, ti := range ts {
					verdict := sn.lookup(ti.Sequence, Digest{byte(ti.Sequence)}).Verdict
					if verdict == VerdictNotRun {
						refused[ti.Sequence] = true
						if ran[ti.Sequence] > 0 {
							rt.Fatalf("ticket %d ran and its snapshot says not run", ti.Sequence)
						}
					}
				}
			},
		})
	})
}

func BenchmarkTicketBytes(b *testing.B) {
	le := New(home, 5, Limits{Entries: 1 << 20, Bytes: 1 << 30, Window: 1 << 20})
	b.ReportAllocs()
	for b.Loop() {
		ti := le.Issue(start)
		le.Open(start, ti, Digest{1})
		le.Start(ti.Sequence)
		le.Record(ti.Sequence, Answer{Status: 201})
	}
}
