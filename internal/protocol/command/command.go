// Package command parses the language in which operators query the system and
// change its configuration, and converts the changes into edits of the
// configuration. The grammar is described in docs/operate/commands.md.
//
// The language calls the right to change the configuration the say: one owner
// holds it at a time, and owners take turns by a calendar.
//
// # Usage
//
//	script, err := command.Parse("drain.ctl", "DRAIN HOSTS 10.1.0.0/24; SHOW SAY")
//	for _, st := range script.Statements {
//		if ed, ok := st.Edit(); ok {
//			edits = append(edits, ed)
//		}
//	}
package command

import (
	"net/netip"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/go-faster/errors"
)

// MaxScriptBytes is the largest size of a script in bytes.
const MaxScriptBytes = 4 << 20

// Script is a sequence of statements.
type Script struct {
	Statements []*Statement `parser:"';'* ( @@ ( ';'+ @@ )* ';'* )?"`
}

// Statement is one command. Beside Tokens, exactly one of its fields is set.
type Statement struct {
	// Tokens are the tokens of the statement, comments and white space included.
	Tokens []lexer.Token

	Begin    bool `parser:"  @'BEGIN'"`
	Commit   bool `parser:"| @'COMMIT'"`
	Rollback bool `parser:"| @'ROLLBACK'"`
	DryRun   bool `parser:"| @'DRY' 'RUN'"`
	Help     bool `parser:"| @'HELP'"`
	// Reinstate writes the version in force to a store that lost it and holds an
	// older version or none.
	Reinstate bool `parser:"| @'REINSTATE'"`
	// Settle is the identity of a change with an unknown outcome. If the change may
	// still take effect, it is fenced, so that it no longer can.
	Settle     string      `parser:"| 'SETTLE' 'CHANGE' @(Word|String)"`
	Initialize *Initialize `parser:"| @@"`
	Show       *Show       `parser:"| 'SHOW' @@"`
	Explain    *Explain    `parser:"| 'EXPLAIN' @@"`
	Change     *Change     `parser:"| @@"`
}

// Initialize writes the first configuration, with its first owner, to an empty
// store.
type Initialize struct {
	Owner string `parser:"'INITIALIZE' 'OWNER' @Word"`
	Key   Key    `parser:"'KEY' @(Word|String)"`
}

// Show selects the information to print. Exactly one of its fields is set.
type Show struct {
	Say       bool       `parser:"  @'SAY'"`
	InForce   bool       `parser:"| @'IN' 'FORCE'"`
	Services  bool       `parser:"| @'SERVICES'"`
	Balancers bool       `parser:"| @'BALANCERS'"`
	Flows     bool       `parser:"| @'FLOWS'"`
	Suspects  bool       `parser:"| @'SUSPICIONS'"`
	Owners    bool       `parser:"| @'OWNERS'"`
	Calendar  bool       `parser:"| @'CALENDAR'"`
	Rules     bool       `parser:"| @'RULES'"`
	Retired   bool       `parser:"| @'RETIRED'"`
	Diff      bool       `parser:"| @'DIFF'"`
	Hosts     *HostQuery `parser:"| @@"`
	History   *History   `parser:"| @@"`
	// Change is the identity of the change whose outcome is to be printed.
	Change string `parser:"| 'CHANGE' @(Word|String)"`
}

// HostQuery selects the hosts of a service, or all hosts if Service is empty. Set
// is true if the statement has this form.
type HostQuery struct {
	Set     bool   `parser:"@'HOSTS'"`
	Service string `parser:"( 'OF' @Word )?"`
}

// History selects the latest entries of the change history, as many as Last says;
// Last is zero if the statement gives no number. Set is true if the statement has
// this form.
type History struct {
	Set  bool `parser:"@'HISTORY'"`
	Last int  `parser:"@Word?"`
}

// Explain asks how an address, a host, a service or a new flow is handled and why,
// or what a change would do. Exactly one of its fields is set.
type Explain struct {
	Address AddressList `parser:"  'ADDRESS' @Word"`
	Host    HostList    `parser:"| 'HOST' @Word"`
	Service string      `parser:"| 'SERVICE' @Word"`
	Flow    *FlowPath   `parser:"| 'FLOW' @@"`
	Change  *Change     `parser:"| @@"`
}

