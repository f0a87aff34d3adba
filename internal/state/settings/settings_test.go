package settings_test

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/state/settings"
	"corneltiller.dev/corneltiller/internal/transport/keys"
)

var update = flag.Bool("update", false, "write the golden files")

// golden compares the text with a file. With -update it writes the file first.
func golden(path, text string) {
	if *update {
		convey.So(os.WriteFile(path, []byte(text), 0o644), convey.ShouldBeNil)
	}
	want, err := os.ReadFile(path)
	convey.So(err, convey.ShouldBeNil)
	convey.So(text, convey.ShouldEqual, string(want))
}

// absolute returns an absolute path, which stays valid when the test changes the
// working folder.
func absolute(t *testing.T, path string) string {
	t.Helper()
	full, err := filepath.Abs(path)
	if err != nil {
		t.Fatal(err)
	}
	return full
}

// enterKeyFolder changes the working folder to a new one with key files at the paths
// that the examples name.
func enterKeyFolder(t *testing.T) {
	t.Helper()
	t.Chdir(t.TempDir())
	if _, err := keys.Generate("keys", time.Now()); err != nil {
		t.Fatal(err)
	}
	if _, err := keys.GenerateOwnerKey("keys/owner.pem"); err != nil {
		t.Fatal(err)
	}
}

// TestExamples checks that the example of each role loads without a fault.
func TestExamples(t *testing.T) {
	examples := absolute(t, "../../../examples")
	enterKeyFolder(t)
	convey.Convey("The example of each role has no fault and its role is detected", t, func() {
		for _, want := range []settings.Role{settings.RoleBalancer, settings.RoleAgent, settings.RoleConsole} {
			role, err := settings.Check(filepath.Join(examples, string(want)+".json"), "")
			convey.So(err, convey.ShouldBeNil)
			convey.So(role, convey.ShouldEqual, want)
		}
		ba, err := settings.Load(filepath.Join(examples, "balancer.json"), settings.DefaultBalancer())
		convey.So(err, convey.ShouldBeNil)
		convey.So(ba.Services[0].Name, convey.ShouldEqual, "yardline")
		convey.So(ba.Control.String(), convey.ShouldEqual, "192.0.2.11:7401")
		ag, err := settings.Load(filepath.Join(examples, "agent.json"), settings.DefaultAgent())
		convey.So(err, convey.ShouldBeNil)
		convey.So(time.Duration(ag.StopWithin), convey.ShouldEqual, 2*time.Minute)
		convey.So(ag.Workers, convey.ShouldEqual, settings.DefaultAgent().Workers)
	})
}

// TestFaults checks that every fault of a file is reported in one pass.
func TestFaults(t *testing.T) {
	cases := absolute(t, "testdata")
	enterKeyFolder(t)
	if err := os.WriteFile("keys/short", []byte("secret"), 0o600); err != nil {
		t.Fatal(err)
	}
	convey.Convey("Each file's faults are as the golden file says", t, func() {
		paths, err := filepath.Glob(filepath.Join(cases, "*.json"))
		convey.So(err, convey.ShouldBeNil)
		convey.So(paths, convey.ShouldNotBeEmpty)
		for _, path := range paths {
			name := filepath.Base(path)
			text, err := os.ReadFile(path)
			convey.So(err, convey.ShouldBeNil)
			convey.So(os.WriteFile(name, text, 0o600), convey.ShouldBeNil)
			role, _, _ := strings.Cut(name, "-")
			_, err = settings.Check(name, settings.Role(role))
			var faults settings.Faults
			convey.So(errors.As(err, &faults), convey.ShouldBeTrue)
			golden(strings.TrimSuffix(path, ".json")+".golden", faults.Error()+"\n")
		}
	})
}

// TestFaultyFileChangesNothing checks that a file with a fault leaves the defaults
// unchanged, also in the fields that are valid.
func TestFaultyFileChangesNothing(t *testing.T) {
	convey.Convey("A file with one fault yields the defaults", t, func() {
		ag, err := settings.Parse("agent.json", []byte(`{"Slots": 7, "Service": "one"}`), settings.DefaultAgent())
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(ag, convey.ShouldResemble, settings.DefaultAgent())
	})
}

// TestRoundTrip checks that settings written as plain JSON are read back equal.
func TestRoundTrip(t *testing.T) {
	examples := absolute(t, "../../../examples")
	enterKeyFolder(t)
	convey.Convey("Settings written as JSON are read back equal", t, func() {
		first, err := settings.Load(filepath.Join(examples, "balancer.json"), settings.DefaultBalancer())
		convey.So(err, convey.ShouldBeNil)
		text, err := json.Marshal(first)
		convey.So(err, convey.ShouldBeNil)
		second, err := settings.Parse("written", text, settings.DefaultBalancer())
		convey.So(err, convey.ShouldBeNil)
		convey.So(second, convey.ShouldResemble, first)
	})
}

// FuzzParse parses any text as the settings of each role. No text may cause a
// panic, every fault must have a position, Found and Want, and a text with a fault
// must leave the defaults unchanged.
func FuzzParse(f *testing.F) {
	for _, pattern := range []string{"../../../examples/*.json", "testdata/*.json"} {
		paths, err := filepath.Glob(pattern)
		if err != nil {
			f.Fatal(err)
		}
		for _, path := range paths {
			text, err := os.ReadFile(path)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(text)
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		fuzzRole(t, text, settings.DefaultBalancer())
		fuzzRole(t, text, settings.DefaultAgent())
		fuzzRole(t, text, settings.DefaultConsole())
		settings.DetectRole(text)
	})
}

// fuzzRole parses the text over the defaults of one role.
func fuzzRole[T any](t *testing.T, text []byte, defaults T) {
	st, err := settings.Parse("fuzz.json", text, defaults)
	if err == nil {
		return
	}
	var faults settings.Faults
	if !errors.As(err, &faults) || len(faults) == 0 {
		t.Fatalf("error without faults: %v", err)
	}
	for _, fa := range faults {
		if fa.Line < 1 || fa.Column < 1 || fa.Want == "" || fa.Found == "" {
			t.Fatalf("incomplete fault: %+v", fa)
		}
	}
	if !reflect.DeepEqual(st, defaults) {
		t.Fatalf("a text with faults changed the settings: %+v", st)
	}
}
