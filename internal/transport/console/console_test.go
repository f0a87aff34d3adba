package console_test

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/change"
	"corneltiller.dev/corneltiller/internal/coordination/rollout"
	"corneltiller.dev/corneltiller/internal/protocol/command"
	"corneltiller.dev/corneltiller/internal/protocol/explanation"
	"corneltiller.dev/corneltiller/internal/standin/platform"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/transport/console"
	"corneltiller.dev/corneltiller/internal/transport/store"
)

// operator is the console of one owner, with its output.
type operator struct {
	*console.Console
	out bytes.Buffer
}

// ownerKey returns a key that is derived from the name.
func ownerKey(name string) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, name)
	return ed25519.NewKeyFromSeed(seed)
}

// newOperators starts a store and returns it with the consoles of two owners, for
// whom no balancer answers.
func newOperators(t *testing.T) (*platform.Server, *operator, *operator) {
	se := platform.New()
	hs := httptest.NewServer(se)
	t.Cleanup(hs.Close)
	address := netip.MustParseAddrPort(hs.Listener.Addr().String())
	newOperator := func(owner string) *operator {
		op := &operator{}
		op.Console = &console.Console{
			Store: &store.Client{Address: address},
			Owner: owner,
			Key:   ownerKey(owner),
			Out:   &op.out,
			Fleet: console.Fleet{Ask: func(context.Context, command.Query) (command.Status, error) {
				return command.Status{}, console.ErrNoBalancer
			}},
		}
		return op
	}
	return se, newOperator("glenrug"), newOperator("zhuldyz")
}

// run executes the text and returns what was printed.
func (op *operator) run(text string) (string, error) {
	op.out.Reset()
	err := op.Run(context.Background(), "test", text)
	return op.out.String(), err
}

// ownerClause returns the owner's name and key as INITIALIZE OWNER and CREATE
// OWNER take them.
func ownerClause(name string) string {
	return name + ` KEY "` + command.FormatKey(change.PublicKey(ownerKey(name))) + `"`
}

