package archive_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/archive"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func newClient() *archive.Client {
	return archive.New(archive.DefaultPolicy, rand.New(rand.NewPCG(7, 7)))
}

func kinds(actions []archive.Action) []archive.ActionKind {
	var found []archive.ActionKind
	for _, ac := range actions {
		found = append(found, ac.Kind)
	}
	return found
}

func TestClient(t *testing.T) {
	put := archive.Call{ID: 1, Kind: archive.KindPut}
	get := archive.Call{ID: 2, Kind: archive.KindGet}
	Convey("Given a client", t, func() {
		cl := newClient()
		Convey("a write without an answer is completed and not retried", func() {
			cl.Submit(start, put, start.Add(time.Minute))
			actions := cl.Tick(start.Add(2 * time.Second))
			So(actions, ShouldHaveLength, 1)
			So(actions[0].Answer.Result, ShouldEqual, archive.ResultUnanswered)
			So(cl.Tick(start.Add(30*time.Second)), ShouldBeEmpty)
		})
		Convey("a write that the store refused is retried", func() {
			cl.Submit(start, put, start.Add(time.Minute))
			cl.HandleAnswer(start, archive.Answer{ID: 1, Attempt: 1, Result: archive.ResultRefused})
			actions := cl.Tick(start.Add(100 * time.Millisecond))
			So(actions[0].Kind, ShouldEqual, archive.ActionSend)
			So(actions[0].Attempt, ShouldEqual, 2)
		})
		Convey("a late answer to an expired attempt is ignored", func() {
			cl.Submit(start, get, start.Add(time.Minute))
			cl.Tick(start.Add(2 * time.Second))
			cl.Tick(start.Add(3 * time.Second))
			So(cl.HandleAnswer(start.Add(3*time.Second), archive.Answer{ID: 2, Attempt: 1, Result: archive.ResultDone}), ShouldBeEmpty)
		})
		Convey("consecutive failures open the circuit and one successful probe closes it", func() {
			at := start
			cl.Submit(at, get, at.Add(time.Hour))
			for attempt := 1; attempt <= 3; attempt++ {
				cl.HandleAnswer(at, archive.Answer{ID: 2, Attempt: attempt, Result: archive.ResultUnanswered})
				at = at.Add(time.Second)
				if attempt < 3 {
					cl.Tick(at)
				}
			}
			So(cl.State(), ShouldEqual, archive.StateOpen)
			other := archive.Call{ID: 3, Kind: archive.KindGet}
			actions := cl.Submit(at, other, at.Add(time.Hour))
			sent := 0
			for _, ki := range kinds(actions) {
				if ki == archive.ActionSend {
					sent++
				}
			}
			So(sent, ShouldEqual, 1)
			So(cl.State(), ShouldEqual, archive.StateProbing)
			cl.HandleAnswer(at, archive.Answer{ID: 2, Attempt: 4, Result: archive.ResultDone})
			So(cl.State(), ShouldEqual, archive.StateClosed)
		})
		Convey("no more calls are sent than the token bucket holds", func() {
			sent := 0
			for id := uint64(10); id < 1010; id++ {
				for _, ki := range kinds(cl.Submit(start, archive.Call{ID: id, Kind: archive.KindGet}, start.Add(time.Minute))) {
					if ki == archive.ActionSend {
						sent++
					}
				}
			}
			So(sent, ShouldEqual, 200)
		})
		Convey("a call that cannot be sent before its deadline is completed as refused", func() {
			for id := uint64(10); id < 210; id++ {
				cl.Submit(start, archive.Call{ID: id, Kind: archive.KindGet}, start.Add(time.Minute))
			}
			cl.Submit(start, put, start.Add(time.Millisecond))
			actions := cl.Tick(start.Add(time.Millisecond))
			So(actions[0].Kind, ShouldEqual, archive.ActionComplete)
			So(actions[0].Answer.Result, ShouldEqual, archive.ResultRefused)
		})
	})
}
