package relay

import (
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/protocol/message"
	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// large returns a snapshot that needs several pages.
func large() ledger.Snapshot {
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
		pages := Split(large())
		So(len(pages), ShouldBeGreaterThan, 3)
		bi := NewAssembler()

		Convey("Each fits into a message and all together are the snapshot", func() {
			for at, pa := range pages {
				data, err := cbor.Marshal(pa)
				So(err, ShouldBeNil)
				So(len(data), ShouldBeLessThan, message.MaxLength)
				sn, whole, err := bi.Add(pa)
				So(err, ShouldBeNil)
				So(whole, ShouldEqual, at == len(pages)-1)
				if whole {
					So(sn.Spent, ShouldResemble, large().Spent)
					So(len(sn.Records), ShouldEqual, 5)
				}
			}
		})

		Convey("A missing page makes no snapshot", func() {
			_, _, err := bi.Add(pages[0])
			So(err, ShouldBeNil)
			_, whole, err := bi.Add(pages[2])
			So(err, ShouldNotBeNil)
			So(whole, ShouldBeFalse)
		})

		Convey("A page out of range is refused", func() {
			_, _, err := bi.Add(Page{Index: 3, Count: 2})
			So(err, ShouldNotBeNil)
		})
	})
}
