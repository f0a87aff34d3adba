package caller

import (
	"context"
	"crypto/x509"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestRequestWithoutFlowIsNotRun(t *testing.T) {
	silent, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	ca := Open(Config{
		Service:   silent.LocalAddr().(*net.UDPAddr).AddrPort(),
		Authority: x509.NewCertPool(),
		Name:      "localhost",
	})
	defer ca.Close()
	convey.Convey("A request to a service that completes no handshake has not run", t, func() {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			re, err := http.NewRequestWithContext(ctx, method, "/bookings", http.NoBody)
			convey.So(err, convey.ShouldBeNil)
			_, err = ca.Do(re)
			convey.So(err, convey.ShouldWrap, ErrNotRun)
		}
	})
}
