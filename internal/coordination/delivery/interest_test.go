package delivery

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// subscribeCount returns the number of Subscribe messages among the actions.
func subscribeCount(acts []Action) int {
	count := 0
	for _, ac := range acts {
		if se, ok := ac.(Send); ok && se.Message.Subscribe != nil {
			count++
		}
	}
	return count
}

func TestInitialSyncDoesNotWaitForBudget(t *testing.T) {
	Convey("A new subscriber is sent its initial items while the publisher's budget is used up", t, func() {
		publisher, subscriber := addressOf(0), addressOf(99)
		bucket := NewBudget(began)
		pu := New(Settings{Self: Peer{Address: publisher}, Bucket: bucket}, rand.New(rand.NewPCG(1, 1)), began)
		var items []Item
		for number := range 30 {
			items = append(items, item(number, 1))
		}
		pu.Merge(items, began)
		su := New(Settings{
			Self: Peer{Address: subscriber}, Bucket: NewBudget(began),
			Interests: []Interest{{Kind: KindHost, First: 0, Last: MaxInterestScopes - 1}},
		}, rand.New(rand.NewPCG(1, 99)), began)
		su.SetPeers([]Peer{{Address: publisher}})
		nodes := map[netip.AddrPort]*Gossip{publisher: pu, subscriber: su}
		sent := 0
		var run func(from netip.AddrPort, acts []Action, now time.Time)
		run = func(from netip.AddrPort, acts []Action, now time.Time) {
			for _, ac := range acts {
				if se, ok := ac.(Send); ok {
					if from == publisher {
						So(se.InitialSync, ShouldBeTrue)
						sent += se.Message.Size()
					}
					run(se.To, nodes[se.To].Receive(from, se.Message, now), now)
				}
			}
		}
		now := began
		for range 30 {
			now = now.Add(100 * time.Millisecond)
			for bucket.Take(now, 1, 0) {
				// Leaves no token for the publisher's own messages.
			}
			run(subscriber, su.Tick(now), now)
			run(publisher, pu.Tick(now), now)
		}
		So(len(su.Table().Items(now)), ShouldEqual, 30)
		So(sent, ShouldBeLessThan, InitialSyncBytesPerSubscriber)
	})
}

func TestSubscriberLeavesUnreachablePublisher(t *testing.T) {
	Convey("A subscriber whose publisher is unreachable subscribes to another peer after ResubscribeInterval, before the term ends", t, func() {
		gs := New(Settings{
			Self: Peer{Address: addressOf(99)}, Bucket: NewBudget(began),
			Interests: []Interest{{Kind: KindHost, First: 2, Last: 2}},
		}, rand.New(rand.NewPCG(1, 99)), began)
		gs.SetPeers([]Peer{{Address: addressOf(0)}, {Address: addressOf(1)}})
		now := began.Add(time.Second)
		first := publisherOf(gs.Tick(now))
		gs.SendFailed(first, now)
		So(subscribeCount(gs.Tick(now)), ShouldEqual, 0)
		second := publisherOf(gs.Tick(now.Add(ResubscribeInterval)))
		So(second.IsValid(), ShouldBeTrue)
		So(second, ShouldNotEqual, first)
	})
}

// publisherOf returns the receiver of the first Subscribe message among the
// actions, or the zero value.
func publisherOf(acts []Action) netip.AddrPort {
	for _, ac := range acts {
		if se, ok := ac.(Send); ok && se.Message.Subscribe != nil {
			return se.To
		}
	}
	return netip.AddrPort{}
}

func TestNewInterestsRenewSubscription(t *testing.T) {
	Convey("A subscriber whose interests change renews its subscription at the next tick", t, func() {
		gs := New(Settings{
			Self:      Peer{Address: addressOf(99)},
			Bucket:    NewBucket(BudgetBytesPerSecond, BudgetBurstBytes, began),
			Interests: []Interest{{Kind: KindHost, First: 2, Last: 2}},
		}, rand.New(rand.NewPCG(1, 99)), began)
		gs.SetPeers([]Peer{{Address: addressOf(0)}})
		now := began.Add(time.Second)
		So(subscribeCount(gs.Tick(now)), ShouldEqual, 1)
		now = now.Add(SubscribeInterval / 10)
		So(subscribeCount(gs.Tick(now)), ShouldEqual, 0)
		gs.SetInterests([]Interest{{Kind: KindHost, First: 2, Last: 5}})
		So(subscribeCount(gs.Tick(now)), ShouldEqual, 1)
	})
}
