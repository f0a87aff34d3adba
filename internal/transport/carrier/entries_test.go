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
	"corneltiller.dev/corneltiller/internal/protocol/waybill"
	"corneltiller.dev/corneltiller/internal/state/register"
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

func agentAt(address string) members.Record {
	return members.Record{
		Revision: register.Revision{Incarnation: 1}, Address: netip.MustParseAddrPort(address), Role: members.RoleAgent, Domain: "a",
	}
}

func TestEntryIsWrittenOnceTheStoreIsBack(t *testing.T) {
	attempts := 0
	synctest.Test(t, func(t *testing.T) {
		no := openNode(t, Store{WriteEntry: func(context.Context, string, members.Record) error {
			attempts++
			if attempts < 4 {
				return errStore
			}
			return nil
		}})
		no.rewriteEntry(t.Context())
		Convey("An entry that could not be rewritten at first is written later", t, func() {
			So(attempts, ShouldEqual, 4)
		})
	})
}

func TestEntryOfARemovedMemberThatARestoreBroughtBackIsRemoved(t *testing.T) {
	Convey("A review removes the entry of a member that is gone and keeps the others", t, func() {
		gone, silent, present := agentAt("127.0.0.1:8"), agentAt("127.0.0.1:9"), agentAt("127.0.0.1:10")
		var removed []string
		no := openNode(t, Store{
			ListEntries: func(context.Context) ([]Entry, error) {
				return []Entry{
					{Name: "gone", Record: gone},
					{Name: "present", Record: present},
					{Name: "unknown", Record: agentAt("127.0.0.1:11")},
				}, nil
			},
			RemoveEntry: func(_ context.Context, en Entry) error {
				removed = append(removed, en.Name)
				return nil
			},
		})
		now := time.Now()
		greet := func(re members.Record) {
			no.view.Handle(now, re.Address, members.Message{Greeting: &members.Greeting{Record: re}})
		}
		greet(gone)
		for range 40 {
			now = now.Add(members.GreetInterval)
			greet(present)
			greet(silent)
			no.view.Tick(now)
		}
		So(no.view.Removed(), ShouldResemble, []netip.AddrPort{gone.Address})
		So(no.reviewOnce(t.Context()), ShouldBeFalse)
		So(removed, ShouldResemble, []string{"gone"})
		So(no.membersWithoutEntry(nil), ShouldResemble, []netip.AddrPort{silent.Address, present.Address, no.settings.Peers})
	})
}

func TestEntriesAreReviewedAfterAStartSinceARestoreMayJustHaveBeen(t *testing.T) {
	reviews := 0
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		no := openNode(t, Store{ListEntries: func(context.Context) ([]Entry, error) {
			reviews++
			return []Entry{{Record: members.Record{Address: netip.MustParseAddrPort("127.0.0.1:0"), Role: members.RoleBalancer}}}, nil
		}})
		if err := no.reviewEntries(ctx); err != nil {
			t.Fatal(err)
		}
		Convey("Nothing is missing, so the entries are listed once", t, func() {
			So(reviews, ShouldEqual, 1)
		})
	})
}

// Guards against a time limit of one call for a list of many pages, with which neither
// a start nor a review can read a store that has more pages than fit into it.
func TestListOfManyPagesTakesLongerThanACall(t *testing.T) {
	var errRegister error
	written, reviewed := 0, false
	synctest.Test(t, func(t *testing.T) {
		no := openNode(t, Store{
			ListEntries: func(ctx context.Context) ([]Entry, error) {
				if !sleepContext(ctx, 98*callTimeout/2) {
					return nil, ctx.Err()
				}
				return []Entry{{Name: "agent-1", Record: agentAt("127.0.0.1:8")}}, nil
			},
			WriteEntry: func(context.Context, string, members.Record) error {
				written++
				return nil
			},
		})
		no.onDeadline = func(time.Time) {}
		no.onMemberChanged = func(time.Time, members.Record) {}
		no.onEntriesListed = func(time.Time) {}
		no.deadline = func() time.Time { return time.Time{} }
		errRegister = no.register(t.Context(), true)
		no.reviewOnce(t.Context())
		reviewed = len(no.entryMissing) == 1
	})
	Convey("A list of 98 pages that take half a call's time each is read at the start and by a review", t, func() {
		So(errRegister, ShouldBeNil)
		So(written, ShouldEqual, 1)
		So(reviewed, ShouldBeTrue)
	})
}

// reviewsOfTheSecond returns when the balancer with the second lowest address, which has
// a doubt, lists the entries within 15 s. It calls meanwhile once a second.
func reviewsOfTheSecond(t *testing.T, meanwhile func(no *node, second int)) []time.Duration {
	t.Helper()
	var reviews []time.Duration
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
		defer cancel()
		began := time.Now()
		no := openNode(t, Store{ListEntries: func(context.Context) ([]Entry, error) {
			reviews = append(reviews, time.Since(began))
			return nil, nil
		}})
		no.onDeadline = func(time.Time) {}
		no.onMemberChanged = func(time.Time, members.Record) {}
		no.onMemberHeard = func(time.Time, netip.AddrPort) {}
		lower := agentAt("126.0.0.1:8")
		lower.Role = members.RoleBalancer
		no.view.Handle(began, lower.Address, members.Message{Greeting: &members.Greeting{Record: lower}})
		signal(no.entriesDoubtful)
		go func() {
			for second := 0; sleepContext(ctx, time.Second); second++ {
				meanwhile(no, second)
			}
		}()
		if err := no.reviewEntries(ctx); err != nil {
			t.Fatal(err)
		}
	})
	return reviews
}

// Guards against entries that stay missing while the store turns away just the balancer
// of lowest address.
func TestNextBalancerReviewsTheEntriesIfTheFirstDoesNot(t *testing.T) {
	reviews := reviewsOfTheSecond(t, func(*node, int) {})
	Convey("The balancer of rank 1 reviews the entries 3 s after it was the turn of the first", t, func() {
		So(reviews, ShouldResemble, []time.Duration{5 * time.Second})
	})
}

// Guards against one list of the entries for each balancer.
func TestReviewOfAnotherBalancerIsEnough(t *testing.T) {
	review := func(no *node, from string, clean bool) {
		no.handleMessage(netip.MustParseAddrPort(from), waybill.AppendEntriesReviewed(nil, clean, time.Second))
	}
	Convey("A balancer that hears of a review by the first one", t, func() {
		Convey("lists no entries if nothing was missing", func() {
			So(reviewsOfTheSecond(t, func(no *node, second int) {
				if second == 2 {
					review(no, "126.0.0.1:8", true)
				}
			}), ShouldBeEmpty)
		})
		Convey("waits for the next one if something was missing", func() {
			So(reviewsOfTheSecond(t, func(no *node, second int) {
				if second == 2 {
					review(no, "126.0.0.1:8", false)
				}
			}), ShouldBeEmpty)
		})
		Convey("lists them if an unknown process says so", func() {
			So(reviewsOfTheSecond(t, func(no *node, second int) {
				if second == 2 {
					review(no, "126.0.0.1:9", true)
				}
			}), ShouldHaveLength, 1)
		})
	})
}
