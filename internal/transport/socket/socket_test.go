package socket

import (
	"context"
	"net/netip"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestListen(t *testing.T) {
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	convey.Convey("Sockets", t, func() {
		convey.Convey("of one pool share a port, those of two pools never do", func() {
			taken := make(map[netip.AddrPort]bool)
			for range 300 {
				so, err := Listen(context.Background(), anyPort, 2)
				convey.So(err, convey.ShouldBeNil)
				t.Cleanup(so.Close)
				convey.So(taken[so.Address()], convey.ShouldBeFalse)
				taken[so.Address()] = true
			}
		})
		convey.Convey("aren't opened on an address that is in use", func() {
			so, err := Listen(context.Background(), anyPort, 2)
			convey.So(err, convey.ShouldBeNil)
			defer so.Close()
			_, err = Listen(context.Background(), so.Address(), 2)
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(err.Error(), convey.ShouldContainSubstring, "address already in use")
		})
	})
}
