package cmd

import (
	"flag"
	"strconv"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"
)

// configureLog sets klog's verbosity level and writes each line once.
func configureLog(level int) error {
	fs := flag.NewFlagSet("log", flag.ContinueOnError)
	klog.InitFlags(fs)
	if err := fs.Set("v", strconv.Itoa(level)); err != nil {
		return errors.Wrap(err, "set log level")
	}
	// Without it klog writes an error again for each lower severity.
	if err := fs.Set("one_output", "true"); err != nil {
		return errors.Wrap(err, "set log output")
	}
	return nil
}
