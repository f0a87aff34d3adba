package journal

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// stuck is an output whose reader doesn't read until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
	largest int
}

func (st *stuck) Write(data []byte) (int, error) {
	<-st.release
	st.mu.Lock()
	defer st.mu.Unlock()
	st.largest = max(st.largest, len(data))
	return st.got.Write(data)
}

func (st *stuck) text() string {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.got.String()
}

func TestJournalNeverBlocks(t *testing.T) {
	Convey("With a reader that doesn't read, lines are left out and counted", t, func() {
		out := &stuck{release: make(chan struct{})}
		jo := New(out)
		line := strings.Repeat("x", 99) + "\n"
		for range 3 * maxBuffered / len(line) {
			n, err := jo.Write([]byte(line))
			So(n, ShouldEqual, len(line))
			So(err, ShouldBeNil)
		}
		jo.Close()
		close(out.release)
		<-jo.done
		So(len(out.text()), ShouldBeLessThanOrEqualTo, 2*maxBuffered+len(line))
		So(out.text(), ShouldContainSubstring, "Log lines left out count=")
	})
	Convey("Lines come whole and in order, in writes that a pipe takes at once", t, func() {
		out := &stuck{release: make(chan struct{})}
		close(out.release)
		jo := New(out)
		var want strings.Builder
		for i := range 500 {
			line := fmt.Sprintf("line %d %s\n", i, strings.Repeat("y", i%50))
			want.WriteString(line)
			_, err := jo.Write([]byte(line))
			So(err, ShouldBeNil)
		}
		jo.Close()
		<-jo.done
		So(out.text(), ShouldEqual, want.String())
		So(out.largest, ShouldBeLessThanOrEqualTo, atomicWrite)
	})
}
