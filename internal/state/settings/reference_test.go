package settings_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/state/settings"
)

const (
	referencePath = "../../../docs/operate/settings.md"
	preamble      = `# Settings

Each role reads one file of JSON with comments: ` + "`//` and `/* */`" + ` comments and commas
after the last member are allowed. Names are in Pascal case. A repeated field and
an unknown field are faults. ` + "`examples/`" + ` holds a commented file for each
role. This page is checked against the program by a test.

    corneltiller check --settings balancer.json --settings agent.json

prints every fault of the files in one pass and exits with 2 if there is any:
file, line and column, the field, what was found and what is wanted. A role checks
its file in the same way and doesn't start if there is a fault.

    balancer.json:6:12: Hosts: found "192.0.2.11", want an address and port such as "192.0.2.1:4433"

Addresses are written as "192.0.2.1:4433" or "[2001:db8::1]:4433", durations as
"30s" or "2m". Two settings of one file may not listen on the same address.

## Reload

| change | effect |
|---|---|
| content of the files under ` + "`Keys`" + ` | loaded again at SIGHUP; if that fails, the previous content stays in use and the error is logged |
| path of a key file, and every other field | applies at the next start |
| services, owners, traffic classes | not settings: they are changed with ` + "`ctl`" + ` and are in force within seconds |

A role is replaced to change its settings: start a new instance with the new
file, then stop the old one with SIGTERM. Nothing is interrupted.
`
)

// structDocs returns the doc comments of the fields of the settings structs, by
// struct and field name.
func structDocs(t *testing.T) map[string]string {
	t.Helper()
	docs := make(map[string]string)
	for _, file := range []string{"settings.go", "balancer.go", "agent.go", "console.go"} {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ParseComments)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(parsed, func(no ast.Node) bool {
			spec, ok := no.(*ast.TypeSpec)
			if !ok {
				return true
			}
			if body, ok := spec.Type.(*ast.StructType); ok {
				for _, fi := range body.Fields.List {
					for _, name := range fi.Names {
						docs[spec.Name.Name+"."+name.Name] = strings.Join(strings.Fields(fi.Doc.Text()), " ")
					}
				}
			}
			return true
		})
	}
	return docs
}

// reference builds the text of the settings page.
type reference struct {
	strings.Builder
	docs map[string]string
}

// fields writes a table row for each field of the struct, and for the fields of
// structs within it.
func (re *reference) fields(value reflect.Value, prefix string) {
	for i := range value.NumField() {
		fi, va := value.Type().Field(i), value.Field(i)
		name := prefix + fi.Name
		switch {
		case fi.Anonymous:
			re.fields(va, prefix)
			continue
		case va.Kind() == reflect.Struct && va.Type().PkgPath() == value.Type().PkgPath():
			re.fields(va, name+".")
			continue
		}
		doc := re.docs[value.Type().Name()+"."+fi.Name]
		convey.So(doc, convey.ShouldNotBeEmpty)
		fmt.Fprintf(re, "| `%s` | %s | %s | %s |\n", name, kindOf(fi), defaultOf(fi, va), doc)
		if va.Kind() == reflect.Slice && va.Type().Elem().Kind() == reflect.Struct && fi.Type.Elem().PkgPath() == value.Type().PkgPath() {
			re.fields(reflect.New(va.Type().Elem()).Elem(), name+"[].")
		}
	}
}

// kindOf returns the kind of value that a field takes, with its bounds or
// protocol.
func kindOf(fi reflect.StructField) string {
	name := map[string]string{
		"string": "string", "int": "number", "uint32": "number", "netip.AddrPort": "address",
		"[]netip.AddrPort": "addresses", "settings.Duration": "duration", "[]settings.Service": "list",
	}[fi.Type.String()]
	convey.So(name, convey.ShouldNotBeEmpty)
	if least := fi.Tag.Get("min"); least != "" {
		name += ", " + least + " to " + fi.Tag.Get("max")
	}
	if fi.Tag.Get("file") != "" {
		name = "path"
	}
	if protocol := fi.Tag.Get("listen"); protocol != "" {
		name += ", " + strings.ToUpper(protocol)
	}
	return name
}

// defaultOf returns the default of a field, or "needed" if it has none and a value
// is required.
func defaultOf(fi reflect.StructField, va reflect.Value) string {
	if du, ok := va.Interface().(settings.Duration); ok {
		text, _ := du.MarshalText()
		return string(text)
	}
	switch {
	case fi.Tag.Get("need") != "" || fi.Tag.Get("min") != "" && va.IsZero():
		return "needed"
	case va.IsZero():
		return "none"
	default:
		return fmt.Sprint(va.Interface())
	}
}

// TestReference checks that the settings page for operators matches the structs:
// their fields, doc comments, tags and defaults.
func TestReference(t *testing.T) {
	docs := structDocs(t)
	convey.Convey("The settings page matches the structs", t, func() {
		re := &reference{docs: docs}
		re.WriteString(preamble)
		roles := []struct {
			title string
			value any
		}{
			{"Balancer", settings.DefaultBalancer()},
			{"Agent", settings.DefaultAgent()},
			{"Console", settings.DefaultConsole()},
		}
		for _, ro := range roles {
			fmt.Fprintf(re, "\n## %s\n\n| field | kind | default | meaning |\n|---|---|---|---|\n", ro.title)
			re.fields(reflect.ValueOf(ro.value), "")
		}
		golden(referencePath, re.String())
	})
}
