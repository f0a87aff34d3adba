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

// ring is a few nodes whose messages are delivered in order of sending.
type ring struct {
	now   time.Time
	count int
	nodes map[netip.AddrPort]*Gossip
	// lost reports whether a message is lost.
	lost func(Message) bool
	sent map[netip.AddrPort]int
}

func addressOf(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 7443)
}

func newRing(count int) *ring {
	ri := &ring{now: began, count: count, nodes: map[netip.AddrPort]*Gossip{}, sent: map[netip.AddrPort]int{}}
	var peers []Peer
	for number := range count {
		peers = append(peers, Peer{Address: addressOf(number), Domain: fmt.Sprint(number % 3)})
	}
	for number, pe := range peers {
		rng := rand.New(rand.NewPCG(1, uint64(number)))
		bucket := NewBucket(BudgetBytesPerSecond, BudgetBurstBytes, began)
		gs := New(Settings{Self: pe, Bucket: bucket}, rng, began)
		gs.SetPeers(peers)
		ri.nodes[pe.Address] = gs
	}
	return ri
}

// run delivers what the actions send, and all that follows.
func (ri *ring) run(from netip.AddrPort, acts []Action) {
	for _, act := range acts {
		se, ok := act.(Send)
		if !ok {
			continue
		}
		ri.sent[from] += se.Message.Size() + FrameOverheadBytes
		if to := ri.nodes[se.To]; to != nil && (ri.lost == nil || !ri.lost(se.Message)) {
			ri.run(se.To, to.Receive(from, se.Message, ri.now))
		}
	}
}

// pass lets the time pass by ticks of 100 ms.
func (ri *ring) pass(span time.Duration) {
	for end := ri.now.Add(span); ri.now.Before(end); ri.now = ri.now.Add(100 * time.Millisecond) {
		for number := range ri.count {
			ri.run(addressOf(number), ri.nodes[addressOf(number)].Tick(ri.now))
		}
	}
}

func item(number int, sequence uint64) Item {
	return Item{
		Revision: register.Revision{Incarnation: 1, Sequence: sequence},
		Kind:     KindHost,
		Key:      Key(fmt.Sprint("host-", number)),
		Scope:    uint32(number % 5),
		Body:     make([]byte, 40),
	}
}

func (ri *ring) equal() bool {
	for _, gs := range ri.nodes {
		if gs.table.Root() != ri.nodes[addressOf(0)].table.Root() {
			return false
		}
	}
	return true
}

func TestTableIsAJoin(t *testing.T) {
	Convey("Tables are equal whatever the order and number of the items", t, func() {
		forth, back := NewTable(), NewTable()
		for number := range 200 {
			forth.Put(item(number%50, uint64(number/50)), began)
		}
		for number := 199; number >= 0; number-- {
			back.Put(item(number%50, uint64(number/50)), began)
			back.Put(item(number%50, uint64(number/50)), began)
		}
		So(forth.Root(), ShouldEqual, back.Root())
		So(forth.Len(), ShouldEqual, 50)
		newest, _ := back.Get(item(3, 0).Identity(), began)
		So(newest.Sequence, ShouldEqual, 3)
	})
	Convey("An older item never replaces a newer one", t, func() {
		ta := NewTable()
		So(ta.Put(item(1, 5), began), ShouldBeTrue)
		So(ta.Put(item(1, 4), began), ShouldBeFalse)
		So(ta.Put(item(1, 5), began), ShouldBeFalse)
	})
	Convey("An expired item is dropped and its sums with it", t, func() {
		ta := NewTable()
		mortal := item(1, 1)
		mortal.RemainingSeconds = 10
		ta.Put(mortal, began)
		aged, _ := ta.Get(mortal.Identity(), began.Add(4*time.Second))
		So(aged.RemainingSeconds, ShouldEqual, 6)
		So(ta.DropExpired(began.Add(9*time.Second)), ShouldBeEmpty)
		So(ta.DropExpired(began.Add(10*time.Second)), ShouldHaveLength, 1)
		So(ta.Root(), ShouldEqual, 0)
	})
}

