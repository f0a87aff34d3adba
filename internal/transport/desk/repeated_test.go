package desk

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/standin/repeater"
)

func TestLateCopyOfAnAnswer(t *testing.T) {
	Convey("A second copy of an answer of the backend server never reaches the next caller", t, func() {
		server, err := repeater.Start(func(re *http.Request) string { return "answer to " + re.URL.Path })
		So(err, ShouldBeNil)
		defer server.Close()
		gr := newAgentGroup(t, 1, false)
		ag := gr.agents[0]
		ag.cfg.Backend = server.Address()
		for _, path := range []string{"/first", "/second", "/third"} {
			recorder := httptest.NewRecorder()
			ag.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, strings.NewReader("")))
			So(recorder.Code, ShouldEqual, http.StatusOK)
			So(recorder.Body.String(), ShouldEqual, "answer to "+path)
		}
	})
}
