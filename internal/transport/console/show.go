package console

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/change"
	"corneltiller.dev/corneltiller/internal/protocol/command"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// defaultHistory is the number of entries that SHOW HISTORY lists if the
// statement names none.
const defaultHistory = 20

// show executes a SHOW statement.
func (co *Console) show(ctx context.Context, sh *command.Show) error {
	switch {
	case sh.InForce:
		return co.showInForce(ctx)
	case sh.Hosts != nil:
		return co.showHosts(ctx, sh.Hosts.Service)
	case sh.Balancers:
		return co.showBalancers(ctx)
	case sh.Flows:
		return co.showFlows(ctx)
	case sh.Suspects:
		return co.showSuspects(ctx)
	case sh.Change != "":
		return co.showChangeStatus(ctx, change.Identity(sh.Change), false)
	case sh.Diff:
		return co.showDiff(ctx)
	}
	sn, cfg, storeTime, err := co.readConfiguration(ctx)
	if err != nil {
		return err
	}
	switch {
	case sh.Say:
		return co.print(newSay(cfg, storeTime))
	case sh.Services:
		return co.print(servicesTable(cfg))
	case sh.Owners:
		return co.print(ownersTable(cfg))
	case sh.Calendar:
		return co.print(calendarTable(cfg))
	case sh.Rules:
		return co.print(rulesTable(cfg))
	case sh.Retired:
		return co.print(retiredTable(cfg))
	default:
		return co.showHistory(ctx, sn, sh.History.Last)
	}
}

// showSuspects prints the balancers and agents that the answering balancer, as a
// watcher of their heartbeats, suspects to have failed.
func (co *Console) showSuspects(ctx context.Context) error {
	st, err := co.Fleet.Ask(ctx, command.Query{Suspects: true})
	if err != nil {
		return err
	}
	if len(st.Suspects) == 0 {
		return co.print(newMessage("the balancer suspects nobody"))
	}
	return co.print(&Lines{Lines: st.Suspects})
}

func newSay(cfg *catalog.Configuration, storeTime time.Time) *Say {
	sa := &Say{Say: cfg.Say, Version: cfg.Version.String(), Lapsed: !storeTime.Before(cfg.Say.Until)}
	at := cfg.Say.Until
	if sa.Lapsed {
		at = storeTime
	}
	if tu, ok := cfg.TurnAt(at); ok && tu.Owner != cfg.Say.Owner {
		sa.Next = tu.Owner
	}
	return sa
}

func servicesTable(cfg *catalog.Configuration) *Table[catalog.Service] {
	return &Table[catalog.Service]{
		Records: cfg.Services,
		header:  "NUMBER\tNAME\tFIRM\tADDRESSES\tHOSTS\tCLASSES",
		row: func(sv catalog.Service) string {
			var classes []string
			for _, cl := range sv.Classes {
				classes = append(classes, classText(cl))
			}
			return fmt.Sprintf("%d\t%s\t%s\t%s\t%s\t%s", sv.ID, sv.Name, sv.Firm,
				joinAddresses(sv.Addresses), joinRanges(sv.Hosts), strings.Join(classes, "; "))
		},
	}
}

func classText(cl catalog.Class) string {
	text := cl.Name + " deferrable"
	if cl.Urgent {
		text = cl.Name + " urgent"
	}
	if len(cl.Paths) > 0 {
		text += " " + strings.Join(cl.Paths, " ")
	}
	if cl.Limit > 0 {
		text += fmt.Sprintf(" limit %d", cl.Limit)
	}
	return text
}

func joinRanges(ranges []netip.Prefix) string {
	var texts []string
	for _, ra := range ranges {
		texts = append(texts, ra.String())
	}
	return strings.Join(texts, ", ")
}

func ownersTable(cfg *catalog.Configuration) *Table[catalog.Owner] {
	return &Table[catalog.Owner]{
		Records: cfg.Owners,
		header:  "OWNER\tKEY",
		row:     func(ow catalog.Owner) string { return ow.Name + "\t" + command.FormatKey(ow.Key) },
	}
}

func calendarTable(cfg *catalog.Configuration) *Table[catalog.Turn] {
	return &Table[catalog.Turn]{
		Records: cfg.Calendar,
		header:  "FROM\tOWNER",
		row:     func(tu catalog.Turn) string { return tu.From.Format("2006-01") + "\t" + tu.Owner },
	}
}

func rulesTable(cfg *catalog.Configuration) *Table[catalog.HostRule] {
	return &Table[catalog.HostRule]{
		Records: cfg.Rules,
		header:  "HOSTS\tDRAINING\tWEIGHT",
		row: func(ru catalog.HostRule) string {
			return fmt.Sprintf("%s\t%t\t%d%%", ru.Hosts, ru.Draining, ru.Weight)
		},
	}
}

