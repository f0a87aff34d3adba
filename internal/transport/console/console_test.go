package console_test

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/change"
	"corneltiller.dev/corneltiller/internal/coordination/rollout"
	"corneltiller.dev/corneltiller/internal/protocol/command"
	"corneltiller.dev/corneltiller/internal/standin/platform"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/transport/console"
	"corneltiller.dev/corneltiller/internal/transport/store"
)

// desk is one operator's console with what it printed.
type desk struct {
	*console.Console
	out bytes.Buffer
}

func key(name string) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, name)
	return ed25519.NewKeyFromSeed(seed)
}

// open returns the consoles of both owners over one store.
func open(t *testing.T) (*platform.Server, *desk, *desk) {
	se := platform.New()
	hs := httptest.NewServer(se)
	t.Cleanup(hs.Close)
	address := netip.MustParseAddrPort(hs.Listener.Addr().String())
	newDesk := func(owner string) *desk {
		de := &desk{}
		de.Console = &console.Console{
			Store: &store.Client{Address: address},
			Owner: owner,
			Key:   key(owner),
			Out:   &de.out,
			Fleet: console.Fleet{Ask: func(context.Context, command.Query) (command.Status, error) {
				return command.Status{}, console.ErrNoBalancer
			}},
		}
		return de
	}
	return se, newDesk("glenrug"), newDesk("zhuldyz")
}

// run runs the text and returns what it printed.
func (de *desk) run(text string) (string, error) {
	de.out.Reset()
	err := de.Run(context.Background(), "test", text)
	return de.out.String(), err
}

func owner(name string) string {
	return name + ` KEY "` + command.FormatKey(change.PublicKey(key(name))) + `"`
}