func TestDigestsRepairWhatDeltasLost(t *testing.T) {
	Convey("Nodes that lost every delta for a time become equal again", t, func() {
		ri := newRing(6)
		ri.lost = func(msg Message) bool { return msg.Delta != nil }
		for number := range 300 {
			address := addressOf(number % 6)
			acts, err := ri.nodes[address].Publish(item(number, 1), ri.now)
			So(err, ShouldBeNil)
			ri.run(address, acts)
		}
		ri.pass(3 * time.Second)
		So(ri.equal(), ShouldBeFalse)
		ri.lost = nil
		ri.pass(2 * time.Minute)
		So(ri.equal(), ShouldBeTrue)
		So(ri.nodes[addressOf(0)].table.Len(), ShouldEqual, 300)
	})
}

func TestBudgetBindsTheSender(t *testing.T) {
	Convey("No node sends more than its budget, however much there is to send", t, func() {
		ri := newRing(5)
		for number := range 3000 {
			acts, err := ri.nodes[addressOf(0)].Publish(item(number, 1), ri.now)
			So(err, ShouldBeNil)
			ri.run(addressOf(0), acts)
		}
		for second := range 20 {
			ri.pass(time.Second)
			for address, sent := range ri.sent {
				if sent > BudgetBurstBytes+BudgetBytesPerSecond*(second+1) {
					So(address.String(), ShouldEqual, "within budget")
				}
			}
		}
		So(ri.sent[addressOf(0)], ShouldBeGreaterThan, 20*BudgetBytesPerSecond/2)
	})
}

func TestUrgentItemsGoFirst(t *testing.T) {
	Convey("An urgent item overtakes a backlog and needs no tick", t, func() {
		ri := newRing(4)
		for number := range 500 {
			_, err := ri.nodes[addressOf(0)].Publish(item(number, 1), ri.now)
			So(err, ShouldBeNil)
		}
		urgent := item(900, 1)
		urgent.Urgent = true
		acts, err := ri.nodes[addressOf(0)].Publish(urgent, ri.now)
		So(err, ShouldBeNil)
		ri.run(addressOf(0), acts)
		for _, gs := range ri.nodes {
			_, ok := gs.table.Get(urgent.Identity(), ri.now)
			So(ok, ShouldBeTrue)
		}
	})
	Convey("An item too large for a message is refused", t, func() {
		large := item(1, 1)
		large.Body = make([]byte, MaxMessageBytes)
		_, err := newRing(2).nodes[addressOf(0)].Publish(large, began)
		So(err, ShouldNotBeNil)
	})
}

func TestSubscriberHoldsItsInterestsOnly(t *testing.T) {
	Convey("A subscriber gets the items of its groups and repairs lost ones", t, func() {
		ri := newRing(3)
		agent := addressOf(99)
		gs := New(Settings{
			Self:      Peer{Address: agent},
			Bucket:    NewBucket(BudgetBytesPerSecond, BudgetBurstBytes, began),
			Interests: []Interest{{Kind: KindHost, First: 2, Last: 2}},
		}, rand.New(rand.NewPCG(1, 99)), began)
		gs.SetPeers([]Peer{{Address: addressOf(0)}, {Address: addressOf(1)}})
		ri.nodes[agent] = gs
		for number := range 100 {
			acts, _ := ri.nodes[addressOf(2)].Publish(item(number, 1), ri.now)
			ri.run(addressOf(2), acts)
		}
		for range 300 {
			ri.pass(100 * time.Millisecond)
			ri.run(agent, gs.Tick(ri.now))
		}
		So(gs.table.Len(), ShouldEqual, 20)
		for _, it := range gs.table.Items(ri.now) {
			So(it.Scope, ShouldEqual, 2)
		}
	})
}

func TestSizeBoundsEncoding(t *testing.T) {
	Convey("The charged size bounds the encoded size", t, func() {
		it := item(1, 1<<63)
		it.Incarnation, it.Scope, it.Urgent, it.RemainingSeconds = 1<<63, 1<<31, true, 1<<31
		versions := make([]Version, maxVersions)
		for ii := range versions {
			versions[ii] = Version{Revision: it.Revision, Mark: 1 << 63}
		}
		in := Interest{Kind: KindHost, First: 1 << 31, Last: 1 << 31, Sum: 1 << 63}
		for _, msg := range []Message{
			{Delta: &Delta{Items: []Item{it, it, it}}},
			{Digest: &Digest{Depth: 3, Path: 255, Sums: make([]uint64, fanOut)}},
			{Listing: &Listing{Interest: in, First: 1 << 63, Last: 1 << 63, Versions: versions}},
			{Request: &Request{Marks: []uint64{1 << 63, 1 << 62}}},
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
	Convey("Messages out of range change nothing and answer nothing", t, func() {
		gs := newRing(2).nodes[addressOf(0)]
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
