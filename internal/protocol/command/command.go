// Package command parses the operators' query and command language and turns
// its changes into edits of the configuration. The grammar is described in
// docs/operate/commands.md.
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

// MaxScriptBytes bounds the size of a script.
const MaxScriptBytes = 4 << 20

// Script is a sequence of statements.
type Script struct {
	Statements []*Statement `parser:"';'* ( @@ ( ';'+ @@ )* ';'* )?"`
}

// Statement is one command. Exactly one of its fields is set.
type Statement struct {
	Tokens []lexer.Token

	Begin    bool `parser:"  @'BEGIN'"`
	Commit   bool `parser:"| @'COMMIT'"`
	Rollback bool `parser:"| @'ROLLBACK'"`
	DryRun   bool `parser:"| @'DRY' 'RUN'"`
	Help     bool `parser:"| @'HELP'"`
	// Reinstate puts the version in force back into a store that went back.
	Reinstate bool `parser:"| @'REINSTATE'"`
	// Settle fences a change whose outcome was unknown.
	Settle     string      `parser:"| 'SETTLE' 'CHANGE' @(Word|String)"`
	Initialize *Initialize `parser:"| @@"`
	Show       *Show       `parser:"| 'SHOW' @@"`
	Explain    *Explain    `parser:"| 'EXPLAIN' @@"`
	Change     *Change     `parser:"| @@"`
}

// Initialize makes the first configuration of an empty store.
type Initialize struct {
	Owner string `parser:"'INITIALIZE' 'OWNER' @Word"`
	Key   Key    `parser:"'KEY' @(Word|String)"`
}

// Show asks for information.
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
	Change    string     `parser:"| 'CHANGE' @(Word|String)"`
}

// HostQuery selects hosts, all if no service is named.
type HostQuery struct {
	Set     bool   `parser:"@'HOSTS'"`
	Service string `parser:"( 'OF' @Word )?"`
}

// History selects the latest entries of the history.
type History struct {
	Set  bool `parser:"@'HISTORY'"`
	Last int  `parser:"@Word?"`
}

// Explain asks why something is as it is, or what a change would do.
type Explain struct {
	Address AddressList `parser:"  'ADDRESS' @Word"`
	Host    HostList    `parser:"| 'HOST' @Word"`
	Service string      `parser:"| 'SERVICE' @Word"`
	Flow    *FlowPath   `parser:"| 'FLOW' @@"`
	Change  *Change     `parser:"| @@"`
}

// FlowPath names a new flow by its two ends, of which each list holds one.
type FlowPath struct {
	Caller  AddressList `parser:"'FROM' @Word"`
	Service AddressList `parser:"'TO' @Word"`
}

