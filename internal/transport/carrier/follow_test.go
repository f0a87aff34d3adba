package carrier

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// silentStore answers nothing until the store is back; each call ends lateBy after its
// deadline then.
type silentStore struct {
	back   time.Time
	lateBy time.Duration
}

// ask waits for the answer to a call with the deadline, and returns an error if none came.
func (ss silentStore) ask(deadline time.Time) error {
	if time.Now().Before(ss.back) {
		time.Sleep(time.Until(deadline.Add(ss.lateBy)))
		return errStore
	}
	return nil
}

func (ss silentStore) store(version uint64) Store {
	return Store{
		Routes: func(context.Context) (*catalog.Routes, Position, error) {
			return &catalog.Routes{Version: version}, Position{Revision: version}, ss.ask(time.Now())
		},
		Watch: func(_ context.Context, _ Position, deadline time.Time) (*catalog.Routes, Position, error) {
			return &catalog.Routes{Version: version + 1}, Position{Revision: version + 1}, ss.ask(deadline)
		},
	}
}

func TestChangeMadeDuringSilenceOfTheStoreIsReadSoonAfter(t *testing.T) {
	Convey("However long the store was silent, it is read within the longest pause and one short call", t, func() {
		for away := 4 * time.Second; away < 8*time.Second; away += 50 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				ss := silentStore{back: time.Now().Add(away), lateBy: callTimeout}
				st := ss.store(2)
				st.Routes = silentStore{}.store(1).Routes
				no := openNode(t, st)
				var late time.Duration
				no.onRoutes = func(now time.Time, ro *catalog.Routes) {
					if ro.Version > 1 {
						late = now.Sub(ss.back)
						cancel()
					}
				}
				if err := no.followRoutes(ctx); err != nil {
					t.Fatal(err)
				}
				if late > maxBackoff+callTimeout {
					t.Errorf("away for %s: read %s after the store was back", away, late)
				}
			})
		}
	})
}
