package store

import (
	"context"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/standin/repeater"
)

func TestLateCopyOfAnAnswer(t *testing.T) {
	Convey("A second copy of an answer of the store isn't taken for the answer to the next call", t, func() {
		server, err := repeater.Start(func(re *http.Request) string { return "value of " + re.URL.Path })
		So(err, ShouldBeNil)
		defer server.Close()
		client := &Client{Address: server.Address()}
		var values []string
		for _, name := range []string{"root", "shards/1", "shards/2"} {
			found, err := client.Get(context.Background(), name)
			So(err, ShouldBeNil)
			values = append(values, string(found.Value))
		}
		So(values[0], ShouldEndWith, "root")
		So(values[1], ShouldEndWith, "shards/1")
		So(values[2], ShouldEndWith, "shards/2")
	})
}
