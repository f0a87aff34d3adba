package register

import (
	"net/netip"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRecordsRoundTrip(t *testing.T) {
	host := Host{
		Revision: Revision{Incarnation: 1 << 40, Sequence: 7},
		Address:  netip.MustParseAddrPort("10.1.2.3:4433"),
		Control:  netip.MustParseAddrPort("10.1.2.3:7443"),
		Service:  MaxServiceID,
		Domain:   "scot-central/a",
		State:    StateDraining,
		Weight:   50,
		Load:     80,
	}
	balancer := Balancer{
		Revision: Revision{Incarnation: 3, Sequence: 1},
		Address:  netip.MustParseAddrPort("[2001:db8::1]:443"),
		Control:  netip.MustParseAddrPort("[2001:db8::1]:7443"),
		Domain:   "almaty/b",
		State:    StateReady,
		Term:     2,
		Version:  9,
	}
	Convey("Records decode to what was encoded", t, func() {
		body, err := EncodeHost(host)
		So(err, ShouldBeNil)
		decoded, err := DecodeHost(body)
		So(err, ShouldBeNil)
		So(decoded, ShouldResemble, host)

		body, err = EncodeBalancer(balancer)
		So(err, ShouldBeNil)
		decodedBalancer, err := DecodeBalancer(body)
		So(err, ShouldBeNil)
		So(decodedBalancer, ShouldResemble, balancer)
	})
	Convey("Records with a missing or invalid value are refused", t, func() {
		for name, corrupt := range map[string]func(*Host){
			"no address":               func(ho *Host) { ho.Address = netip.AddrPort{} },
			"service number too large": func(ho *Host) { ho.Service = MaxServiceID + 1 },
			"no state":                 func(ho *Host) { ho.State = 0 },
			"domain too long":          func(ho *Host) { ho.Domain = string(make([]byte, MaxDomainLength+1)) },
		} {
			Convey(name, func() {
				invalid := host
				corrupt(&invalid)
				body, err := EncodeHost(invalid)
				So(err, ShouldBeNil)
				_, err = DecodeHost(body)
				So(err, ShouldNotBeNil)
			})
		}
		_, err := DecodeHost([]byte{0xff, 0x00})
		So(err, ShouldNotBeNil)
	})
}
