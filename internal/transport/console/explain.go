package console

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/coordination/change"
	"corneltiller.dev/corneltiller/internal/protocol/command"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// explain says why something is as it is, or what a change would do.
func (co *Console) explain(ctx context.Context, ex *command.Explain) error {
	if ex.Change != nil {
		ou, err := co.commit(ctx, change.Request{Edits: []change.Edit{ex.Change.Edit()}, DryRun: true})
		if err != nil {
			return err
		}
		return co.print(newOutcome(ou))
	}
	_, decoded, _, err := co.read(ctx)
	if err != nil {
		return err
	}
	if ex.Flow != nil {
		return co.explainFlow(ctx, decoded, ex.Flow)
	}
	st, _ := co.Fleet.Ask(ctx, command.Query{Records: true})
	switch {
	case len(ex.Address) > 0:
		return co.print(explainAddress(decoded, st, ex.Address[0]))
	case len(ex.Host) > 0:
		return co.print(explainHost(decoded, st, ex.Host[0]))
	default:
		sv := decoded.Service(ex.Service)
		if sv == nil {
			return errors.Wrapf(catalog.ErrUnknown, "service %q", ex.Service)
		}
		return co.print(&Lines{Lines: explainService(decoded, st, *sv)})
	}
}

// explainFlow prints how a balancer would steer a new flow.
func (co *Console) explainFlow(ctx context.Context, decoded *catalog.Configuration, fp *command.FlowPath) error {
	sv, ok := decoded.ServiceAt(fp.Service[0])
	if !ok {
		return errors.Wrapf(catalog.ErrUnknown, "service address %s", fp.Service[0])
	}
	st, err := co.Fleet.Ask(ctx, command.Query{Flow: &command.FlowQuery{Service: sv.ID, Caller: fp.Caller[0]}})
	if err != nil {
		return err
	}
	return co.print(&Lines{Lines: st.Path})
}

func explainAddress(decoded *catalog.Configuration, st command.Status, address netip.AddrPort) *Lines {
	if sv, ok := decoded.ServiceAt(address); ok {
		lines := []string{fmt.Sprintf("%s belongs to service %s of %s", address, sv.Name, sv.Firm)}
		return &Lines{Lines: append(lines, explainService(decoded, st, sv)...)}
	}
	for _, re := range decoded.Retired {
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

func explainService(decoded *catalog.Configuration, st command.Status, sv catalog.Service) []string {
	lines := []string{fmt.Sprintf("service %s may be served by hosts in %s", sv.Name, joinRanges(sv.Hosts))}
	for _, cl := range sv.Classes {
		lines = append(lines, "class "+classText(cl))
	}
	for _, ho := range st.Hosts {
		if ho.Service == sv.ID {
			lines = append(lines, explainRecord(decoded, ho))
		}
	}
	return lines
}

// explainRecord says whether the host takes new work and why not.
func explainRecord(decoded *catalog.Configuration, ho register.Host) string {
	sv, known := decoded.ServiceByID(ho.Service)
	ru := decoded.RuleFor(ho.Address.Addr())
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
		return text + "no new work, it says so itself"
	case ru.Weight != register.FullWeight:
		return text + fmt.Sprintf("takes new work at %d%% of its weight by the rule for %s", ru.Weight, ru.Hosts)
	default:
		return text + "takes new work"
	}
}

func explainHost(decoded *catalog.Configuration, st command.Status, host netip.Addr) *Lines {
	var lines []string
	for i := range decoded.Services {
		if sv := &decoded.Services[i]; sv.MayServe(host) {
			lines = append(lines, fmt.Sprintf("%s may serve service %s", host, sv.Name))
		}
	}
	if len(lines) == 0 {
		lines = append(lines, fmt.Sprintf("%s is in no host range", host))
	}
	if ru := decoded.RuleFor(host); ru.Hosts.IsValid() {
		lines = append(lines, fmt.Sprintf("the rule for %s applies: draining %t, weight %d%%", ru.Hosts, ru.Draining, ru.Weight))
	}
	for _, ho := range st.Hosts {
		if ho.Address.Addr() == host {
			lines = append(lines, explainRecord(decoded, ho))
		}
	}
	return &Lines{Lines: lines}
}
