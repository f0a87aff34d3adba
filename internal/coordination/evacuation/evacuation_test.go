package evacuation

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var began = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func setAt(era, revision uint64, domains ...string) Set {
	set, _ := NewSet(Origin{Era: era, Revision: revision}, domains)
	return set
}

func address(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 7000)
}

// Entries of the store or of a faulty member must not fill the memory of each process.
func TestNamesAreBounded(t *testing.T) {
	Convey("Empty and long names and those above the limit are refused, the rest is kept", t, func() {
		names := []string{"", strings.Repeat("x", MaxNameLength+1), "b", "a", "b", strings.Repeat("x", MaxNameLength)}
		set, refused := NewSet(Origin{}, names)
		So(set.Domains, ShouldResemble, []string{"a", "b", strings.Repeat("x", MaxNameLength)})
		So(refused, ShouldHaveLength, 2)
		names = nil
		for i := range MaxDomains + 3 {
			names = append(names, fmt.Sprintf("domain-%02d", i))
		}
		set, refused = NewSet(Origin{}, names)
		So(set.Domains, ShouldHaveLength, MaxDomains)
		So(refused, ShouldResemble, names[MaxDomains:])
	})
}

// A set of many long names doesn't fit into one datagram.
func TestPagesInAnyOrderGiveTheSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfN(rapid.StringMatching(`[a-z0-9-]{1,128}`), 0, MaxDomains).Draw(t, "names")
		set, _ := NewSet(Origin{Era: 1, Revision: 5}, names)
		pages := set.Pages()
		if len(pages) > MaxPages {
			t.Fatalf("%d pages", len(pages))
		}
		ke := NewKeeper("a")
		order := rapid.Permutation(pages).Draw(t, "order")
		for i, pa := range order {
			size := 0
			for _, name := range pa.Domains {
				size += 1 + len(name)
			}
			taken, _ := ke.Receive(pa)
			if size > bytesInPage || taken != (i == len(order)-1) {
				t.Fatalf("page %d of %d bytes: taken %v", i, size, taken)
			}
		}
		got, known := ke.Set()
		if !known || len(got.Changed(set)) > 0 || got.Origin != set.Origin {
			t.Fatalf("got %v instead of %v", got, set)
		}
	})
}

// A late or repeated message must not take an evacuation back.
func TestNewerSetReplacesTheOlderOne(t *testing.T) {
	Convey("Sets are ordered by era and then by revision", t, func() {
		ke := NewKeeper("a")
		So(ke.Evacuated("b"), ShouldBeFalse)
		take := func(set Set) (bool, bool) { return ke.Receive(set.Pages()[0]) }
		taken, answer := take(setAt(1, 0))
		So(taken, ShouldBeTrue)
		So(answer, ShouldBeFalse)
		taken, _ = take(setAt(1, 10, "b"))
		So(taken, ShouldBeTrue)
		taken, answer = take(setAt(1, 9))
		So(taken, ShouldBeFalse)
		So(answer, ShouldBeTrue)
		taken, answer = take(setAt(1, 10, "b"))
		So(taken || answer, ShouldBeFalse)
		So(ke.Evacuated("b"), ShouldBeTrue)
		taken, _ = take(setAt(2, 3, "c"))
		So(taken, ShouldBeTrue)
		So(ke.Evacuated("b"), ShouldBeFalse)
	})
	Convey("A late answer of the store doesn't replace a newer set, another history does", t, func() {
		ke := NewKeeper("a")
		ke.Receive(setAt(1, 10, "b").Pages()[0])
		taken, to := ke.Read(began, setAt(1, 8), false, []Member{{Address: address(1), Domain: "a"}})
		So(taken, ShouldBeFalse)
		So(to, ShouldBeEmpty)
		So(ke.Evacuated("b"), ShouldBeTrue)
		taken, _ = ke.Read(began, setAt(0, 8), true, nil)
		So(taken, ShouldBeTrue)
		So(ke.Evacuated("b"), ShouldBeFalse)
	})
}

// Only what an agent of the evacuated domain knows itself is enforced at the last hop, so
// its members are told directly; elsewhere readers tell their own domain.
func TestWhoIsSentAChange(t *testing.T) {
	members := []Member{
		{Address: address(1), Domain: "a", Balancer: true},
		{Address: address(2), Domain: "a"},
		{Address: address(3), Domain: "b", Balancer: true},
		{Address: address(4), Domain: "b", Balancer: true},
		{Address: address(5), Domain: "b"},
		{Address: address(6), Domain: "c", Balancer: true},
		{Address: address(7), Domain: "c"},
	}
	usual := []netip.AddrPort{address(1), address(2), address(3), address(6)}
	Convey("The own domain, a balancer of each other and all of a domain that enters or leaves", t, func() {
		ke := NewKeeper("a")
		_, to := ke.Read(began, setAt(1, 1), false, members)
		So(to, ShouldResemble, usual)
		_, to = ke.Read(began, setAt(1, 5), false, members)
		So(to, ShouldBeEmpty)
		_, to = ke.Read(began, setAt(1, 6, "c"), false, members)
		So(to, ShouldResemble, append(usual[:4:4], address(7)))
		So(ke.Deadline(), ShouldEqual, began.Add(repeatAfter))
		So(ke.Tick(began), ShouldBeEmpty)
		So(ke.Tick(began.Add(repeatAfter)), ShouldResemble, to)
		So(ke.Tick(began.Add(repeatAfter)), ShouldBeEmpty)
		So(ke.Deadline().IsZero(), ShouldBeTrue)
		_, to = ke.Read(began, setAt(1, 7), false, members)
		So(to, ShouldResemble, append(usual[:4:4], address(7)))
	})
	Convey("A reader that was told of the change by another one still tells its domain", t, func() {
		ke := NewKeeper("a")
		ke.Read(began, setAt(1, 1), false, members)
		ke.Receive(setAt(1, 6, "c").Pages()[0])
		taken, to := ke.Read(began, setAt(1, 6, "c"), false, members)
		So(taken, ShouldBeFalse)
		So(to, ShouldResemble, append(usual[:4:4], address(7)))
	})
	Convey("A reader that starts with the set of others and reads the same sends nothing", t, func() {
		ke := NewKeeper("a")
		ke.Receive(setAt(1, 6, "c").Pages()[0])
		_, to := ke.Read(began, setAt(1, 9, "c"), false, members)
		So(to, ShouldBeEmpty)
	})
}
