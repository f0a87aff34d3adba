package carrier

import (
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A packet that waits while the process is frozen must not be taken for a new one.
func TestWaitOfADatagramIsTold(t *testing.T) {
	Convey("The time from its arrival to its reading is passed on", t, func() {
		conn, err := listenUDP(netip.MustParseAddrPort("127.0.0.1:0"))
		So(err, ShouldBeNil)
		defer conn.Close()
		requestArrivalTimes(conn)
		// The kernel begins to note arrival times a little later.
		time.Sleep(100 * time.Millisecond)
		sender, err := net.DialUDP("udp", nil, conn.LocalAddr().(*net.UDPAddr))
		So(err, ShouldBeNil)
		defer sender.Close()
		_, err = sender.Write([]byte("early"))
		So(err, ShouldBeNil)
		time.Sleep(150 * time.Millisecond)
		waits := make(chan time.Duration, 2)
		go readWithWait(conn, func(_ netip.AddrPort, _ []byte, wait time.Duration) { waits <- wait })
		first := <-waits
		So(first, ShouldBeBetween, 149*time.Millisecond, 2*time.Second)
		_, err = sender.Write([]byte("late"))
		So(err, ShouldBeNil)
		So(<-waits, ShouldBeLessThan, first)
	})
	Convey("Without an arrival time, or with one in the future, nothing has waited", t, func() {
		So(waitOf(time.Now(), nil), ShouldEqual, 0)
		So(waitOf(time.Now(), make([]byte, controlBytes)), ShouldEqual, 0)
	})
}
