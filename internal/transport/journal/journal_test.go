package journal

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// blockedOutput is an output that blocks all writes until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
	largest int
}

func (bo *blockedOutput) Write(data []byte) (int, error) {
	<-bo.release
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.largest = max(bo.largest, len(data))
	return bo.got.Write(data)
}

func (bo *blockedOutput) text() string {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	return bo.got.String()
}

func TestWriterNeverBlocks(t *testing.T) {
	Convey("Lines are dropped and counted while the output blocks", t, func() {
		out := &blockedOutput{release: make(chan struct{})}
		wr := New(out)
		line := strings.Repeat("x", 99) + "\n"
		for range 3 * maxBuffered / len(line) {
			n, err := wr.Write([]byte(line))
			So(n, ShouldEqual, len(line))
			So(err, ShouldBeNil)
		}
		wr.Close()
		close(out.release)
		<-wr.done
		So(len(out.text()), ShouldBeLessThanOrEqualTo, 2*maxBuffered+len(line))
		So(out.text(), ShouldContainSubstring, "Log lines left out count=")
	})
	Convey("Lines are written whole and in order, in writes that are atomic on a pipe", t, func() {
		out := &blockedOutput{release: make(chan struct{})}
		close(out.release)
		wr := New(out)
		var want strings.Builder
		for i := range 500 {
			line := fmt.Sprintf("line %d %s\n", i, strings.Repeat("y", i%50))
			want.WriteString(line)
			_, err := wr.Write([]byte(line))
			So(err, ShouldBeNil)
		}
		wr.Close()
		<-wr.done
		So(out.text(), ShouldEqual, want.String())
		So(out.largest, ShouldBeLessThanOrEqualTo, maxAtomicWrite)
	})
}
