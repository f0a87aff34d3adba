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

func get(rg *Registry, path string) *httptest.ResponseRecorder {
	re := httptest.NewRecorder()
	rg.ServeHTTP(re, httptest.NewRequest(http.MethodGet, path, nil))
	return re
}

func TestRegistry(t *testing.T) {
	convey.Convey("A registry", t, func() {
		rg := NewRegistry()
		convey.Convey("writes its metrics in the text format", func() {
			rg.Count("DatagramsForwarded", 3)
			rg.Set("HostsKnown", 10)
			for i := range 100 {
				rg.Observe("RequestMilliseconds", "Glenrug", time.Duration(i+1)*time.Millisecond)
			}
			text := get(rg, "/metrics").Body.String()
			if *update {
				convey.So(os.WriteFile("testdata/metrics.golden", []byte(text), 0o600), convey.ShouldBeNil)
			}
			golden, err := os.ReadFile("testdata/metrics.golden")
			convey.So(err, convey.ShouldBeNil)
			convey.So(text, convey.ShouldEqual, string(golden))
			convey.So(get(rg, "/Metrics").Body.String(), convey.ShouldContainSubstring, `"DatagramsForwarded":{"count":3}`)
		})
		convey.Convey("serves the readiness as a status", func() {
			convey.So(get(rg, "/Ready").Code, convey.ShouldEqual, http.StatusServiceUnavailable)
			rg.SetReady(true)
			convey.So(get(rg, "/Ready").Code, convey.ShouldEqual, http.StatusOK)
		})
		convey.Convey("answers other paths with status 404", func() {
			convey.So(get(rg, "/other").Code, convey.ShouldEqual, http.StatusNotFound)
		})
		convey.Convey("serves a path that was added, and no others by it", func() {
			rg.Handle("/Explain", http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) { wr.WriteHeader(http.StatusTeapot) }))
			convey.So(get(rg, "/Explain").Code, convey.ShouldEqual, http.StatusTeapot)
			convey.So(get(rg, "/Explain/other").Code, convey.ShouldEqual, http.StatusNotFound)
			convey.So(get(rg, "/Metrics").Code, convey.ShouldEqual, http.StatusOK)
		})
	})
}