// Change is one step that alters the configuration.
type Change struct {
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

// CreateService names a new service.
type CreateService struct {
	Name      string      `parser:"@Word"`
	Firm      string      `parser:"'FOR' 'FIRM' @Word"`
	Addresses AddressList `parser:"( 'ADDRESS' @Word ( ',' @Word )* )?"`
	Hosts     RangeList   `parser:"( 'HOSTS' @Word ( ',' @Word )* )?"`
}

// Addresses are addresses of one service.
type Addresses struct {
	Addresses AddressList `parser:"@Word ( ',' @Word )*"`
	Service   string      `parser:"( 'TO' | 'FROM' ) @Word"`
}

// Ranges are host ranges of one service.
type Ranges struct {
	Hosts   RangeList `parser:"@Word ( ',' @Word )*"`
	Service string    `parser:"( 'TO' | 'FROM' ) @Word"`
}

// SetClass creates or replaces a traffic class.
type SetClass struct {
	Name       string   `parser:"@Word"`
	Service    string   `parser:"'OF' @Word"`
	Urgent     bool     `parser:"( @'URGENT'"`
	Deferrable bool     `parser:"| @'DEFERRABLE' )"`
	Paths      []string `parser:"( 'PATHS' @(Word|String) ( ',' @(Word|String) )* )?"`
	Limit      uint32   `parser:"( 'LIMIT' @Word )?"`
	Weight     uint16   `parser:"( 'WEIGHT' @Word )?"`
}

// DropClass removes a traffic class.
type DropClass struct {
	Name    string `parser:"@Word"`
	Service string `parser:"'OF' @Word"`
}

// SetWeight scales the weight of hosts, in percent.
type SetWeight struct {
	Hosts  RangeList `parser:"@Word ( ',' @Word )*"`
	Weight uint16    `parser:"'TO' @Word"`
}

// OwnerKey names an owner with a public key.
type OwnerKey struct {
	Name string `parser:"@Word"`
	Key  Key    `parser:"( 'KEY' | 'TO' ) @(Word|String)"`
}

// SetTurn gives an owner the say from the start of a month on.
type SetTurn struct {
	Owner string `parser:"@Word"`
	From  Month  `parser:"'FROM' @Word"`
}

// Month is a month of the calendar.
type Month struct {
	// First is the first instant of the month in UTC.
	First time.Time
}

// monthLayout is how operators write a month.
const monthLayout = "2006-01"

// Capture reads a month such as 2026-12.
func (mo *Month) Capture(values []string) error {
	first, err := time.Parse(monthLayout, values[0])
	if err != nil {
		return errors.Errorf("%q is no month, write it as 2026-12", values[0])
	}
	mo.First = first
	return nil
}

// AddressList are addresses with ports.
type AddressList []netip.AddrPort

// Capture reads one more address.
func (al *AddressList) Capture(values []string) error {
	address, err := netip.ParseAddrPort(values[0])
	if err != nil {
		return errors.Errorf("%q is no address with a port", values[0])
	}
	*al = append(*al, address)
	return nil
}

// RangeList are ranges of hosts.
type RangeList []netip.Prefix

// Capture reads one more range; a single address is a range of one host.
func (rl *RangeList) Capture(values []string) error {
	if host, err := netip.ParseAddr(values[0]); err == nil {
		*rl = append(*rl, netip.PrefixFrom(host, host.BitLen()))
		return nil
	}
	ra, err := netip.ParsePrefix(values[0])
	if err != nil {
		return errors.Errorf("%q is no range of hosts, write it as 10.1.0.0/16", values[0])
	}
	*rl = append(*rl, ra.Masked())
	return nil
}

// HostList are addresses of hosts.
type HostList []netip.Addr

// Capture reads one more host.
func (hl *HostList) Capture(values []string) error {
	host, err := netip.ParseAddr(values[0])
	if err != nil {
		return errors.Errorf("%q is no address of a host", values[0])
	}
	*hl = append(*hl, host)
	return nil
}

// definition holds the tokens; keywords are words and match in any case.
var definition = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `(--|#)[^\n]*`},
	{Name: "Whitespace", Pattern: `\s+`},
	{Name: "String", Pattern: `"[^"\n]*"`},
	{Name: "Punctuation", Pattern: `[,;]`},
	{Name: "Word", Pattern: `[^\s,;"]+`},
})

var parser = participle.MustBuild[Script](
	participle.Lexer(definition),
	participle.Elide("Comment", "Whitespace"),
	participle.Unquote("String"),
	participle.CaseInsensitive("Word"),
	participle.UseLookahead(4),
)

// Parse returns the statements of the text. The name of the source and the
// position go into the error.
func Parse(source, text string) (*Script, error) {
	if len(text) > MaxScriptBytes {
		return nil, errors.Errorf("script %s of %d bytes, at most %d", source, len(text), MaxScriptBytes)
	}
	script, err := parser.ParseString(source, text)
	if err != nil {
		return nil, errors.Wrap(err, "parse command")
	}
	return script, nil
}

// Grammar returns the grammar in extended Backus-Naur form.
func Grammar() string {
	return parser.String()
}

// textOf returns the words of the tokens as the operator wrote them.
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

// String returns the statement as the operator wrote it.
func (st *Statement) String() string {
	return textOf(st.Tokens)
}

// String returns the change as the operator wrote it.
func (ch *Change) String() string {
	return textOf(ch.Tokens)
}
