package carrier

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/members"
	"corneltiller.dev/corneltiller/internal/protocol/explanation"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
	"corneltiller.dev/corneltiller/internal/state/settings"
	"corneltiller.dev/corneltiller/internal/transport/gauge"
)

const explainAddress = "198.18.0.1:443"

// askRegistry asks a balancer with the registry about a flow to the address.
func askRegistry(t *testing.T, rg *gauge.Registry, address string) (int, explanation.Answer) {
	re := httptest.NewRecorder()
	rg.ServeHTTP(re, httptest.NewRequest(http.MethodGet, "/Explain?caller=100.64.0.25:1047&address="+address, nil))
	var an explanation.Answer
	if err := json.Unmarshal(re.Body.Bytes(), &an); err != nil {
		t.Errorf("status %d, answer %q: %v", re.Code, re.Body, err)
	}
	return re.Code, an
}

// It guards against an answer that looks as valid as any while the balancer knows
// nothing, or nothing recent.
func TestBalancerExplains(t *testing.T) {
	Convey("A balancer says where a flow would go, and when its view can't be relied on", t, func() {
		synctest.Test(t, func(t *testing.T) {
			st := settings.CarrierBalancer{Carrier: settings.Carrier{
				Name: "edge-1", Domain: "a", Peers: netip.MustParseAddrPort("127.0.0.1:0"),
				Callers: netip.MustParseAddrPort("127.0.0.1:0"),
			}}
			rg := gauge.NewRegistry()
			ba, err := OpenBalancer(BalancerConfig{Settings: st, Metrics: rg, OpeningTimeout: time.Second})
			if err != nil {
				t.Fatal(err)
			}
			defer ba.close()
			defer ba.callerConn.Close()
			expect := func(address string, status int, kind explanation.ProblemKind, outcome explanation.Outcome, hosts int) {
				t.Helper()
				code, an := askRegistry(t, rg, address)
				got := explanation.ProblemKind("")
				if an.Problem != nil {
					got = an.Problem.Kind
				}
				if code != status || got != kind || an.Outcome != outcome || len(an.Hosts) != hosts || an.Balancer != "edge-1" {
					t.Errorf("status %d, want %d with problem %q, outcome %q and %d hosts: %+v, problem %+v",
						code, status, kind, outcome, hosts, an, an.Problem)
				}
			}
			expect(explainAddress, http.StatusServiceUnavailable, explanation.NoConfiguration, explanation.OutcomeWaits, 0)

			ba.publish([]*catalog.Routes{{Version: 7, Addresses: map[netip.AddrPort]catalog.Route{
				netip.MustParseAddrPort(explainAddress): {Services: catalog.WeightedServices{{Service: "yardline", Weight: 1}}},
			}}})
			expect(explainAddress, http.StatusServiceUnavailable, explanation.StaleView, explanation.OutcomeWaits, 0)

			from := netip.MustParseAddrPort("127.0.0.1:9")
			ba.mu.Lock()
			ba.performMemberActions(time.Now(), ba.view.Handle(time.Now(), from, members.Message{Greeting: &members.Greeting{
				Record: members.Record{
					Revision: register.Revision{Incarnation: 1}, Address: from, Role: members.RoleAgent, Domain: "a",
					Service: "yardline", State: register.StateReady, Slots: 2,
				},
				Version: 7,
			}}))
			ba.mu.Unlock()
			// The store has not confirmed the configuration yet.
			expect(explainAddress, http.StatusServiceUnavailable, explanation.StaleView, explanation.OutcomeSent, 1)

			ba.confirm(time.Now())
			expect(explainAddress, http.StatusOK, "", explanation.OutcomeSent, 1)
			expect("198.18.0.9:443", http.StatusNotFound, explanation.UnknownAddress, explanation.OutcomeRefused, 0)

			time.Sleep(maxConfirmationAge)
			expect(explainAddress, http.StatusOK, "", explanation.OutcomeSent, 1)
			time.Sleep(time.Millisecond)
			expect(explainAddress, http.StatusServiceUnavailable, explanation.StaleView, explanation.OutcomeSent, 1)
			expect("198.18.0.9:443", http.StatusNotFound, explanation.UnknownAddress, explanation.OutcomeRefused, 0)
		})
	})
}
