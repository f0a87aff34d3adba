package cmd

import (
	"fmt"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/state/settings"
)

// checkOptions are the options of the check command.
type checkOptions struct {
	Settings []string `long:"settings" short:"s" description:"Settings file: JSON with comments; may be given more than once" required:"yes"`
	Role     string   `long:"role" description:"Role that the file is for; determined from its fields if left out" choice:"balancer" choice:"agent" choice:"console"`
}

func checkCommand() *command {
	op := &checkOptions{}
	return &command{
		name:  "check",
		short: "Check settings files",
		long: "Read settings files and the keys that they name, as the role does at its start, and print every fault with its " +
			"line and column. Nothing is started. Exits with 2 if a file has a fault.",
		options: op,
		action:  func(ru *run, _ []string) error { return runCheck(ru, op) },
	}
}

// runCheck checks all files, also after one with a fault.
func runCheck(ru *run, op *checkOptions) error {
	faulty := 0
	for _, path := range op.Settings {
		role, err := settings.Check(path, settings.Role(op.Role))
		if err != nil {
			faulty++
			fmt.Fprintln(ru.errOut, err)
			continue
		}
		fmt.Fprintf(ru.out, "%s: settings of role %s, no fault\n", path, role)
	}
	if faulty > 0 {
		return &exitError{code: ExitUsage, err: errors.Errorf("%d of %d settings files are wrong", faulty, len(op.Settings))}
	}
	return nil
}
