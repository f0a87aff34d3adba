package ticket

import (
	"net/netip"
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// sample returns a ticket of the host with every field set.
func sample(host string) ledger.Ticket {
	return ledger.Ticket{
		Home:     ledger.Home{Host: netip.MustParseAddrPort(host), Incarnation: 42},
		Service:  7,
		Sequence: 9,
		Expiry:   time.UnixMilli(1_700_000_000_123),
	}
}

func TestCodec(t *testing.T) {
	Convey("Given a codec", t, func() {
		co := NewCodec([KeySize]byte{1, 2, 3})

		Convey("Decoding a token returns the encoded ticket", func() {
			for _, ho := range []string{"127.0.0.1:8443", "[2001:db8::7]:443"} {
				ti, err := co.Decode(co.Encode(sample(ho)))
				So(err, ShouldBeNil)
				So(ti, ShouldResemble, sample(ho))
			}
		})

		Convey("A token with any one character changed is refused", func() {
			token := co.Encode(sample("127.0.0.1:8443"))
			for at := range token {
				other := byte('A')
				if token[at] == other {
					other = 'B'
				}
				_, err := co.Decode(token[:at] + string(other) + token[at+1:])
				So(err, ShouldNotBeNil)
			}
		})

		Convey("A token encoded with another key is refused as forged", func() {
			_, err := NewCodec([KeySize]byte{9}).Decode(co.Encode(sample("127.0.0.1:1")))
			So(errors.Is(err, ErrForged), ShouldBeTrue)
		})
	})
}

func FuzzDecode(f *testing.F) {
	co := NewCodec([KeySize]byte{1})
	f.Add(co.Encode(sample("127.0.0.1:8443")))
	f.Add("")
	f.Add("AAAA")
	f.Fuzz(func(t *testing.T, token string) {
		ti, err := co.Decode(token)
		if err == nil && co.Encode(ti) != token {
			t.Fatalf("token %q was decoded to a ticket that encodes to another token", token)
		}
	})
}

func BenchmarkDecode(b *testing.B) {
	co := NewCodec([KeySize]byte{1})
	token := co.Encode(sample("127.0.0.1:8443"))
	for b.Loop() {
		if _, err := co.Decode(token); err != nil {
			b.Fatal(err)
		}
	}
}