func TestConsole(t *testing.T) {
	Convey("Given an initialized store", t, func() {
		se, glenrug, zhuldyz := newOperators(t)
		_, err := glenrug.run("INITIALIZE OWNER " + ownerClause("glenrug"))
		So(err, ShouldBeNil)
		_, err = glenrug.run("CREATE OWNER " + ownerClause("zhuldyz"))
		So(err, ShouldBeNil)

		Convey("it can't be initialized again", func() {
			_, err := zhuldyz.run("INITIALIZE OWNER " + ownerClause("zhuldyz"))
			So(err, ShouldWrap, console.ErrRefused)
		})
		Convey("an owner without the say is refused and told who holds it and until when", func() {
			text, err := zhuldyz.run("DRAIN HOSTS 10.0.0.0/8")
			So(err, ShouldWrap, console.ErrRefused)
			So(text, ShouldContainSubstring, "glenrug holds the say until ")
			Convey("after the handover that owner may change the configuration, and the former holder may not", func() {
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
			glenrug.Key = ownerKey("somebody")
			text, err := glenrug.run("DRAIN HOSTS 10.0.0.0/8")
			So(err, ShouldWrap, console.ErrRefused)
			So(text, ShouldContainSubstring, change.ErrSignature.Error())
		})
		Convey("a batch is one version, and is refused as a whole if one edit is refused", func() {
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
		Convey("if the answer to a write is lost, reading the root shows the outcome, with no second write", func() {
			before := se.Calls().Writes
			se.DropWriteAnswers(1)
			text, err := glenrug.run("CREATE OWNER " + ownerClause("other"))
			So(err, ShouldBeNil)
			So(text, ShouldContainSubstring, "accepted as version 1.3")
			So(se.Calls().Writes-before, ShouldEqual, 1)
		})
		Convey("a write that was lost before it reached the store is fenced, and the change refused", func() {
			se.SetFaults(platform.Faults{DropWrites: 1})
			text, err := glenrug.run("CREATE OWNER " + ownerClause("other"))
			So(err, ShouldWrap, console.ErrRefused)
			So(text, ShouldContainSubstring, "lost on its way")
			text, err = glenrug.run("SHOW OWNERS")
			So(err, ShouldBeNil)
			So(text, ShouldNotContainSubstring, "other")
		})
		Convey("a store with an older version than the one in force is not changed", func() {
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
		Convey("without a key, changes fail and queries are answered", func() {
			glenrug.Key = nil
			_, err := glenrug.run("DRAIN HOSTS 10.0.0.0/8")
			So(errors.Is(err, console.ErrNoKey), ShouldBeTrue)
			_, err = glenrug.run("SHOW SAY")
			So(err, ShouldBeNil)
		})
	})
}

// It guards against an explanation in another form than that of the explain command, and
// against one that is missing because the balancer is of a former build.
func TestExplainFlow(t *testing.T) {
	Convey("EXPLAIN FLOW prints the balancer's answer as a table or as JSON", t, func() {
		_, glenrug, _ := newOperators(t)
		_, err := glenrug.run("INITIALIZE OWNER " + ownerClause("glenrug") +
			"; CREATE SERVICE yardline FOR FIRM Glenrug ADDRESS 198.18.0.1:443 HOSTS 10.0.0.0/8")
		So(err, ShouldBeNil)
		data, err := os.ReadFile("../../protocol/explanation/testdata/chain.json")
		So(err, ShouldBeNil)
		table, err := os.ReadFile("../../protocol/explanation/testdata/chain.txt")
		So(err, ShouldBeNil)
		var an explanation.Answer
		So(json.Unmarshal(data, &an), ShouldBeNil)
		answer := &an
		var asked command.FlowQuery
		glenrug.Fleet.Ask = func(_ context.Context, qu command.Query) (command.Status, error) {
			asked = *qu.Flow
			return command.Status{Path: []string{"Service=1", "Role=Owner"}, Explanation: answer}, nil
		}
		statement := "EXPLAIN FLOW FROM 100.64.0.25:1047 TO 198.18.0.1:443"
		text, err := glenrug.run(statement)
		So(err, ShouldBeNil)
		So(text, ShouldEqual, string(table))
		So(asked.Caller.String(), ShouldEqual, "100.64.0.25:1047")
		So(asked.Address.String(), ShouldEqual, "198.18.0.1:443")

		Convey("with its problem, if it has one", func() {
			an.SetProblem(explanation.StaleView, "the view is incomplete")
			text, err := glenrug.run(statement)
			So(err, ShouldBeNil)
			So(text, ShouldEqual, string(table)+"\nnot to be relied on: the view is incomplete\n")
		})
		Convey("as one JSON object", func() {
			glenrug.JSON = true
			text, err := glenrug.run(statement)
			So(err, ShouldBeNil)
			var back explanation.Answer
			So(json.Unmarshal([]byte(text), &back), ShouldBeNil)
			So(back, ShouldResemble, an)
		})
		Convey("as the lines that a balancer of a former build sends", func() {
			answer = nil
			text, err := glenrug.run(statement)
			So(err, ShouldBeNil)
			So(text, ShouldEqual, "Service=1\nRole=Owner\n")
		})
	})
}

func TestSettle(t *testing.T) {
	Convey("A change that may still take effect is told apart from one that can't, and SETTLE CHANGE rules it out", t, func() {
		se, glenrug, _ := newOperators(t)
		_, err := glenrug.run("INITIALIZE OWNER " + ownerClause("glenrug"))
		So(err, ShouldBeNil)
		impossible := "0.0-0000000000000001"
		text, err := glenrug.run("SHOW CHANGE " + impossible)
		So(err, ShouldBeNil)
		So(text, ShouldContainSubstring, "did not and will not take effect")
		pending := "1.1-0000000000000001"
		text, err = glenrug.run("SHOW CHANGE " + pending)
		So(err, ShouldBeNil)
		So(text, ShouldContainSubstring, "still may")
		text, err = glenrug.run("SETTLE CHANGE " + pending + "; SHOW CHANGE " + pending)
		So(err, ShouldBeNil)
		So(strings.Count(text, "did not and will not take effect"), ShouldEqual, 2)
		So(se.Calls().Writes, ShouldEqual, 2)
	})
}
