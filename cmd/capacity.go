package cmd

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/standin/capacity"
)

const pageFileMode = 0o644

// capacityOptions are the options of the capacity command.
type capacityOptions struct {
	Write string `long:"write" description:"Page in which to replace the text between the markers; standard output if left out"`
}

func capacityCommand() *command {
	op := &capacityOptions{}
	return &command{
		name:  "capacity",
		short: "Measure what each role costs at the target size",
		long: "Measure the cost of each role at several sizes that fit on one machine, fit a line to each cost, " +
			"and write the cost that the lines give for the target size. It takes a minute or two; keep the machine idle meanwhile.",
		options: op,
		action:  func(ru *run, _ []string) error { return runCapacity(ru, op) },
	}
}

// runCapacity measures the costs and writes them to the page or to standard output.
func runCapacity(ru *run, op *capacityOptions) error {
	var document []byte
	if op.Write != "" {
		var err error
		if document, err = os.ReadFile(op.Write); err != nil {
			return errors.Wrap(err, "read page")
		}
	}
	slopes := capacity.Measure(func(quantity string) { fmt.Fprintln(ru.errOut, "measuring", quantity) })
	generated := capacity.Page(slopes)
	if op.Write == "" {
		fmt.Fprint(ru.out, generated)
		return nil
	}
	page, err := capacity.Replace(string(document), generated)
	if err != nil {
		return errors.Wrapf(err, "write page %s", op.Write)
	}
	if err := os.WriteFile(op.Write, []byte(page), pageFileMode); err != nil {
		return errors.Wrap(err, "write page")
	}
	return nil
}
