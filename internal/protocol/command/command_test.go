package command_test

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/protocol/command"
	"corneltiller.dev/corneltiller/internal/state/catalog"
)

var update = flag.Bool("update", false, "write the golden files")

// golden compares a text with a golden file, or writes the file if -update is set.
func golden(t *testing.T, name, got string) {
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Fatalf("%s: got\n%s\nwant\n%s", path, got, want)
	}
}

// apply applies the statements of a script to an empty configuration and checks
// the result.
func apply(t *testing.T, text string) (*catalog.Configuration, []string, error) {
	script, err := command.Parse("test", text)
	if err != nil {
		t.Fatal(err)
	}
	co := &catalog.Configuration{NextService: 1, Say: catalog.Say{Owner: "glenrug"}}
	var summaries []string
	for _, st := range script.Statements {
		ed, ok := st.Edit()
		if !ok && st.Initialize != nil {
			ed, ok = st.Initialize.Edit(), true
		}
		if !ok {
			t.Fatalf("statement %q is not a change", st)
		}
		summaries = append(summaries, ed.Summary)
		if err := ed.Apply(co); err != nil {
			return co, summaries, err
		}
	}
	return co, summaries, co.Check()
}

func TestGrammar(t *testing.T) {
	golden(t, "grammar.golden", command.Grammar()+"\n")
}

func TestChanges(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "changes.ctl"))
	if err != nil {
		t.Fatal(err)
	}
	co, summaries, err := apply(t, string(text))
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := json.MarshalIndent(co, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	golden(t, "changes.golden", strings.Join(summaries, "\n")+"\n"+string(encoded)+"\n")
}

const setup = `INITIALIZE OWNER glenrug KEY "47DEQpj8HBSa+/TImW+5JCeuQeRkm5NMpJWZG3hSuFU=";
CREATE SERVICE yardline FOR FIRM glenrug ADDRESS 192.0.2.1:443 HOSTS 10.0.0.0/8;
`

func TestInvalidChanges(t *testing.T) {
	for _, tc := range []struct {
		name string
		text string
		want error
	}{
		{"address of another service", "CREATE SERVICE ledgerwash FOR FIRM glenrug ADDRESS 192.0.2.1:443 HOSTS 10.0.0.0/8", catalog.ErrOverlap},
		{"service without hosts", "REMOVE HOSTS 10.0.0.0/8 FROM yardline", catalog.ErrNoHost},
		{"service with all hosts drained", "DRAIN HOSTS 10.0.0.0/7", catalog.ErrNoHost},
		{"service with all hosts at weight zero", "SET WEIGHT OF HOSTS 10.0.0.0/8 TO 0", catalog.ErrNoHost},
		{"weight above the limit", "SET WEIGHT OF HOSTS 10.0.0.0/8 TO 1001", catalog.ErrInvalid},
		{"unknown service", "ADD ADDRESS 192.0.2.2:443 TO gallery", catalog.ErrUnknown},
		{"unknown address", "REMOVE ADDRESS 192.0.2.2:443 FROM yardline", catalog.ErrUnknown},
		{"existing service", "CREATE SERVICE yardline FOR FIRM glenrug", catalog.ErrExists},
		{"unknown owner", "HAND SAY TO zhuldyz", catalog.ErrUnknown},
		{"unknown owner in the calendar", "SET TURN OF zhuldyz FROM 2027-01", catalog.ErrUnknown},
		{"deletion of the owner who holds the say", "DELETE OWNER glenrug", catalog.ErrUnknown},
		{"path without a leading slash", "SET CLASS status OF yardline URGENT PATHS status", catalog.ErrInvalid},
	} {
		t.Run(tc.name, func(t *testing.T) {
			Convey("The change is refused with the expected error", t, func() {
				_, _, err := apply(t, setup+tc.text)
				So(err, ShouldWrap, tc.want)
			})
		})
	}
}

func TestDrain(t *testing.T) {
	Convey("Draining some hosts of a service is accepted", t, func() {
		_, _, err := apply(t, setup+"ADD HOSTS 10.0.0.0/9 TO yardline; DRAIN HOSTS 10.0.0.0/9")
		So(err, ShouldBeNil)
	})
	Convey("Draining all hosts of a service but a range with its own rule is accepted", t, func() {
		_, _, err := apply(t, setup+"SET WEIGHT OF HOSTS 10.1.0.0/16 TO 50; DRAIN HOSTS 10.0.0.0/8")
		So(err, ShouldBeNil)
	})
	Convey("Undraining a range removes its rule", t, func() {
		co, _, err := apply(t, setup+"DRAIN HOSTS 10.1.0.0/16; UNDRAIN HOSTS 10.1.0.0/16")
		So(err, ShouldBeNil)
		So(co.Rules, ShouldBeEmpty)
	})
}

func TestParseErrors(t *testing.T) {
	var got strings.Builder
	for _, text := range []string{
		"DRAIN",
		"CREATE SERVICE yardline",
		"SHOW NOTHING",
		"ADD ADDRESS 192.0.2.1 TO yardline",
		"SET TURN OF glenrug FROM december",
		"CREATE OWNER zhuldyz KEY short",
		"SHOW SAY SHOW SAY",
	} {
		_, err := command.Parse("test", text)
		if err == nil {
			t.Fatalf("%q was parsed without an error", text)
		}
		got.WriteString(text + "\n  " + err.Error() + "\n")
	}
	golden(t, "mistakes.golden", got.String())
}

func FuzzParse(f *testing.F) {
	f.Add(setup)
	f.Add("SHOW HISTORY 5; EXPLAIN HOST 10.0.0.1")
	f.Fuzz(func(t *testing.T, text string) {
		script, err := command.Parse("fuzz", text)
		if err != nil {
			return
		}
		for _, st := range script.Statements {
			if st.String() == "" {
				t.Fatalf("statement without text in %q", text)
			}
		}
	})
}
