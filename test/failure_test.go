package test

import (
	"syscall"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// callDuring sends 200 requests over one flow, causes the failure meanwhile, and
// returns the output and exit code of the calls.
func (fl *fleet) callDuring(failure func()) (string, int) {
	type result struct {
		output string
		code   int
	}
	results := make(chan result, 1)
	go func() {
		output, code := fl.call(0, "-n", "200", "/status")
		results <- result{output, code}
	}()
	failure()
	re := <-results
	return re.output, re.code
}

// TestFlowSurvivesBalancerFailures checks that requests over an open flow are still
// answered while a balancer is killed, suspended or replaced.
func TestFlowSurvivesBalancerFailures(t *testing.T) {
	fl := startFleet(t)
	convey.Convey("All requests over a flow are answered", t, func() {
		convey.Convey("while a balancer is killed", func() {
			_, code := fl.callDuring(func() {
				fl.signal("balancer-0", syscall.SIGKILL)
				_ = fl.wait("balancer-0")
			})
			convey.So(code, convey.ShouldEqual, 0)
		})
		convey.Convey("while a balancer is suspended", func() {
			_, code := fl.callDuring(func() {
				fl.signal("balancer-1", syscall.SIGSTOP)
			})
			fl.signal("balancer-1", syscall.SIGCONT)
			convey.So(code, convey.ShouldEqual, 0)
		})
		convey.Convey("while a balancer stops gracefully and is replaced", func() {
			_, code := fl.callDuring(func() {
				fl.signal("balancer-2", syscall.SIGTERM)
				convey.So(fl.wait("balancer-2"), convey.ShouldBeNil)
				fl.start("balancer-2")
			})
			convey.So(code, convey.ShouldEqual, 0)
		})
	})
}
