package delivery

import (
	"math/rand/v2"
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
