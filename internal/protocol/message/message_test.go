package message

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestMessage(t *testing.T) {
	convey.Convey("A message", t, func() {
		convey.Convey("is decoded with its exchange number and its body", func() {
			msg, err := New(KindFailure, Failure{Step: "relay", Reason: "host gone"})
			convey.So(err, convey.ShouldBeNil)
			msg.Exchange = 12
			data, err := Marshal(msg)
			convey.So(err, convey.ShouldBeNil)
			got, err := Unmarshal(data)
			convey.So(err, convey.ShouldBeNil)
			convey.So(got.Exchange, convey.ShouldEqual, 12)
			var fa Failure
			convey.So(got.Decode(&fa), convey.ShouldBeNil)
			convey.So(fa, convey.ShouldResemble, Failure{Step: "relay", Reason: "host gone"})
		})
		convey.Convey("whose body has another type gives an error that names its kind", func() {
			msg, err := New(KindFailure, "text")
			convey.So(err, convey.ShouldBeNil)
			var fa Failure
			convey.So(msg.Decode(&fa).Error(), convey.ShouldContainSubstring, "kind 1")
		})
	})
}

func FuzzUnmarshal(f *testing.F) {
	msg, err := New(KindFailure, Failure{Step: "relay"})
	if err != nil {
		f.Fatal(err)
	}
	good, err := Marshal(msg)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte{0x83})
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		msg, err := Unmarshal(data)
		if err == nil {
			var fa Failure
			_ = msg.Decode(&fa)
		}
	})
}
