package catalog_test

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

func TestAuthority(t *testing.T) {
	december := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	january := catalog.NextMonth(december)
	co := &catalog.Configuration{
		Say:    catalog.Say{Owner: "glenrug", Term: 1, Until: january},
		Owners: []catalog.Owner{{Name: "glenrug"}, {Name: "zhuldyz"}},
		Calendar: []catalog.Turn{
			{From: december, Owner: "glenrug"},
			{From: january, Owner: "zhuldyz"},
		},
	}
	for _, tc := range []struct {
		name  string
		owner string
		at    time.Time
		want  catalog.Authority
	}{
		{"the holder in its turn", "glenrug", january.Add(-time.Second), catalog.AuthorityHolder},
		{"the next owner too early", "zhuldyz", january.Add(-time.Second), catalog.AuthorityNone},
		{"the next owner in its turn", "zhuldyz", january, catalog.AuthoritySuccessor},
		{"the holder after its turn", "glenrug", january, catalog.AuthorityNone},
		{"an unknown owner", "somebody", january, catalog.AuthorityNone},
	} {
		t.Run(tc.name, func(t *testing.T) {
			Convey("has the authority that the say and the calendar give", t, func() {
				So(co.AuthorityOf(tc.owner, tc.at), ShouldEqual, tc.want)
			})
		})
	}
	Convey("Without a next turn the holder keeps the say", t, func() {
		alone := *co
		alone.Calendar = nil
		So(alone.AuthorityOf("glenrug", january.AddDate(1, 0, 0)), ShouldEqual, catalog.AuthorityHolder)
		So(alone.AuthorityOf("zhuldyz", january.AddDate(1, 0, 0)), ShouldEqual, catalog.AuthorityNone)
	})
}

func TestRetirement(t *testing.T) {
	address := netip.MustParseAddrPort("192.0.2.1:443")
	hosts := []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}
	owner := catalog.Owner{Name: "glenrug", Key: make([]byte, 32)}
	before := &catalog.Configuration{
		Version:     catalog.Version{Term: 1, Number: 4},
		Say:         catalog.Say{Owner: owner.Name},
		Owners:      []catalog.Owner{owner},
		NextService: 3,
		Services: []catalog.Service{
			{ID: 1, Name: "yardline", Addresses: []netip.AddrPort{address}, Hosts: hosts},
			{ID: 2, Name: "ledgerwash", Hosts: hosts},
		},
	}
	removed := before.Clone()
	removed.Version.Number = 5
	removed.Services[0].Addresses = nil
	removed.RetireAddresses(before)
	Convey("An address that was removed", t, func() {
		given := removed.Clone()
		given.Version.Number = 6
		given.Services[1].Addresses = []netip.AddrPort{address}
		Convey("is refused to another service while an instance may not have applied the removal", func() {
			given.ReleaseAddresses(catalog.Version{Term: 1, Number: 4})
			So(given.Check(), ShouldWrap, catalog.ErrRetired)
		})
		Convey("is allowed to another service once every instance has the removal in force", func() {
			given.ReleaseAddresses(catalog.Version{Term: 1, Number: 5})
			So(given.Check(), ShouldBeNil)
		})
		Convey("may go back to its last service at once", func() {
			back := removed.Clone()
			back.Services[0].Addresses = []netip.AddrPort{address}
			back.ReleaseAddresses(catalog.Version{})
			So(back.Check(), ShouldBeNil)
		})
	})
	Convey("An address does not move to another service within one change", t, func() {
		moved := before.Clone()
		moved.Services[0].Addresses = nil
		moved.Services[1].Addresses = []netip.AddrPort{address}
		So(moved.CheckAddressMoves(before), ShouldWrap, catalog.ErrRetired)
	})
}

func TestCheckHosts(t *testing.T) {
	hosts := []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}
	before := &catalog.Configuration{Services: []catalog.Service{{ID: 1, Name: "yardline", Hosts: hosts}}}
	live := []register.Host{{Address: netip.MustParseAddrPort("10.1.0.1:1"), Service: 1, State: register.StateReady}}
	Convey("A drain of the only live host of a service is refused", t, func() {
		after := before.Clone()
		after.Rules = []catalog.HostRule{{Hosts: netip.MustParsePrefix("10.1.0.1/32"), Draining: true, Weight: 100}}
		So(catalog.CheckHosts(before, after, live), ShouldWrap, catalog.ErrNoHost)
		So(catalog.CheckHosts(before, after, nil), ShouldBeNil)
	})
}