// FlowPath identifies a new flow by the addresses of its caller and its service.
// Each list holds one address.
type FlowPath struct {
	Caller  AddressList `parser:"'FROM' @Word"`
	Service AddressList `parser:"'TO' @Word"`
}

// Change is a statement that changes the configuration. Beside Tokens, exactly one
// of its fields is set.
type Change struct {
	// Tokens are the tokens of the change, comments and white space included.
	Tokens []lexer.Token

	CreateService *CreateService `parser:"  'CREATE' 'SERVICE' @@"`
	DeleteService string         `parser:"| 'DELETE' 'SERVICE' @Word"`
	AddAddress    *Addresses     `parser:"| 'ADD' 'ADDRESS' @@"`
	DropAddress   *Addresses     `parser:"| 'REMOVE' 'ADDRESS' @@"`
	AddHosts      *Ranges        `parser:"| 'ADD' 'HOSTS' @@"`
	DropHosts     *Ranges        `parser:"| 'REMOVE' 'HOSTS' @@"`
	SetClass      *SetClass      `parser:"| 'SET' 'CLASS' @@"`
	DropClass     *DropClass     `parser:"| 'REMOVE' 'CLASS' @@"`
	Drain         RangeList      `parser:"| 'DRAIN' 'HOSTS' @Word ( ',' @Word )*"`
	Undrain       RangeList      `parser:"| 'UNDRAIN' 'HOSTS' @Word ( ',' @Word )*"`
	SetWeight     *SetWeight     `parser:"| 'SET' 'WEIGHT' 'OF' 'HOSTS' @@"`
	CreateOwner   *OwnerKey      `parser:"| 'CREATE' 'OWNER' @@"`
	DeleteOwner   string         `parser:"| 'DELETE' 'OWNER' @Word"`
	SetKey        *OwnerKey      `parser:"| 'SET' 'KEY' 'OF' 'OWNER' @@"`
	SetTurn       *SetTurn       `parser:"| 'SET' 'TURN' 'OF' @@"`
	DropTurn      *Month         `parser:"| 'REMOVE' 'TURN' 'FROM' @Word"`
	HandSayTo     string         `parser:"| 'HAND' 'SAY' 'TO' @Word"`
}

// CreateService describes a new service and the firm that it belongs to.
type CreateService struct {
	Name      string      `parser:"@Word"`
	Firm      string      `parser:"'FOR' 'FIRM' @Word"`
	Addresses AddressList `parser:"( 'ADDRESS' @Word ( ',' @Word )* )?"`
	Hosts     RangeList   `parser:"( 'HOSTS' @Word ( ',' @Word )* )?"`
}

// Addresses are addresses to add to a service or to remove from it.
type Addresses struct {
	Addresses AddressList `parser:"@Word ( ',' @Word )*"`
	Service   string      `parser:"( 'TO' | 'FROM' ) @Word"`
}

// Ranges are ranges of hosts to add to a service or to remove from it.
type Ranges struct {
	Hosts   RangeList `parser:"@Word ( ',' @Word )*"`
	Service string    `parser:"( 'TO' | 'FROM' ) @Word"`
}

// SetClass creates or replaces a traffic class of a service. Limit and Weight are
// zero if the statement gives none; the class then has no limit and the weight
// register.FullWeight.
type SetClass struct {
	Name       string   `parser:"@Word"`
	Service    string   `parser:"'OF' @Word"`
	Urgent     bool     `parser:"( @'URGENT'"`
	Deferrable bool     `parser:"| @'DEFERRABLE' )"`
	Paths      []string `parser:"( 'PATHS' @(Word|String) ( ',' @(Word|String) )* )?"`
	Limit      uint32   `parser:"( 'LIMIT' @Word )?"`
	Weight     uint16   `parser:"( 'WEIGHT' @Word )?"`
}

// DropClass removes a traffic class of a service.
type DropClass struct {
	Name    string `parser:"@Word"`
	Service string `parser:"'OF' @Word"`
}

// SetWeight scales the weight that hosts announce, in percent.
type SetWeight struct {
	Hosts  RangeList `parser:"@Word ( ',' @Word )*"`
	Weight uint16    `parser:"'TO' @Word"`
}

// OwnerKey is an owner's name with the owner's public key.
type OwnerKey struct {
	Name string `parser:"@Word"`
	Key  Key    `parser:"( 'KEY' | 'TO' ) @(Word|String)"`
}

