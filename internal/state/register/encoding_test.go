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
		back, err := DecodeHost(body)
		So(err, ShouldBeNil)
		So(back, ShouldResemble, host)

		body, err = EncodeBalancer(balancer)
		So(err, ShouldBeNil)
		bback, err := DecodeBalancer(body)
		So(err, ShouldBeNil)
		So(bback, ShouldResemble, balancer)
	})
	Convey("Records that no correct writer announces are refused", t, func() {
		for name, spoil := range map[string]func(*Host){
			"no address":   func(ho *Host) { ho.Address = netip.AddrPort{} },
			"large number": func(ho *Host) { ho.Service = MaxServiceID + 1 },
			"no state":     func(ho *Host) { ho.State = 0 },
			"long domain":  func(ho *Host) { ho.Domain = string(make([]byte, MaxDomainLength+1)) },
		} {
			Convey(name, func() {
				spoilt := host
				spoil(&spoilt)
				body, err := EncodeHost(spoilt)
				So(err, ShouldBeNil)
				_, err = DecodeHost(body)
				So(err, ShouldNotBeNil)
			})
		}
		_, err := DecodeHost([]byte{0xff, 0x00})
		So(err, ShouldNotBeNil)
	})
}
