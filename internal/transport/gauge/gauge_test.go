package gauge

import (
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

var update = flag.Bool("update", false, "write the golden files")

func get(bo *Registry, path string) *httptest.ResponseRecorder {
	re := httptest.NewRecorder()
	bo.ServeHTTP(re, httptest.NewRequest(http.MethodGet, path, nil))
	return re
}

func TestBoard(t *testing.T) {
	convey.Convey("A board", t, func() {
		bo := NewRegistry()
		convey.Convey("writes its metrics for scrapers", func() {
			bo.Count("DatagramsForwarded", 3)
			bo.Set("HostsKnown", 10)
			for i := range 100 {
				bo.Observe("RequestMilliseconds", "Glenrug", time.Duration(i+1)*time.Millisecond)
			}
			text := get(bo, "/metrics").Body.String()
			if *update {
				convey.So(os.WriteFile("testdata/metrics.golden", []byte(text), 0o600), convey.ShouldBeNil)
			}
			golden, err := os.ReadFile("testdata/metrics.golden")
			convey.So(err, convey.ShouldBeNil)
			convey.So(text, convey.ShouldEqual, string(golden))
			convey.So(get(bo, "/Metrics").Body.String(), convey.ShouldContainSubstring, `"DatagramsForwarded":{"count":3}`)
		})
		convey.Convey("tells readiness by its status", func() {
			convey.So(get(bo, "/Ready").Code, convey.ShouldEqual, http.StatusServiceUnavailable)
			bo.SetReady(true)
			convey.So(get(bo, "/Ready").Code, convey.ShouldEqual, http.StatusOK)
		})
		convey.Convey("knows no other path", func() {
			convey.So(get(bo, "/other").Code, convey.ShouldEqual, http.StatusNotFound)
		})
	})
}
