package outcome

import (
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/dispatch"
	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// now is the arrival time of each request.
var now = time.Unix(1_700_000_000, 0)

func TestParse(t *testing.T) {
	urgent, deferrable := dispatch.ClassUrgent, dispatch.ClassDeferrable
	for _, tc := range []struct {
		name   string
		method string
		header http.Header
		want   Attributes
		err    error
	}{
		{"a GET without header fields", "GET", http.Header{}, Attributes{Class: urgent, Deadline: now.Add(DefaultTimeout), Repeatable: true}, nil},
		{"a POST without header fields", "POST", http.Header{}, Attributes{Class: urgent, Deadline: now.Add(DefaultTimeout)}, nil},
		{"a low priority", "GET", http.Header{"Priority": {"u=6, i"}}, Attributes{Class: deferrable, Deadline: now.Add(DefaultTimeout), Repeatable: true}, nil},
		{"an idempotency key", "POST", http.Header{"Idempotency-Key": {`"7"`}}, Attributes{Deadline: now.Add(DefaultTimeout), Repeatable: true}, nil},
		{"an unrepeatable GET", "GET", http.Header{HeaderRepeatable: {"?0"}}, Attributes{Deadline: now.Add(DefaultTimeout)}, nil},
		{"a timeout", "GET", http.Header{HeaderTimeout: {"250"}}, Attributes{Deadline: now.Add(250 * time.Millisecond), Repeatable: true}, nil},
		{"a timeout beyond the limit", "GET", http.Header{HeaderTimeout: {"999999999"}}, Attributes{Deadline: now.Add(MaxTimeout), Repeatable: true}, nil},
		{"an urgency out of range", "GET", http.Header{"Priority": {"u=8"}}, Attributes{}, ErrPriority},
		{"a malformed priority", "GET", http.Header{"Priority": {`"u = `}}, Attributes{}, ErrPriority},
		{"a negative timeout", "GET", http.Header{HeaderTimeout: {"-1"}}, Attributes{}, ErrTimeout},
		{"a malformed repeatable field", "GET", http.Header{HeaderRepeatable: {"yes"}}, Attributes{}, ErrRepeatable},
	} {
		Convey("Given "+tc.name, t, func() {
			at, err := Parse(now, tc.method, tc.header)
			if tc.err != nil {
				So(errors.Is(err, tc.err), ShouldBeTrue)
				return
			}
			So(err, ShouldBeNil)
			So(at, ShouldResemble, tc.want)
		})
	}
}

func TestWrite(t *testing.T) {
	Convey("Read returns each outcome that was written, and false for any other value", t, func() {
		for _, ou := range []ledger.Outcome{ledger.Answered, ledger.NotRun, ledger.Unknown} {
			he := http.Header{}
			Write(he, ou, dispatch.ReasonNone)
			got, ok := Read(he)
			So(ok, ShouldBeTrue)
			So(got, ShouldEqual, ou)
		}
		_, ok := Read(http.Header{HeaderOutcome: {"answered"}})
		So(ok, ShouldBeFalse)
	})

	Convey("Strip removes only the header fields that the project defines", t, func() {
		he := http.Header{HeaderOutcome: {"Answered"}, "Content-Type": {"text/plain"}}
		Strip(he)
		So(he, ShouldResemble, http.Header{"Content-Type": {"text/plain"}})
	})
}

func FuzzParse(f *testing.F) {
	f.Add("POST", "u=1", "250", "?1")
	f.Add("GET", "i, u=7", "", "")
	f.Fuzz(func(t *testing.T, method, priority, timeout, repeatable string) {
		he := http.Header{HeaderPriority: {priority}, HeaderTimeout: {timeout}, HeaderRepeatable: {repeatable}}
		at, err := Parse(now, method, he)
		if err == nil && (at.Deadline.Before(now) || at.Deadline.After(now.Add(MaxTimeout))) {
			t.Fatalf("deadline %s out of range", at.Deadline)
		}
	})
}