func TestConsole(t *testing.T) {
	Convey("Given an initialized store", t, func() {
		se, glenrug, zhuldyz := open(t)
		_, err := glenrug.run("INITIALIZE OWNER " + owner("glenrug"))
		So(err, ShouldBeNil)
		_, err = glenrug.run("CREATE OWNER " + owner("zhuldyz"))
		So(err, ShouldBeNil)

		Convey("it can't be initialized again", func() {
			_, err := zhuldyz.run("INITIALIZE OWNER " + owner("zhuldyz"))
			So(err, ShouldWrap, console.ErrRefused)
		})
		Convey("an owner without the say is refused and told who holds it and until when", func() {
			text, err := zhuldyz.run("DRAIN HOSTS 10.0.0.0/8")
			So(err, ShouldWrap, console.ErrRefused)
			So(text, ShouldContainSubstring, "glenrug holds the say until ")
			Convey("and may change things after the handover, the former holder not", func() {
				_, err := glenrug.run("HAND SAY TO zhuldyz")
				So(err, ShouldBeNil)
				_, err = zhuldyz.run("DRAIN HOSTS 10.0.0.0/8")
				So(err, ShouldBeNil)
				text, err := glenrug.run("UNDRAIN HOSTS 10.0.0.0/8")
				So(err, ShouldWrap, console.ErrRefused)
				So(text, ShouldContainSubstring, "zhuldyz holds the say")
			})
		})
		Convey("a key that is not the owner's is refused", func() {
			glenrug.Key = key("somebody")
			text, err := glenrug.run("DRAIN HOSTS 10.0.0.0/8")
			So(err, ShouldWrap, console.ErrRefused)
			So(text, ShouldContainSubstring, change.ErrSignature.Error())
		})
		Convey("a batch is one version, and nothing of it stays if one part is refused", func() {
			text, err := glenrug.run("BEGIN; CREATE SERVICE yardline FOR FIRM Glenrug ADDRESS 192.0.2.1:443 HOSTS 10.0.0.0/8; DRAIN HOSTS 10.0.0.0/8; DRY RUN")
			So(err, ShouldWrap, console.ErrRefused)
			So(text, ShouldContainSubstring, catalog.ErrNoHost.Error())
			text, err = glenrug.run("UNDRAIN HOSTS 10.0.0.0/8; COMMIT; SHOW HISTORY")
			So(err, ShouldBeNil)
			So(text, ShouldContainSubstring, "accepted as version 1.3")
			So(strings.Count(text, "\n1."), ShouldEqual, 3)
		})
		Convey("a dry run writes nothing", func() {
			before := se.Calls().Writes
			text, err := glenrug.run("EXPLAIN DRAIN HOSTS 10.0.0.0/8")
			So(err, ShouldBeNil)
			So(text, ShouldContainSubstring, "would be accepted")
			So(se.Calls().Writes, ShouldEqual, before)
		})
		Convey("a lost answer is settled by reading, with one write of the root", func() {
			before := se.Calls().Writes
			se.LoseAnswers(1)
			text, err := glenrug.run("CREATE OWNER " + owner("other"))
			So(err, ShouldBeNil)
			So(text, ShouldContainSubstring, "accepted as version 1.3")
			So(se.Calls().Writes-before, ShouldEqual, 1)
		})
		Convey("a write lost on its way is fenced and refused", func() {
			se.SetFaults(platform.Faults{LoseCalls: 1})
			text, err := glenrug.run("CREATE OWNER " + owner("other"))
			So(err, ShouldWrap, console.ErrRefused)
			So(text, ShouldContainSubstring, "lost on its way")
			text, err = glenrug.run("SHOW OWNERS")
			So(err, ShouldBeNil)
			So(text, ShouldNotContainSubstring, "other")
		})
		Convey("a store that is behind the fleet is not changed", func() {
			glenrug.Fleet.Ask = func(context.Context, command.Query) (command.Status, error) {
				return command.Status{InForce: rollout.Report{Newest: catalog.Version{Term: 1, Number: 9}}}, nil
			}
			text, err := glenrug.run("DRAIN HOSTS 10.0.0.0/8")
			So(err, ShouldWrap, console.ErrRefused)
			So(text, ShouldContainSubstring, "REINSTATE")
		})
		Convey("scripts get one JSON object for each statement", func() {
			glenrug.JSON = true
			text, err := glenrug.run("SHOW SAY; SHOW OWNERS")
			So(err, ShouldBeNil)
			lines := strings.Split(strings.TrimSpace(text), "\n")
			So(lines, ShouldHaveLength, 2)
			var sa console.Say
			So(json.Unmarshal([]byte(lines[0]), &sa), ShouldBeNil)
			So(sa.Owner, ShouldEqual, "glenrug")
			So(sa.Term, ShouldEqual, 1)
		})
		Convey("without a key there are queries only", func() {
			glenrug.Key = nil
			_, err := glenrug.run("DRAIN HOSTS 10.0.0.0/8")
			So(errors.Is(err, console.ErrNoKey), ShouldBeTrue)
			_, err = glenrug.run("SHOW SAY")
			So(err, ShouldBeNil)
		})
	})
}

func TestSettle(t *testing.T) {
	Convey("An open change is told from one that is ruled out, and SETTLE CHANGE rules it out", t, func() {
		se, glenrug, _ := open(t)
		_, err := glenrug.run("INITIALIZE OWNER " + owner("glenrug"))
		So(err, ShouldBeNil)
		inquiry := "0.0-0000000000000001"
		text, err := glenrug.run("SHOW CHANGE " + inquiry)
		So(err, ShouldBeNil)
		So(text, ShouldContainSubstring, "did not and will not take effect")
		open := "1.1-0000000000000001"
		text, err = glenrug.run("SHOW CHANGE " + open)
		So(err, ShouldBeNil)
		So(text, ShouldContainSubstring, "still may")
		text, err = glenrug.run("SETTLE CHANGE " + open + "; SHOW CHANGE " + open)
		So(err, ShouldBeNil)
		So(strings.Count(text, "did not and will not take effect"), ShouldEqual, 2)
		So(se.Calls().Writes, ShouldEqual, 2)
	})
}
