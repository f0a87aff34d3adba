package carrier

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/members"
	"corneltiller.dev/corneltiller/internal/state/settings"
	"corneltiller.dev/corneltiller/internal/transport/gauge"
)

var errStore = errors.New("store away")

// openNode returns a balancer's node that calls the store.
func openNode(t *testing.T, st Store) *node {
	t.Helper()
	no, err := newNode(settings.Carrier{Name: "balancer-1", Domain: "a", Peers: netip.MustParseAddrPort("127.0.0.1:0")},
		st, gauge.NewRegistry(), members.RoleBalancer)
	if err != nil {
		t.Fatal(err)
	}
	no.deadline = func() time.Time { return time.Time{} }
	t.Cleanup(no.close)
	return no
}

func TestEntryIsWrittenOnceTheStoreIsBack(t *testing.T) {
	attempts := 0
	no := openNode(t, Store{WriteEntry: func(context.Context, string, members.Record) error {
		attempts++
		if attempts < 4 {
			return errStore
		}
		return nil
	}})
	synctest.Test(t, func(t *testing.T) {
		no.rewriteEntry(t.Context())
		Convey("An entry that could not be rewritten at first is written later", t, func() {
			So(attempts, ShouldEqual, 4)
		})
	})
}
