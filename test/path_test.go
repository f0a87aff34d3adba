package test

import (
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/standin/backend"
)

// TestWholePath sends a request to each service through fabric, balancer, agent and
// backend server.
func TestWholePath(t *testing.T) {
	fl := startFleet(t)
	convey.Convey("A request to a service is answered by one of that service's hosts", t, func() {
		for i, name := range []string{"yardline", "ledgerwash"} {
			output, code := fl.call(i, "-X", "POST", "-d", "rug 12", "-H", "Trial-Identity:"+name, "/bookings")
			convey.So(code, convey.ShouldEqual, 0)
			_, body, _ := strings.Cut(output, "200 OK ")
			answer := decode[backend.Answer](t, body)
			convey.So(answer.Identity, convey.ShouldEqual, name)
			convey.So(answer.Service, convey.ShouldEqual, name)
		}
	})
}
