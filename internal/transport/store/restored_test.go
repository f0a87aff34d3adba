package store_test

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/archive"
	"corneltiller.dev/corneltiller/internal/coordination/change"
)

func TestVersionOfAnEarlierEraDoesNotWriteTheRoot(t *testing.T) {
	Convey("A version of the root that was read before a restore", t, func() {
		se, cl := open(t)
		perform := func(kind archive.Kind, version uint64, value string) archive.Answer {
			ob := archive.Object{Name: change.RootName, Version: version, Value: []byte(value)}
			deadline := time.Now().Add(time.Minute)
			return cl.Perform(context.Background(), archive.Action{Call: archive.Call{ID: 1, Kind: kind, Object: ob}, Deadline: deadline})
		}
		created := perform(archive.KindPut, 0, "one")
		So(created.Result, ShouldEqual, archive.ResultDone)
		backup := se.Backup()
		lost := perform(archive.KindPut, created.Object.Version, "two")
		So(lost.Result, ShouldEqual, archive.ResultDone)
		se.Restore(backup)

		Convey("is refused, and what the store holds can be written with its new version", func() {
			found := perform(archive.KindGet, 0, "")
			So(string(found.Object.Value), ShouldEqual, "one")
			So(perform(archive.KindPut, lost.Object.Version, "three").Result, ShouldEqual, archive.ResultConflict)
			So(perform(archive.KindPut, found.Object.Version, "four").Result, ShouldEqual, archive.ResultDone)
			So(string(perform(archive.KindGet, 0, "").Object.Value), ShouldEqual, "four")
		})
		Convey("is not reported as done if the write took effect before the restore was known", func() {
			So(perform(archive.KindPut, created.Object.Version, "three").Result, ShouldEqual, archive.ResultUnanswered)
			So(string(perform(archive.KindGet, 0, "").Object.Value), ShouldEqual, "three")
		})
	})
}