// SetTurn adds a turn to the calendar: the owner is to have the say from the start
// of a month on.
type SetTurn struct {
	Owner string `parser:"@Word"`
	From  Month  `parser:"'FROM' @Word"`
}

// Month is a month of the calendar.
type Month struct {
	// First is the first instant of the month in UTC.
	First time.Time
}

// monthLayout is the layout, as of package time, in which operators write a month.
const monthLayout = "2006-01"

// Capture reads a month such as 2026-12.
func (mo *Month) Capture(values []string) error {
	first, err := time.Parse(monthLayout, values[0])
	if err != nil {
		return errors.Errorf("%q is not a month, write it as 2026-12", values[0])
	}
	mo.First = first
	return nil
}

// AddressList is a list of IP addresses with ports.
type AddressList []netip.AddrPort

// Capture appends an address with a port.
func (al *AddressList) Capture(values []string) error {
	address, err := netip.ParseAddrPort(values[0])
	if err != nil {
		return errors.Errorf("%q is not an address with a port", values[0])
	}
	*al = append(*al, address)
	return nil
}

// RangeList is a list of address ranges of hosts.
type RangeList []netip.Prefix

// Capture appends a range in CIDR notation. A single address is a range of one
// host.
func (rl *RangeList) Capture(values []string) error {
	if host, err := netip.ParseAddr(values[0]); err == nil {
		*rl = append(*rl, netip.PrefixFrom(host, host.BitLen()))
		return nil
	}
	ra, err := netip.ParsePrefix(values[0])
	if err != nil {
		return errors.Errorf("%q is not a range of hosts, write it as 10.1.0.0/16", values[0])
	}
	*rl = append(*rl, ra.Masked())
	return nil
}

// HostList is a list of IP addresses of hosts.
type HostList []netip.Addr

// Capture appends the address of a host.
func (hl *HostList) Capture(values []string) error {
	host, err := netip.ParseAddr(values[0])
	if err != nil {
		return errors.Errorf("%q is not an IP address of a host", values[0])
	}
	*hl = append(*hl, host)
	return nil
}

// lexerDefinition defines the tokens. Keywords are of type Word and match in upper
// and lower case.
var lexerDefinition = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `(--|#)[^\n]*`},
	{Name: "Whitespace", Pattern: `\s+`},
	{Name: "String", Pattern: `"[^"\n]*"`},
	{Name: "Punctuation", Pattern: `[,;]`},
	{Name: "Word", Pattern: `[^\s,;"]+`},
})

var parser = participle.MustBuild[Script](
	participle.Lexer(lexerDefinition),
	participle.Elide("Comment", "Whitespace"),
	participle.Unquote("String"),
	participle.CaseInsensitive("Word"),
	participle.UseLookahead(4),
)

// Parse returns the statements of the text. An error names the source and the
// line and column in it. Texts longer than MaxScriptBytes are refused.
func Parse(source, text string) (*Script, error) {
	if len(text) > MaxScriptBytes {
		return nil, errors.Errorf("script %s has %d bytes, the limit is %d", source, len(text), MaxScriptBytes)
	}
	script, err := parser.ParseString(source, text)
	if err != nil {
		return nil, errors.Wrap(err, "parse command")
	}
	return script, nil
}

// Grammar returns the grammar of the language in extended Backus-Naur form.
func Grammar() string {
	return parser.String()
}

// textOf returns the tokens as the operator wrote them, but without semicolons,
// comments and the quotes of strings, and with single spaces for white space.
func textOf(tokens []lexer.Token) string {
	var text strings.Builder
	for _, to := range tokens {
		switch {
		case to.Value == "," || to.Value == ";":
		case text.Len() > 0 && !strings.HasSuffix(text.String(), " "):
			text.WriteString(" ")
		}
		if to.Value != ";" && !isSpace(to.Value) && !isComment(to.Value) {
			text.WriteString(to.Value)
		}
	}
	return strings.TrimSpace(text.String())
}

func isSpace(value string) bool {
	return strings.TrimSpace(value) == ""
}

func isComment(value string) bool {
	return strings.HasPrefix(value, "--") || strings.HasPrefix(value, "#")
}

// String returns the statement as the operator wrote it, on one line and without
// comments and quotes.
func (st *Statement) String() string {
	return textOf(st.Tokens)
}

// String returns the change as the operator wrote it, on one line and without
// comments and quotes.
func (ch *Change) String() string {
	return textOf(ch.Tokens)
}
