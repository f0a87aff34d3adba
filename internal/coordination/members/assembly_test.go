package members

import (
	"bytes"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// pagesOf returns the messages with the pages of a configuration that consists of copies of
// the letter.
func pagesOf(version uint64, letter string, count int) []Message {
	var list []Message
	for i := range count {
		data := bytes.Repeat([]byte(letter), bytesInPage)
		list = append(list, Message{Page: &Page{Version: version, Index: uint16(i), Count: uint16(count), Data: data}})
	}
	return list
}

// configurationsIn returns the data of the configurations that the actions report.
func configurationsIn(list []Action) [][]byte {
	var found [][]byte
	for _, ac := range list {
		if ac.Kind == KindConfiguration {
			found = append(found, ac.Data)
		}
	}
	return found
}

// newReceiver returns a balancer that knows two others.
func newReceiver() *View {
	vi := NewView(Record{Address: addressOf(1), Role: RoleBalancer, Domain: "a"})
	for _, number := range []int{2, 3} {
		vi.Handle(began, addressOf(number), Message{Greeting: &Greeting{Record: Record{Address: addressOf(number), Role: RoleBalancer, Domain: "a"}}})
	}
	return vi
}

// Pages that two senders had encoded in different ways were put together; the result was
// refused, and its version still counted as in force.
func TestPagesOfTwoSenders(t *testing.T) {
	Convey("Each configuration consists of the pages of one sender, whatever is lost and in which order pages come", t, func() {
		rapid.Check(t, func(rt *rapid.T) {
			vi := newReceiver()
			count := rapid.IntRange(1, 6).Draw(rt, "count")
			type sent struct {
				from int
				msg  Message
			}
			var all []sent
			for from, letter := range map[int]string{2: "b", 3: "c"} {
				for _, msg := range pagesOf(7, letter, count) {
					all = append(all, sent{from, msg})
				}
			}
			slices.SortFunc(all, func(a, b sent) int { return 100*(a.from-b.from) + int(a.msg.Page.Index) - int(b.msg.Page.Index) })
			for _, it := range rapid.Permutation(append(all, all...)).Draw(rt, "order") {
				if rapid.IntRange(0, 3).Draw(rt, "lost") == 0 {
					continue
				}
				for _, data := range configurationsIn(vi.Handle(began, addressOf(it.from), it.msg)) {
					if len(data) != count*bytesInPage || len(bytes.Trim(data, string(data[:1]))) > 0 {
						rt.Fatalf("a configuration of mixed pages")
					}
				}
			}
		})
	})
	Convey("A configuration that its receiver refuses isn't in force, and is sent again", t, func() {
		vi := newReceiver()
		for _, msg := range pagesOf(7, "b", 1) {
			So(configurationsIn(vi.Handle(began, addressOf(2), msg)), ShouldHaveLength, 1)
		}
		So(vi.Version(), ShouldEqual, 0)
		gr := &Greeting{Record: Record{Address: addressOf(3), Role: RoleBalancer, Domain: "a"}, Version: 7}
		// It isn't asked for again at once.
		So(vi.Handle(began, addressOf(3), Message{Greeting: gr}), ShouldBeEmpty)
		later := began.Add(GreetInterval)
		list := vi.Handle(later, addressOf(3), Message{Greeting: gr})
		So(list, ShouldHaveLength, 1)
		So(list[0].Message.Greeting.WantAnswer, ShouldBeTrue)
		So(list[0].Message.Greeting.Version, ShouldEqual, 0)
		for _, msg := range pagesOf(7, "c", 1) {
			list = vi.Handle(later, addressOf(3), msg)
		}
		So(configurationsIn(list), ShouldHaveLength, 1)
		vi.Accept(7, list[0].Data, false)
		So(vi.Version(), ShouldEqual, 7)
	})
	Convey("A sender is asked again for the pages that are missing, and not for ever", t, func() {
		vi := newReceiver()
		vi.Handle(began, addressOf(2), pagesOf(7, "b", 2)[0])
		now := began
		asked := 0
		for range 20 {
			now = now.Add(pageRetry)
			for _, ac := range vi.Tick(now) {
				if ac.Kind == KindSend && ac.To == addressOf(2) && ac.Message.Greeting.WantAnswer && ac.Message.Greeting.Version == 0 {
					asked++
				}
			}
		}
		// The regular greetings go to both members in turn.
		So(asked, ShouldBeBetweenOrEqual, maxPageRetries, maxPageRetries+3)
		So(vi.assemblies, ShouldBeEmpty)
	})
	Convey("The pages of a few senders are kept at most", t, func() {
		vi := newReceiver()
		for number := range 50 {
			vi.Handle(began, addressOf(2+number), pagesOf(7, "b", 2)[0])
		}
		So(len(vi.assemblies), ShouldEqual, maxAssemblies)
	})
}

// With one datagram in twenty lost, the pages of 60 rarely come all at once.
func TestLargeConfigurationWithLoss(t *testing.T) {
	Convey("A configuration of 60 pages reaches all members within a second although one datagram in twenty is lost", t, func() {
		for seed := range uint64(5) {
			fl := newFleet(seed)
			var all []int
			for i := 1; i <= 6; i++ {
				all = append(all, i)
			}
			for i := 101; i <= 118; i++ {
				all = append(all, i)
			}
			for _, number := range all {
				fl.start(number, 1, all, nil)
			}
			fl.run(3 * time.Second)
			fl.loss = 0.05
			data := make([]byte, 60*bytesInPage)
			fl.perform(addressOf(1), fl.nodes[addressOf(1)].Publish(7, data, true))
			fl.perform(addressOf(2), fl.nodes[addressOf(2)].Publish(7, data, true))
			fl.run(time.Second)
			for _, vi := range fl.nodes {
				So(vi.Version(), ShouldEqual, 7)
			}
		}
	})
}

// A process that had skipped versions ignored what members knew of the same version, and
// went on without the services that addresses had in them.
func TestPagesOfTheVersionOfAPartialConfiguration(t *testing.T) {
	vi := newReceiver()
	receive := func(letter string) (received []string) {
		for _, msg := range pagesOf(7, letter, 2) {
			for _, data := range configurationsIn(vi.Handle(began, addressOf(2), msg)) {
				received = append(received, string(data[:1]))
			}
		}
		return received
	}
	own := func(letter string) (data []byte) {
		for _, msg := range pagesOf(7, letter, 2) {
			data = append(data, msg.Page.Data...)
		}
		return data
	}
	Convey("They are taken while the configuration is partial, unless they are the same", t, func() {
		vi.Publish(6, []byte("six"), false)
		vi.Publish(7, own("a"), true)
		So(receive("a"), ShouldBeEmpty)
		So(receive("b"), ShouldResemble, []string{"b"})
		vi.Accept(7, own("b"), false)
		So(receive("c"), ShouldBeEmpty)
	})
	Convey("A complete configuration of the same version replaces a partial one, and is sent to members", t, func() {
		vi = newReceiver()
		vi.Publish(7, own("a"), true)
		vi.Publish(7, own("b"), false)
		vi.Publish(7, own("c"), true)
		So(vi.data, ShouldResemble, own("b"))
	})
}
