package ticket

import (
	"net/netip"
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// sample returns a ticket with a value in each field.
func sample(host string) ledger.Ticket {
	return ledger.Ticket{
		Home:     ledger.Home{Host: netip.MustParseAddrPort(host), Incarnation: 42},
		Service:  7,
		Sequence: 9,
		Expiry:   time.UnixMilli(1_700_000_000_123),
	}
}

func TestSealer(t *testing.T) {
	Convey("Given a sealer", t, func() {
		se := NewCodec([KeySize]byte{1, 2, 3})

		Convey("A token opens to the ticket that was sealed", func() {
			for _, ho := range []string{"127.0.0.1:8443", "[2001:db8::7]:443"} {
				ti, err := se.Decode(se.Encode(sample(ho)))
				So(err, ShouldBeNil)
				So(ti, ShouldResemble, sample(ho))
			}
		})

		Convey("Each changed character is refused", func() {
			token := se.Encode(sample("127.0.0.1:8443"))
			for at := range token {
				other := byte('A')
				if token[at] == other {
					other = 'B'
				}
				_, err := se.Decode(token[:at] + string(other) + token[at+1:])
				So(err, ShouldNotBeNil)
			}
		})

		Convey("A token under another key is forged", func() {
			_, err := NewCodec([KeySize]byte{9}).Decode(se.Encode(sample("127.0.0.1:1")))
			So(errors.Is(err, ErrForged), ShouldBeTrue)
		})
	})
}

func FuzzOpen(f *testing.F) {
	se := NewCodec([KeySize]byte{1})
	f.Add(se.Encode(sample("127.0.0.1:8443")))
	f.Add("")
	f.Add("AAAA")
	f.Fuzz(func(t *testing.T, token string) {
		ti, err := se.Decode(token)
		if err == nil && se.Encode(ti) != token {
			t.Fatalf("token %q opened to a ticket with another token", token)
		}
	})
}

func BenchmarkOpen(b *testing.B) {
	se := NewCodec([KeySize]byte{1})
	token := se.Encode(sample("127.0.0.1:8443"))
	for b.Loop() {
		if _, err := se.Decode(token); err != nil {
			b.Fatal(err)
		}
	}
}
