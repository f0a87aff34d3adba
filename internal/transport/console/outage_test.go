package console_test

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/transport/console"
)

// changeTimeout is how long an operator waits for a change during an outage of the
// store.
const changeTimeout = 500 * time.Millisecond

func TestChangeAfterAnOutage(t *testing.T) {
	Convey("Given a change that was interrupted during an outage of the store, which has ended", t, func() {
		se, glenrug, _ := newOperators(t)
		_, err := glenrug.run("INITIALIZE OWNER " + ownerClause("glenrug"))
		So(err, ShouldBeNil)
		_, err = glenrug.run("CREATE SERVICE yardline FOR FIRM Glenrug ADDRESS 192.0.2.1:443 HOSTS 10.0.0.0/8")
		So(err, ShouldBeNil)
		se.SetOutage(true)
		ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
		defer cancel()
		err = glenrug.Run(ctx, "test", "SET CLASS first OF yardline URGENT PATHS /first")
		So(err, ShouldWrap, console.ErrRefused)
		So(err.Error(), ShouldContainSubstring, "nothing was changed")
		se.SetOutage(false)

		Convey("the next change is accepted", func() {
			text, err := glenrug.run("SET CLASS second OF yardline URGENT PATHS /second")
			So(text, ShouldContainSubstring, "accepted")
			So(err, ShouldBeNil)
		})
		Convey("the next change is accepted even if the answer to its write is lost", func() {
			se.DropWriteAnswers(1)
			text, err := glenrug.run("SET CLASS second OF yardline URGENT PATHS /second")
			So(text, ShouldContainSubstring, "accepted")
			So(err, ShouldBeNil)
		})
	})
}
