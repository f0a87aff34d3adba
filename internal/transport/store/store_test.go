package store_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/protocol/object"
	"corneltiller.dev/corneltiller/internal/standin/platform"
	"corneltiller.dev/corneltiller/internal/transport/store"
)

func open(t *testing.T) (*platform.Server, *store.Client) {
	se := platform.New()
	hs := httptest.NewServer(se)
	t.Cleanup(hs.Close)
	address := netip.MustParseAddrPort(hs.Listener.Addr().String())
	return se, &store.Client{Address: address}
}

func TestClient(t *testing.T) {
	ctx := context.Background()
	Convey("A client of the store", t, func() {
		se, cl := open(t)
		first, err := cl.Put(ctx, "shards/a b", []byte("one"), object.Absent)
		So(err, ShouldBeNil)

		Convey("reads what it wrote, with the store's time", func() {
			found, err := cl.Get(ctx, "shards/a b")
			So(err, ShouldBeNil)
			So(string(found.Value), ShouldEqual, "one")
			So(found.Version, ShouldEqual, first.Version)
			So(found.Asked.IsZero(), ShouldBeFalse)
		})
		Convey("gets a conflict for a second creation and for another version", func() {
			_, err := cl.Put(ctx, "shards/a b", []byte("two"), object.Absent)
			So(errors.Is(err, object.ErrConflict), ShouldBeTrue)
			_, err = cl.Put(ctx, "shards/a b", []byte("two"), first.Version+7)
			So(errors.Is(err, object.ErrConflict), ShouldBeTrue)
			So(errors.Is(cl.Delete(ctx, "shards/a b", first.Version+7), object.ErrConflict), ShouldBeTrue)
		})
		Convey("lists objects without their values and deletes them", func() {
			li, err := cl.List(ctx, "shards/")
			So(err, ShouldBeNil)
			So(li.Objects, ShouldHaveLength, 1)
			So(li.Objects[0].Size, ShouldEqual, 3)
			So(cl.Delete(ctx, "shards/a b", first.Version), ShouldBeNil)
			_, err = cl.Get(ctx, "shards/a b")
			So(errors.Is(err, object.ErrNotFound), ShouldBeTrue)
		})
		Convey("gets the next version from a watch, which is one call", func() {
			before := se.Calls().Total()
			seen := make(chan object.Object, 1)
			go func() {
				found, _ := cl.Watch(ctx, "shards/a b", first.Version, time.Now().Add(30*time.Second))
				seen <- found
			}()
			for se.Calls().Watches == 0 {
				time.Sleep(time.Millisecond)
			}
			_, err := cl.Put(ctx, "shards/a b", []byte("two"), first.Version)
			So(err, ShouldBeNil)
			So(string((<-seen).Value), ShouldEqual, "two")
			So(se.Calls().Total()-before, ShouldEqual, 2)
		})
		Convey("reports a lost answer as unanswered, though the write took effect", func() {
			se.DropWriteAnswers(1)
			_, err := cl.Put(ctx, "shards/a b", []byte("two"), first.Version)
			So(errors.Is(err, object.ErrUnanswered), ShouldBeTrue)
			found, err := cl.Get(ctx, "shards/a b")
			So(err, ShouldBeNil)
			So(string(found.Value), ShouldEqual, "two")
			So(se.Calls().Writes, ShouldEqual, 2)
		})
		Convey("reports an outage as unanswered and a refusal as refused", func() {
			se.SetOutage(true)
			_, err := cl.Get(ctx, "shards/a b")
			So(errors.Is(err, object.ErrUnanswered), ShouldBeTrue)
			se.SetFaults(platform.Faults{Refusal: true})
			_, err = cl.Put(ctx, "shards/a b", []byte("two"), first.Version)
			So(errors.Is(err, object.ErrRefused), ShouldBeTrue)
		})
		Convey("is refused a value that exceeds the limit", func() {
			_, err := cl.Put(ctx, "big", make([]byte, object.MaxValueBytes+1), object.Absent)
			So(errors.Is(err, object.ErrTooLarge), ShouldBeTrue)
		})
	})
}

func TestGatewayErrorIsUnanswered(t *testing.T) {
	Convey("An error page of a gateway counts as unanswered, not as refused", t, func() {
		hs := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
			http.Error(rw, "bad gateway", http.StatusBadGateway)
		}))
		defer hs.Close()
		cl := &store.Client{Address: netip.MustParseAddrPort(hs.Listener.Addr().String())}
		_, err := cl.Put(context.Background(), "root", nil, object.Absent)
		So(errors.Is(err, object.ErrUnanswered), ShouldBeTrue)
	})
}
