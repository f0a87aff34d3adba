package console

import (
	"context"
	"fmt"
	"io"
	"net/netip"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/coordination/change"
	"corneltiller.dev/corneltiller/internal/protocol/command"
	"corneltiller.dev/corneltiller/internal/protocol/explanation"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// explain prints the configuration of an address, host or service and its effect
// on hosts, how a new flow would be steered, or what a change would alter.
func (co *Console) explain(ctx context.Context, ex *command.Explain) error {
	if ex.Change != nil {
		ou, err := co.submit(ctx, change.Request{Edits: []change.Edit{ex.Change.Edit()}, DryRun: true})
		if err != nil {
			return err
		}
		return co.print(newOutcome(ou))
	}
	_, cfg, _, err := co.readConfiguration(ctx)
	if err != nil {
		return err
	}
	if ex.Flow != nil {
		return co.explainFlow(ctx, cfg, ex.Flow)
	}
	// If no balancer answers, the explanation lacks the hosts' records.
	st, _ := co.Fleet.Ask(ctx, command.Query{Records: true})
	switch {
	case len(ex.Address) > 0:
		return co.print(explainAddress(cfg, st, ex.Address[0]))
	case len(ex.Host) > 0:
		return co.print(explainHost(cfg, st, ex.Host[0]))
	default:
		sv := cfg.Service(ex.Service)
		if sv == nil {
			return errors.Wrapf(catalog.ErrUnknown, "service %q", ex.Service)
		}
		return co.print(&Lines{Lines: explainService(cfg, st, *sv)})
	}
}

// explainFlow prints the steps in which a balancer would steer a new flow.
func (co *Console) explainFlow(ctx context.Context, cfg *catalog.Configuration, fp *command.FlowPath) error {
	sv, ok := cfg.ServiceAt(fp.Service[0])
	if !ok {
		return errors.Wrapf(catalog.ErrUnknown, "service address %s", fp.Service[0])
	}
	st, err := co.Fleet.Ask(ctx, command.Query{Flow: &command.FlowQuery{
		Service: sv.ID, Caller: fp.Caller[0], Address: fp.Service[0],
	}})
	if err != nil {
		return err
	}
	if st.Explanation == nil {
		// The balancer is of a former build.
		return co.print(&Lines{Lines: st.Path})
	}
	return co.print(&Explanation{Answer: st.Explanation})
}

// Explanation says where a balancer would send a new flow, in the form of the explain
// command.
type Explanation struct {
	*explanation.Answer
}

func (ex *Explanation) writeText(wr io.Writer) {
	ex.WriteText(wr)
	if ex.Problem != nil {
		fmt.Fprintf(wr, "\nnot to be relied on: %s\n", ex.Problem.Text)
	}
}

func explainAddress(cfg *catalog.Configuration, st command.Status, address netip.AddrPort) *Lines {
	if sv, ok := cfg.ServiceAt(address); ok {
		lines := []string{fmt.Sprintf("%s belongs to service %s of %s", address, sv.Name, sv.Firm)}
		return &Lines{Lines: append(lines, explainService(cfg, st, sv)...)}
	}
	for _, re := range cfg.Retired {
		if re.Address == address {
			return &Lines{Lines: []string{
				fmt.Sprintf("%s is retired since version %s; it belonged to service %d", address, re.Since, re.Service),
				fmt.Sprintf("another service may take it once version %s is in force everywhere; the lowest version in force is %s",
					re.Since, st.InForce.Lowest),
			}}
		}
	}
	return &Lines{Lines: []string{fmt.Sprintf("%s belongs to no service", address)}}
}

func explainService(cfg *catalog.Configuration, st command.Status, sv catalog.Service) []string {
	lines := []string{fmt.Sprintf("service %s may be served by hosts in %s", sv.Name, joinRanges(sv.Hosts))}
	for _, cl := range sv.Classes {
		lines = append(lines, "class "+classText(cl))
	}
	for _, ho := range st.Hosts {
		if ho.Service == sv.ID {
			lines = append(lines, explainHostRecord(cfg, ho))
		}
	}
	return lines
}

// explainHostRecord says whether the host takes new work, and if not, why.
func explainHostRecord(cfg *catalog.Configuration, ho register.Host) string {
	sv, known := cfg.ServiceByID(ho.Service)
	ru := cfg.RuleFor(ho.Address.Addr())
	text := fmt.Sprintf("host %s announces service %d, state %s, weight %d%%: ", ho.Address, ho.Service, ho.State, ho.Weight)
	switch {
	case !known:
		return text + "no new work, the service is not configured"
	case !sv.MayServe(ho.Address.Addr()):
		return text + fmt.Sprintf("no new work, it is in no host range of service %s", sv.Name)
	case ru.Draining:
		return text + fmt.Sprintf("no new work, hosts %s are draining", ru.Hosts)
	case ru.Weight == 0:
		return text + fmt.Sprintf("no new work, hosts %s have weight 0", ru.Hosts)
	case !ho.State.TakesNewWork():
		return text + "no new work in the state that it announces"
	case ru.Weight != register.FullWeight:
		return text + fmt.Sprintf("takes new work at %d%% of its weight by the rule for %s", ru.Weight, ru.Hosts)
	default:
		return text + "takes new work"
	}
}

func explainHost(cfg *catalog.Configuration, st command.Status, host netip.Addr) *Lines {
	var lines []string
	for i := range cfg.Services {
		if sv := &cfg.Services[i]; sv.MayServe(host) {
			lines = append(lines, fmt.Sprintf("%s may serve service %s", host, sv.Name))
		}
	}
	if len(lines) == 0 {
		lines = append(lines, fmt.Sprintf("%s is in no host range", host))
	}
	if ru := cfg.RuleFor(host); ru.Hosts.IsValid() {
		lines = append(lines, fmt.Sprintf("the rule for %s applies: draining %t, weight %d%%", ru.Hosts, ru.Draining, ru.Weight))
	}
	for _, ho := range st.Hosts {
		if ho.Address.Addr() == host {
			lines = append(lines, explainHostRecord(cfg, ho))
		}
	}
	return &Lines{Lines: lines}
}
