package console

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/coordination/change"
	"corneltiller.dev/corneltiller/internal/coordination/rollout"
	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// result is the result of a statement. It is printed as a JSON object for
// scripts, under its fields' names, or as text for people.
type result interface {
	writeText(wr io.Writer)
}

// print writes the result to the console's output.
func (co *Console) print(re result) error {
	if !co.JSON {
		re.writeText(co.Out)
		return nil
	}
	if err := json.NewEncoder(co.Out).Encode(re); err != nil {
		return errors.Wrap(err, "print result")
	}
	return nil
}

// Message is a result that consists of text.
type Message struct {
	Message string
}

func newMessage(text string) Message {
	return Message{Message: text}
}

func (me Message) writeText(wr io.Writer) {
	fmt.Fprintln(wr, me.Message)
}

// InForce reports which versions the live instances have in force.
type InForce struct {
	rollout.Report
	// Expected is the number of live instances.
	Expected int
}

// complete reports whether every live instance has the version, or all have the
// same newer one, in force.
func (in *InForce) complete(version catalog.Version) bool {
	return !in.Newest.Less(version) && in.Current >= in.Expected && in.Instances >= in.Expected
}

func (in *InForce) writeText(wr io.Writer) {
	fmt.Fprintf(wr, "version %s is in force at %d of %d instances\n", in.Newest, in.Current, max(in.Expected, in.Instances))
	if in.Lowest != in.Newest {
		fmt.Fprintf(wr, "  the lowest version in force is %s\n", in.Lowest)
	}
	if len(in.Laggards) > 0 {
		fmt.Fprintf(wr, "  still without it: %s\n", joinAddresses(in.Laggards))
	}
}

func joinAddresses(addresses []netip.AddrPort) string {
	var texts []string
	for _, ad := range addresses {
		texts = append(texts, ad.String())
	}
	return strings.Join(texts, ", ")
}

// Outcome reports how a change ended. The fields have the meaning of those of
// change.Outcome. InForce is set for an accepted change if a balancer answered.
type Outcome struct {
	Outcome    string
	Version    string
	Identity   change.Identity `json:",omitempty"`
	Reason     string          `json:",omitempty"`
	Holder     string          `json:",omitempty"`
	Until      time.Time       `json:",omitzero"`
	DryRun     bool            `json:",omitempty"`
	Difference []string        `json:",omitempty"`
	InForce    *InForce        `json:",omitempty"`
}

func newOutcome(ou change.Outcome) *Outcome {
	return &Outcome{
		Outcome:    ou.Kind.String(),
		Version:    ou.Version.String(),
		Identity:   ou.Identity,
		Reason:     ou.Reason,
		Holder:     ou.Holder,
		Until:      ou.Until,
		DryRun:     ou.DryRun,
		Difference: ou.Difference,
	}
}

func (ou *Outcome) writeText(wr io.Writer) {
	switch {
	case ou.Outcome == change.OutcomeAccepted.String() && ou.DryRun:
		fmt.Fprintf(wr, "would be accepted as version %s; nothing was written\n", ou.Version)
	case ou.Outcome == change.OutcomeAccepted.String() && ou.Reason != "":
		fmt.Fprintf(wr, "version %s: %s\n", ou.Version, ou.Reason)
	case ou.Outcome == change.OutcomeAccepted.String():
		fmt.Fprintf(wr, "accepted as version %s (change %s)\n", ou.Version, ou.Identity)
	case ou.Outcome == change.OutcomeUnknown.String():
		fmt.Fprintf(wr, "unknown: %s\n", ou.Reason)
	default:
		fmt.Fprintf(wr, "refused: %s\n", ou.Reason)
	}
	for _, line := range ou.Difference {
		fmt.Fprintln(wr, "  "+line)
	}
	if ou.InForce != nil {
		ou.InForce.writeText(wr)
	}
}

// Fate reports whether a change took effect.
type Fate struct {
	Identity change.Identity
	Fate     string
	// Entry is the change's entry in the history, if it was accepted.
	Entry *change.Entry `json:",omitempty"`
}

func newFate(identity change.Identity, status change.Status, en change.Entry) *Fate {
	re := &Fate{Identity: identity}
	switch status {
	case change.StatusAccepted:
		re.Fate = "accepted"
		re.Entry = &en
	case change.StatusAborted:
		re.Fate = "refused: it did not and will not take effect"
	case change.StatusPending:
		re.Fate = "open: it has not taken effect but still may; SETTLE CHANGE rules that out"
	case change.StatusStoreBehind:
		re.Fate = "unknown: the store is older than the change; REINSTATE the version in force"
	default:
		re.Fate = "unknown: the history no longer reaches back to it"
	}
	return re
}

func (fa *Fate) writeText(wr io.Writer) {
	fmt.Fprintf(wr, "change %s: %s\n", fa.Identity, fa.Fate)
	if fa.Entry != nil {
		fmt.Fprintf(wr, "  version %s by %s at %s: %s\n", fa.Entry.Version, fa.Entry.Owner, fa.Entry.At.Format(time.RFC3339), fa.Entry.Summary)
	}
}

// Say reports which owner may change the configuration, in which term and until
// when.
type Say struct {
	catalog.Say
	// Version is the version of the configuration that was read.
	Version string
	// Next is the owner that the calendar names for the time after Until, or for
	// now if Lapsed is set. It is empty if the calendar names nobody or the same
	// owner.
	Next string `json:",omitempty"`
	// Lapsed is set if Until has passed by the store's clock. From then on the
	// next owner may take the say.
	Lapsed bool
}

func (sa *Say) writeText(wr io.Writer) {
	fmt.Fprintf(wr, "%s holds the say in term %d until %s\n", sa.Owner, sa.Term, sa.Until.Format(time.RFC3339))
	switch {
	case sa.Lapsed && sa.Next != "":
		fmt.Fprintf(wr, "  that time is over: the next change of %s takes the say\n", sa.Next)
	case sa.Next != "":
		fmt.Fprintf(wr, "  %s follows\n", sa.Next)
	}
}

// Table is a list of records.
type Table[T any] struct {
	Records []T
	// header holds the titles of the columns of the text form, and row returns the
	// columns of one record. The columns are separated by tabs.
	header string
	row    func(T) string
}

func (ta *Table[T]) writeText(wr io.Writer) {
	tw := tabwriter.NewWriter(wr, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, ta.header)
	for _, re := range ta.Records {
		fmt.Fprintln(tw, ta.row(re))
	}
	_ = tw.Flush()
}

// Lines is a result of several lines of text.
type Lines struct {
	Lines []string
}

func (li *Lines) writeText(wr io.Writer) {
	if len(li.Lines) == 0 {
		fmt.Fprintln(wr, "nothing")
	}
	for _, line := range li.Lines {
		fmt.Fprintln(wr, line)
	}
}
