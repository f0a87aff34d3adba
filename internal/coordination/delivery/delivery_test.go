package delivery

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/state/register"
)

var began = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// testCluster is a few nodes, in three failure domains, whose messages are
// delivered as soon as they are sent.
type testCluster struct {
	now   time.Time
	count int
	nodes map[netip.AddrPort]*Gossip
	// drops, if set, reports whether a message is lost.
	drops func(Message) bool
	// sent counts the bytes sent, by sender.
	sent map[netip.AddrPort]int
}

func addressOf(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 7443)
}

func newTestCluster(count int) *testCluster {
	tc := &testCluster{now: began, count: count, nodes: map[netip.AddrPort]*Gossip{}, sent: map[netip.AddrPort]int{}}
	var peers []Peer
	for number := range count {
		peers = append(peers, Peer{Address: addressOf(number), Domain: fmt.Sprint(number % 3)})
	}
	for number, pe := range peers {
		rng := rand.New(rand.NewPCG(1, uint64(number)))
		bucket := NewBucket(BudgetBytesPerSecond, BudgetBurstBytes, began)
		gs := New(Settings{Self: pe, Bucket: bucket}, rng, began)
		gs.SetPeers(peers)
		tc.nodes[pe.Address] = gs
	}
	return tc
}

// deliver delivers the messages of the actions and of the answers to them.
func (tc *testCluster) deliver(from netip.AddrPort, acts []Action) {
	for _, act := range acts {
		se, ok := act.(Send)
		if !ok {
			continue
		}
		tc.sent[from] += se.Message.Size() + FrameOverheadBytes
		if to := tc.nodes[se.To]; to != nil && (tc.drops == nil || !tc.drops(se.Message)) {
			tc.deliver(se.To, to.Receive(from, se.Message, tc.now))
		}
	}
}

// advance advances the time in steps of 100 ms, with a tick of each node.
func (tc *testCluster) advance(span time.Duration) {
	for end := tc.now.Add(span); tc.now.Before(end); tc.now = tc.now.Add(100 * time.Millisecond) {
		for number := range tc.count {
			tc.deliver(addressOf(number), tc.nodes[addressOf(number)].Tick(tc.now))
		}
	}
}

// item returns a host item; its scope is the number modulo 5.
func item(number int, sequence uint64) Item {
	return Item{
		Revision: register.Revision{Incarnation: 1, Sequence: sequence},
		Kind:     KindHost,
		Key:      Key(fmt.Sprint("host-", number)),
		Scope:    uint32(number % 5),
		Body:     make([]byte, 40),
	}
}

// equal reports whether all nodes hold the same items.
func (tc *testCluster) equal() bool {
	for _, gs := range tc.nodes {
		if gs.table.Root() != tc.nodes[addressOf(0)].table.Root() {
			return false
		}
	}
	return true
}

func TestTableMerge(t *testing.T) {
	Convey("Tables with the same items are equal whatever the order and repetition of puts", t, func() {
		ascending, descending := NewTable(), NewTable()
		for number := range 200 {
			ascending.Put(item(number%50, uint64(number/50)), began)
		}
		for number := 199; number >= 0; number-- {
			descending.Put(item(number%50, uint64(number/50)), began)
			descending.Put(item(number%50, uint64(number/50)), began)
		}
		So(ascending.Root(), ShouldEqual, descending.Root())
		So(ascending.Len(), ShouldEqual, 50)
		newest, _ := descending.Get(item(3, 0).Identity(), began)
		So(newest.Sequence, ShouldEqual, 3)
	})
	Convey("An older item never replaces a newer one", t, func() {
		ta := NewTable()
		So(ta.Put(item(1, 5), began), ShouldBeTrue)
		So(ta.Put(item(1, 4), began), ShouldBeFalse)
		So(ta.Put(item(1, 5), began), ShouldBeFalse)
	})
	Convey("An expired item is dropped and no longer counts in the sums", t, func() {
		ta := NewTable()
		expiring := item(1, 1)
		expiring.RemainingSeconds = 10
		ta.Put(expiring, began)
		aged, _ := ta.Get(expiring.Identity(), began.Add(4*time.Second))
		So(aged.RemainingSeconds, ShouldEqual, 6)
		So(ta.DropExpired(began.Add(9*time.Second)), ShouldBeEmpty)
		So(ta.DropExpired(began.Add(10*time.Second)), ShouldHaveLength, 1)
		So(ta.Root(), ShouldEqual, 0)
	})
}

func TestDigestsRepairLostDeltas(t *testing.T) {
	Convey("Digests make tables equal again after every delta was lost for a while", t, func() {
		tc := newTestCluster(6)
		tc.drops = func(msg Message) bool { return msg.Delta != nil }
		for number := range 300 {
			address := addressOf(number % 6)
			acts, err := tc.nodes[address].Publish(item(number, 1), tc.now)
			So(err, ShouldBeNil)
			tc.deliver(address, acts)
		}
		tc.advance(3 * time.Second)
		So(tc.equal(), ShouldBeFalse)
		tc.drops = nil
		tc.advance(2 * time.Minute)
		So(tc.equal(), ShouldBeTrue)
		So(tc.nodes[addressOf(0)].table.Len(), ShouldEqual, 300)
	})
}

