package waybill

import (
	"net/netip"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/absence"
	"corneltiller.dev/corneltiller/internal/coordination/carriage"
)

// sampleQuestions returns as many questions as fit into one message.
func sampleQuestions() []carriage.Question {
	var list []carriage.Question
	for i := range carriage.MaxQuestions {
		qu := carriage.Question{Flow: sampleFlow, Acknowledged: 0xfedcba98 + uint32(i)}
		qu.Flow.Caller = netip.AddrPortFrom(qu.Flow.Caller.Addr(), uint16(40000+i))
		list = append(list, qu)
	}
	return list
}

// An answer that is attributed to another flow resets that flow.
func TestHoldersRoundTrip(t *testing.T) {
	Convey("Decoding returns the encoded questions and answers, in their order", t, func() {
		list := sampleQuestions()
		data := AppendFindHolders(nil, 0xa1b2c3d4, list)
		So(len(data), ShouldEqual, 6+16*carriage.MaxQuestions)
		number, back, err := DecodeFindHolders(data)
		So(err, ShouldBeNil)
		So(number, ShouldEqual, uint32(0xa1b2c3d4))
		So(back, ShouldResemble, list)

		want := []absence.Answer{absence.Held, absence.Possible, absence.Absent, absence.Unlikely, absence.Unknown}
		number, answers, err := DecodeHolders(AppendHolders(nil, 7, want))
		So(err, ShouldBeNil)
		So(number, ShouldEqual, uint32(7))
		So(answers, ShouldResemble, want)
	})
	Convey("A question to one agent carries a number that a former build ignores", t, func() {
		want := carriage.FindRequest{Flow: sampleFlow, Acknowledged: 5, Possible: true, Number: 9}
		data := AppendFindHolder(nil, want)
		fr, err := DecodeFindHolder(data)
		So(err, ShouldBeNil)
		So(fr, ShouldResemble, want)
		want.Number = 0
		So(string(data[:len(data)-4]), ShouldEqual, string(AppendFindHolder(nil, want)))
	})
	Convey("Messages that are cut off, empty or too long are refused", t, func() {
		data := AppendFindHolders(nil, 1, sampleQuestions()[:2])
		for length := 1; length < len(data); length++ {
			_, _, err := DecodeFindHolders(data[:length])
			So(err, ShouldNotBeNil)
		}
		data = AppendHolders(nil, 1, []absence.Answer{absence.Absent, absence.Absent})
		for length := 1; length < len(data); length++ {
			_, _, err := DecodeHolders(data[:length])
			So(err, ShouldNotBeNil)
		}
		_, _, err := DecodeHolders(AppendHolders(nil, 1, nil))
		So(err, ShouldNotBeNil)
		_, _, err = DecodeHolders(AppendHolders(nil, 1, make([]absence.Answer, carriage.MaxQuestions+1)))
		So(err, ShouldNotBeNil)
	})
	Convey("The kinds keep their values", t, func() {
		So(KindConfirmation, ShouldEqual, Kind(0xCA))
		So([]Kind{KindEvacuations, KindFindHolders, KindHolders, KindEntriesReviewed}, ShouldResemble, []Kind{0xCB, 0xCC, 0xCD, 0xCE})
	})
}
