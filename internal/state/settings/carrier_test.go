package settings_test

import (
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/state/settings"
)

const carrierBalancer = `{
  "Name": "b", "Domain": "a", "Peers": "192.0.2.1:7000", "Ready": "192.0.2.1:7001", "Metrics": "192.0.2.1:7002",
  "Store": "192.0.2.9:80", "Callers": "192.0.2.1:443", "Control": "192.0.2.1:7003"PLACEMENT
}`

func TestPlacement(t *testing.T) {
	load := func(placement string) (settings.CarrierBalancer, error) {
		text := strings.Replace(carrierBalancer, "PLACEMENT", placement, 1)
		return settings.Parse("balancer.json", []byte(text), settings.DefaultCarrierBalancer())
	}
	convey.Convey("Hosts are ranked by counts unless the settings ask for remaining work", t, func() {
		st, err := load("")
		convey.So(err, convey.ShouldBeNil)
		convey.So(st.ByRemainingWork(), convey.ShouldBeFalse)
		st, err = load(`, "Placement": "RemainingWork"`)
		convey.So(err, convey.ShouldBeNil)
		convey.So(st.ByRemainingWork(), convey.ShouldBeTrue)
	})
	convey.Convey("Another value is a fault", t, func() {
		for _, value := range []string{`""`, `"remainingwork"`, `1`} {
			_, err := load(`, "Placement": ` + value)
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(err.Error(), convey.ShouldContainSubstring, "Placement")
		}
	})
}
