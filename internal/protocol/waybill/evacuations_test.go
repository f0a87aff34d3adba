package waybill

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"corneltiller.dev/corneltiller/internal/coordination/evacuation"
)

// Former builds refuse kinds that they don't know; the value must not move with other
// branches.
func TestKindsKeepTheirValues(t *testing.T) {
	Convey("The kinds have the values of the page", t, func() {
		So(KindConfirmation, ShouldEqual, 0xCA)
		So([]Kind{KindEvacuations, KindFindHolders, KindHolders, KindEntriesReviewed}, ShouldResemble, []Kind{0xCB, 0xCC, 0xCD, 0xCE})
	})
}

func TestEvacuationsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfN(rapid.StringN(1, -1, evacuation.MaxNameLength), 0, evacuation.MaxDomains).Draw(t, "names")
		origin := evacuation.Origin{Era: rapid.Uint64().Draw(t, "era"), Revision: rapid.Uint64().Draw(t, "revision")}
		set, _ := evacuation.NewSet(origin, names)
		for _, pa := range set.Pages() {
			datagram := AppendEvacuations(nil, pa)
			if len(datagram) > 1100 {
				t.Fatalf("%d bytes", len(datagram))
			}
			got, err := DecodeEvacuations(datagram)
			if err != nil || got.Origin != pa.Origin || got.Index != pa.Index || got.Count != pa.Count ||
				strings.Join(got.Domains, "\x00") != strings.Join(pa.Domains, "\x00") {
				t.Fatalf("got %v, %v instead of %v", got, err, pa)
			}
		}
	})
}

// A truncated or forged message must not crash a process or change its set.
func TestMalformedEvacuationsAreRefused(t *testing.T) {
	Convey("Truncated messages, impossible pages and invalid names are refused", t, func() {
		valid := AppendEvacuations(nil, evacuation.Page{Count: 1, Domains: []string{"mitt-a"}})
		_, err := DecodeEvacuations(valid)
		So(err, ShouldBeNil)
		for length := 1; length < len(valid); length++ {
			if length == evacuationsLength {
				continue
			}
			_, err := DecodeEvacuations(valid[:length])
			So(err, ShouldEqual, ErrMalformed)
		}
		for _, pa := range []evacuation.Page{
			{Count: 0},
			{Index: 1, Count: 1},
			{Count: evacuation.MaxPages + 1},
			{Count: 1, Domains: []string{""}},
			{Count: 1, Domains: []string{strings.Repeat("x", evacuation.MaxNameLength+1)}},
			{Count: 1, Domains: make([]string, evacuation.MaxDomains+1)},
		} {
			_, err := DecodeEvacuations(AppendEvacuations(nil, pa))
			So(err, ShouldEqual, ErrMalformed)
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		datagram := rapid.SliceOfN(rapid.Byte(), 1, 100).Draw(t, "datagram")
		_, _ = DecodeEvacuations(datagram)
	})
}
