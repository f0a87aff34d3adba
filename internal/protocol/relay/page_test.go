package relay

import (
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/protocol/message"
	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// largeSnapshot returns a snapshot that needs several pages.
func largeSnapshot() ledger.Snapshot {
	sn := ledger.Snapshot{
		Home:   ledger.Home{Host: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 2},
		Number: 1, Last: 200_000, Floor: 1,
	}
	for se := uint64(1); se <= 150_000; se++ {
		sn.Spent = append(sn.Spent, se)
	}
	for se := uint64(1); se <= 5; se++ {
		sn.Records = append(sn.Records, ledger.Record{Sequence: se, Answer: ledger.Answer{Body: make([]byte, 700_000)}})
	}
	return sn
}

func TestPages(t *testing.T) {
	Convey("Given the pages of a large snapshot", t, func() {
		pages := Split(largeSnapshot())
		So(len(pages), ShouldBeGreaterThan, 3)
		as := NewAssembler()

		Convey("Each page fits into a message and all pages give the snapshot", func() {
			for at, pa := range pages {
				data, err := cbor.Marshal(pa)
				So(err, ShouldBeNil)
				So(len(data), ShouldBeLessThan, message.MaxLength)
				sn, whole, err := as.Add(pa)
				So(err, ShouldBeNil)
				So(whole, ShouldEqual, at == len(pages)-1)
				if whole {
					So(sn.Spent, ShouldResemble, largeSnapshot().Spent)
					So(len(sn.Records), ShouldEqual, 5)
				}
			}
		})

		Convey("A page that does not follow the page before it is refused", func() {
			_, _, err := as.Add(pages[0])
			So(err, ShouldBeNil)
			_, whole, err := as.Add(pages[2])
			So(err, ShouldNotBeNil)
			So(whole, ShouldBeFalse)
		})

		Convey("A page with an index out of range is refused", func() {
			_, _, err := as.Add(Page{Index: 3, Count: 2})
			So(err, ShouldNotBeNil)
		})
	})
}
