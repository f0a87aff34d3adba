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
		convey.Convey("of one group share a port, those of two groups never do", func() {
			taken := make(map[netip.AddrPort]bool)
			for range 300 {
				gr, err := Listen(context.Background(), anyPort, 2)
				convey.So(err, convey.ShouldBeNil)
				t.Cleanup(gr.Close)
				convey.So(taken[gr.Address()], convey.ShouldBeFalse)
				taken[gr.Address()] = true
			}
		})
		convey.Convey("aren't opened on an address that is in use", func() {
			gr, err := Listen(context.Background(), anyPort, 2)
			convey.So(err, convey.ShouldBeNil)
			defer gr.Close()
			_, err = Listen(context.Background(), gr.Address(), 2)
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(err.Error(), convey.ShouldContainSubstring, "address already in use")
		})
	})
}
