package cmd

import (
	"fmt"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/state/settings"
)

// checkOptions are the options of check.
type checkOptions struct {
	Settings []string `long:"settings" short:"s" description:"Settings file: JSON with comments; may be given more than once" required:"yes"`
	Role     string   `long:"role" description:"Role that reads the file; found by its fields if left out" choice:"balancer" choice:"agent" choice:"console"`
}

func checkCommand() *command {
	op := &checkOptions{}
	return &command{
		name:  "check",
		short: "Check settings files",
		long: "Read settings files and the keys that they name as the role does, and print every fault with its " +
			"line and column. Nothing is started. Exit code 2 says that a file has a fault.",
		options: op,
		action:  func(ru *run, _ []string) error { return runCheck(ru, op) },
	}
}

func runCheck(ru *run, op *checkOptions) error {
	wrong := 0
	for _, path := range op.Settings {
		role, err := settings.Check(path, settings.Role(op.Role))
		if err != nil {
			wrong++
			fmt.Fprintln(ru.errOut, err)
			continue
		}
		fmt.Fprintf(ru.out, "%s: settings of role %s, no fault\n", path, role)
	}
	if wrong > 0 {
		return &exitError{code: ExitUsage, err: errors.Errorf("%d of %d settings files are wrong", wrong, len(op.Settings))}
	}
	return nil
}
