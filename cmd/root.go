// Package cmd wires the command line to the roles.
//
// # Usage
//
//	os.Exit(cmd.Execute(os.Args[1:], os.Stdout, os.Stderr))
package cmd

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// The exit codes of every command.
const (
	// ExitOK reports success.
	ExitOK = 0
	// ExitFailed reports that the command ran and failed.
	ExitFailed = 1
	// ExitUsage reports a mistake on the command line or in the settings.
	ExitUsage = 2
)

// Execute runs the command that the arguments name and returns its exit code.
func Execute(args []string, out, errOut io.Writer) int {
	pa := flags.NewNamedParser("corneltiller", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := pa.ParseArgs(args); err != nil {
		return report(err, out, errOut)
	}
	return ExitOK
}

// report prints the error and returns the exit code that it stands for.
func report(err error, out, errOut io.Writer) int {
	if fe, ok := err.(*flags.Error); ok {
		if fe.Type == flags.ErrHelp {
			fmt.Fprintln(out, fe.Message)
			return ExitOK
		}
		fmt.Fprintln(errOut, fe.Message)
		return ExitUsage
	}
	fmt.Fprintln(errOut, err)
	return ExitFailed
}