func retiredTable(cfg *catalog.Configuration) *Table[catalog.Retirement] {
	return &Table[catalog.Retirement]{
		Records: cfg.Retired,
		header:  "ADDRESS\tLAST SERVICE\tSINCE",
		row: func(re catalog.Retirement) string {
			return fmt.Sprintf("%s\t%d\t%s", re.Address, re.Service, re.Since)
		},
	}
}

// showHistory prints the latest changes, at most the given number, or
// defaultHistory if that is not positive. It reads history pages if the root
// holds too few entries.
func (co *Console) showHistory(ctx context.Context, sn *change.Snapshot, last int) error {
	if last <= 0 {
		last = defaultHistory
	}
	entries := slices.Clone(sn.Root.History)
	for i := len(sn.Root.Pages) - 1; i >= 0 && len(entries) < last; i-- {
		found, err := co.Store.Get(ctx, sn.Root.Pages[i].Name)
		if err != nil {
			return err
		}
		page, err := change.DecodePage(found.Value)
		if err != nil {
			return err
		}
		entries = append(page, entries...)
	}
	entries = entries[max(0, len(entries)-last):]
	return co.print(&Table[change.Entry]{
		Records: entries,
		header:  "VERSION\tAT\tOWNER\tCHANGE\tWHAT",
		row: func(en change.Entry) string {
			return fmt.Sprintf("%s\t%s\t%s\t%s\t%s", en.Version, en.At.Format(time.RFC3339), en.Owner, en.Identity, en.Summary)
		},
	})
}

func (co *Console) showInForce(ctx context.Context) error {
	st, err := co.Fleet.Ask(ctx, command.Query{})
	if err != nil {
		return err
	}
	return co.print(&InForce{Report: st.InForce, Expected: st.Expected})
}

func (co *Console) showHosts(ctx context.Context, service string) error {
	st, err := co.Fleet.Ask(ctx, command.Query{Records: true})
	if err != nil {
		return err
	}
	names := co.serviceNames(ctx)
	hosts := slices.DeleteFunc(st.Hosts, func(ho register.Host) bool {
		return service != "" && names(ho.Service) != service
	})
	return co.print(&Table[register.Host]{
		Records: hosts,
		header:  "HOST\tSERVICE\tDOMAIN\tSTATE\tWEIGHT\tLOAD",
		row: func(ho register.Host) string {
			return fmt.Sprintf("%s\t%s\t%s\t%s\t%d%%\t%d%%", ho.Address, names(ho.Service), ho.Domain, ho.State, ho.Weight, ho.Load)
		},
	})
}

// serviceNames returns a function that returns a service's name, or its number
// if the configuration can't be read or lacks the service.
func (co *Console) serviceNames(ctx context.Context) func(register.ServiceID) string {
	_, cfg, _, err := co.readConfiguration(ctx)
	return func(id register.ServiceID) string {
		if err == nil {
			if sv, ok := cfg.ServiceByID(id); ok {
				return sv.Name
			}
		}
		return fmt.Sprint(id)
	}
}

func (co *Console) showBalancers(ctx context.Context) error {
	st, err := co.Fleet.Ask(ctx, command.Query{Records: true})
	if err != nil {
		return err
	}
	return co.print(&Table[register.Balancer]{
		Records: st.Balancers,
		header:  "BALANCER\tCONTROL\tDOMAIN\tSTATE\tVERSION",
		row: func(ba register.Balancer) string {
			return fmt.Sprintf("%s\t%s\t%s\t%s\t%d.%d", ba.Address, ba.Control, ba.Domain, ba.State, ba.Term, ba.Version)
		},
	})
}

// HostFlows holds the number of open flows of one host.
type HostFlows struct {
	Host  netip.AddrPort
	Flows int
	// Failure is the error if the host's agent did not answer.
	Failure string `json:",omitempty"`
}

func (co *Console) showFlows(ctx context.Context) error {
	st, err := co.Fleet.Ask(ctx, command.Query{Records: true})
	if err != nil {
		return err
	}
	return co.print(&Table[HostFlows]{
		Records: co.Fleet.Flows(ctx, st),
		header:  "HOST\tFLOWS",
		row: func(hf HostFlows) string {
			if hf.Failure != "" {
				return hf.Host.String() + "\t" + hf.Failure
			}
			return fmt.Sprintf("%s\t%d", hf.Host, hf.Flows)
		},
	})
}

// showDiff prints what the open batch would alter in the configuration in the
// store.
func (co *Console) showDiff(ctx context.Context) error {
	if !co.inBatch {
		return ErrNoBatch
	}
	ou, err := co.submit(ctx, change.Request{Edits: co.batch, DryRun: true})
	if err != nil {
		return err
	}
	return co.print(newOutcome(ou))
}
