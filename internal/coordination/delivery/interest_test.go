package delivery

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// subscribes returns the number of subscriptions among the actions.
func subscribes(acts []Action) int {
	count := 0
	for _, ac := range acts {
		if se, ok := ac.(Send); ok && se.Message.Subscribe != nil {
			count++
		}
	}
	return count
}

func TestFirstViewDoesNotWaitForTheBudget(t *testing.T) {
	Convey("A new subscriber gets its first view while the publisher's budget is spent", t, func() {
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
				// Others take whatever the budget gives.
			}
			run(subscriber, su.Tick(now), now)
			run(publisher, pu.Tick(now), now)
		}
		So(len(su.Table().Items(now)), ShouldEqual, 30)
		So(sent, ShouldBeLessThan, FirstViewBytes)
	})
}

func TestSubscriberLeavesAPublisherThatCannotBeReached(t *testing.T) {
	Convey("It subscribes to another peer soon, not after the term", t, func() {
		gs := New(Settings{
			Self: Peer{Address: addressOf(99)}, Bucket: NewBudget(began),
			Interests: []Interest{{Kind: KindHost, First: 2, Last: 2}},
		}, rand.New(rand.NewPCG(1, 99)), began)
		gs.SetPeers([]Peer{{Address: addressOf(0)}, {Address: addressOf(1)}})
		now := began.Add(time.Second)
		first := publisherOf(gs.Tick(now))
		gs.SendFailed(first, now)
		So(subscribes(gs.Tick(now)), ShouldEqual, 0)
		second := publisherOf(gs.Tick(now.Add(ResubscribeInterval)))
		So(second.IsValid(), ShouldBeTrue)
		So(second, ShouldNotEqual, first)
	})
}

// publisherOf returns whom a subscription among the actions goes to.
func publisherOf(acts []Action) netip.AddrPort {
	for _, ac := range acts {
		if se, ok := ac.(Send); ok && se.Message.Subscribe != nil {
			return se.To
		}
	}
	return netip.AddrPort{}
}

func TestNewInterestsAreSubscribedToAtOnce(t *testing.T) {
	Convey("A subscriber whose interests change renews its subscription at the next tick", t, func() {
		gs := New(Settings{
			Self:      Peer{Address: addressOf(99)},
			Bucket:    NewBucket(BudgetBytesPerSecond, BudgetBurstBytes, began),
			Interests: []Interest{{Kind: KindHost, First: 2, Last: 2}},
		}, rand.New(rand.NewPCG(1, 99)), began)
		gs.SetPeers([]Peer{{Address: addressOf(0)}})
		now := began.Add(time.Second)
		So(subscribes(gs.Tick(now)), ShouldEqual, 1)
		now = now.Add(SubscribeInterval / 10)
		So(subscribes(gs.Tick(now)), ShouldEqual, 0)
		gs.SetInterests([]Interest{{Kind: KindHost, First: 2, Last: 5}})
		So(subscribes(gs.Tick(now)), ShouldEqual, 1)
	})
}
