package keys

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestReload(t *testing.T) {
	convey.Convey("Loaded keys", t, func() {
		paths, err := Generate(filepath.Join(t.TempDir(), "keys"), time.Now())
		convey.So(err, convey.ShouldBeNil)
		st, err := Open(paths)
		convey.So(err, convey.ShouldBeNil)
		former := string(st.Secret())

		convey.Convey("are replaced by a reload", func() {
			_, err := Generate(filepath.Dir(paths.Secret), time.Now())
			convey.So(err, convey.ShouldBeNil)
			convey.So(st.Reload(), convey.ShouldBeNil)
			convey.So(string(st.Secret()), convey.ShouldNotEqual, former)
		})
		for _, path := range []string{paths.Certificate, paths.Key, paths.Authority, paths.Secret} {
			convey.Convey("stay in use when "+filepath.Base(path)+" is broken", func() {
				convey.So(os.WriteFile(path, []byte("broken"), privateMode), convey.ShouldBeNil)
				err := st.Reload()
				convey.So(err, convey.ShouldNotBeNil)
				convey.So(string(st.Secret()), convey.ShouldEqual, former)
			})
		}
	})
}