func TestBudgetLimitsSender(t *testing.T) {
	Convey("No node sends more than its budget when more is queued", t, func() {
		tc := newTestCluster(5)
		for number := range 3000 {
			acts, err := tc.nodes[addressOf(0)].Publish(item(number, 1), tc.now)
			So(err, ShouldBeNil)
			tc.deliver(addressOf(0), acts)
		}
		for second := range 20 {
			tc.advance(time.Second)
			for address, sent := range tc.sent {
				if sent > BudgetBurstBytes+BudgetBytesPerSecond*(second+1) {
					So(address.String(), ShouldEqual, "within budget")
				}
			}
		}
		So(tc.sent[addressOf(0)], ShouldBeGreaterThan, 20*BudgetBytesPerSecond/2)
	})
}

func TestUrgentItemsGoFirst(t *testing.T) {
	Convey("An urgent item is sent before queued items and without a tick", t, func() {
		tc := newTestCluster(4)
		for number := range 500 {
			_, err := tc.nodes[addressOf(0)].Publish(item(number, 1), tc.now)
			So(err, ShouldBeNil)
		}
		urgent := item(900, 1)
		urgent.Urgent = true
		acts, err := tc.nodes[addressOf(0)].Publish(urgent, tc.now)
		So(err, ShouldBeNil)
		tc.deliver(addressOf(0), acts)
		for _, gs := range tc.nodes {
			_, ok := gs.table.Get(urgent.Identity(), tc.now)
			So(ok, ShouldBeTrue)
		}
	})
	Convey("An item too large for a message is refused", t, func() {
		large := item(1, 1)
		large.Body = make([]byte, MaxMessageBytes)
		_, err := newTestCluster(2).nodes[addressOf(0)].Publish(large, began)
		So(err, ShouldNotBeNil)
	})
}

func TestSubscriberHoldsOnlyItsInterests(t *testing.T) {
	Convey("A subscriber receives the items of its interests and no others", t, func() {
		tc := newTestCluster(3)
		agent := addressOf(99)
		gs := New(Settings{
			Self:      Peer{Address: agent},
			Bucket:    NewBucket(BudgetBytesPerSecond, BudgetBurstBytes, began),
			Interests: []Interest{{Kind: KindHost, First: 2, Last: 2}},
		}, rand.New(rand.NewPCG(1, 99)), began)
		gs.SetPeers([]Peer{{Address: addressOf(0)}, {Address: addressOf(1)}})
		tc.nodes[agent] = gs
		for number := range 100 {
			acts, _ := tc.nodes[addressOf(2)].Publish(item(number, 1), tc.now)
			tc.deliver(addressOf(2), acts)
		}
		for range 300 {
			tc.advance(100 * time.Millisecond)
			tc.deliver(agent, gs.Tick(tc.now))
		}
		So(gs.table.Len(), ShouldEqual, 20)
		for _, it := range gs.table.Items(tc.now) {
			So(it.Scope, ShouldEqual, 2)
		}
	})
}

func TestSizeBoundsEncoding(t *testing.T) {
	Convey("A message's Size is at least its encoded size", t, func() {
		it := item(1, 1<<63)
		it.Incarnation, it.Scope, it.Urgent, it.RemainingSeconds = 1<<63, 1<<31, true, 1<<31
		versions := make([]Version, maxVersions)
		for ii := range versions {
			versions[ii] = Version{Revision: it.Revision, IdentityHash: 1 << 63}
		}
		in := Interest{Kind: KindHost, First: 1 << 31, Last: 1 << 31, Sum: 1 << 63}
		for _, msg := range []Message{
			{Delta: &Delta{Items: []Item{it, it, it}}},
			{Digest: &Digest{Depth: 3, Path: 255, Sums: make([]uint64, fanOut)}},
			{Listing: &Listing{Interest: in, First: 1 << 63, Last: 1 << 63, Versions: versions}},
			{Request: &Request{IdentityHashes: []uint64{1 << 63, 1 << 62}}},
			{Subscribe: &Subscribe{Interests: []Interest{in, in}}},
		} {
			body, err := cbor.Marshal(msg)
			So(err, ShouldBeNil)
			So(len(body), ShouldBeLessThanOrEqualTo, msg.Size())
			var back Message
			So(cbor.Unmarshal(body, &back), ShouldBeNil)
			So(back, ShouldResemble, msg)
		}
	})
}

func TestMalformedMessagesAreIgnored(t *testing.T) {
	Convey("Messages with values out of range are not answered", t, func() {
		gs := newTestCluster(2).nodes[addressOf(0)]
		for _, msg := range []Message{
			{},
			{Digest: &Digest{Depth: 9, Path: 1, Sums: make([]uint64, fanOut)}},
			{Digest: &Digest{Depth: 2, Path: 16, Sums: make([]uint64, fanOut)}},
			{Digest: &Digest{Depth: 1, Sums: []uint64{1}}},
			{Listing: &Listing{Interest: Interest{Kind: KindHost, Last: 1 << 31}}},
			{Subscribe: &Subscribe{Interests: []Interest{{Kind: KindHost, First: 9, Last: 1}}}},
			{Subscribe: &Subscribe{Interests: make([]Interest, MaxInterests+1)}},
		} {
			So(gs.Receive(addressOf(1), msg, began), ShouldBeEmpty)
		}
	})
}
