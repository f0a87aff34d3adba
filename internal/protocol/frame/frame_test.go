package frame

import (
	"net/netip"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestFrame(t *testing.T) {
	convey.Convey("A frame", t, func() {
		he := Header{
			Service: netip.MustParseAddrPort("192.0.2.1:443"),
			Caller:  netip.MustParseAddrPort("[2001:db8::1]:4000"),
		}
		datagram := Append(nil, he, []byte("payload"))
		convey.Convey("is decoded to its header and payload", func() {
			got, payload, err := Decode(datagram)
			convey.So(err, convey.ShouldBeNil)
			convey.So(got, convey.ShouldResemble, he)
			convey.So(string(payload), convey.ShouldEqual, "payload")
		})
		convey.Convey("is refused when cut short or of another format", func() {
			_, _, err := Decode(datagram[:Length-1])
			convey.So(err, convey.ShouldEqual, ErrMalformed)
			datagram[0] = 0
			_, _, err = Decode(datagram)
			convey.So(err, convey.ShouldEqual, ErrMalformed)
		})
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(Append(nil, Header{}, nil))
	f.Add([]byte{formatVersion})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		he, payload, err := Decode(datagram)
		if err == nil && len(Append(nil, he, payload)) != len(datagram) {
			t.Fatal("re-encoding a decoded frame gave another length")
		}
	})
}
