// Package cmd parses the command line, runs the command that it names, and maps the
// command's error to an exit code.
//
// # Usage
//
//	os.Exit(cmd.Execute(os.Args[1:], os.Stdout, os.Stderr))
package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
	"k8s.io/klog/v2"
)

// Exit codes of all commands.
const (
	// ExitOK reports success.
	ExitOK = 0
	// ExitFailed reports that the command ran and failed.
	ExitFailed = 1
	// ExitUsage reports a mistake on the command line or in the settings.
	ExitUsage = 2
	// ExitUnknown reports a request or change whose outcome is unknown.
	ExitUnknown = 3
	// ExitStopped reports a second signal during a graceful shutdown.
	ExitStopped = 130
)

// run holds the outputs of a command and the context of its run, which ends with the
// first SIGTERM or SIGINT.
type run struct {
	context.Context
	out    io.Writer
	errOut io.Writer
}

// exitError carries an exit code other than ExitFailed.
type exitError struct {
	code int
	err  error
}

// Error returns the message of the cause.
func (er *exitError) Error() string { return er.err.Error() }

// Unwrap returns the cause.
func (er *exitError) Unwrap() error { return er.err }

// command describes a subcommand. Without an action it only groups its subcommands.
type command struct {
	name    string
	short   string
	long    string
	options any
	action  func(ru *run, args []string) error
	// commands are the nested subcommands.
	commands []*command
}

// globalOptions are the options that every command accepts.
type globalOptions struct {
	Verbose int `long:"verbose" short:"v" description:"Log level: 0 for events that operators need, 1 also for messages and requests that were refused or failed, 2 for everything" default:"0"`
}

// Execute runs the command that the arguments name and returns its exit code.
func Execute(args []string, out, errOut io.Writer) int {
	ctx, stop := signalContext()
	defer stop()
	gl := &globalOptions{}
	pa := flags.NewNamedParser("corneltiller", flags.HelpFlag|flags.PassDoubleDash)
	pa.LongDescription = "corneltiller is a layer-4 load balancer for firms whose customers book and track work."
	if _, err := pa.AddGroup("Global options", "", gl); err != nil {
		return report(err, out, errOut)
	}
	ru := &run{Context: ctx, out: out, errOut: errOut}
	if err := addCommands(pa.Command, ru, gl, commands()); err != nil {
		return report(err, out, errOut)
	}
	if _, err := pa.ParseArgs(args); err != nil {
		return report(err, out, errOut)
	}
	return ExitOK
}

// commands returns all commands in the order in which the help lists them.
func commands() []*command {
	return []*command{
		balancerCommand(),
		agentCommand(),
		callCommand(),
		checkCommand(),
		capacityCommand(),
		ctlCommand(),
		demoCommand(),
		explainCommand(),
		platformCommand(),
		standinCommand(),
		versionCommand(),
	}
}

// addCommands adds the commands and, recursively, their subcommands to the parser.
func addCommands(parent *flags.Command, ru *run, gl *globalOptions, list []*command) error {
	for _, co := range list {
		added, err := parent.AddCommand(co.name, co.short, co.long, &action{command: co, run: ru, globals: gl})
		if err != nil {
			return errors.Wrapf(err, "add command %s", co.name)
		}
		if co.options != nil {
			if _, err := added.AddGroup(co.name+" options", "", co.options); err != nil {
				return errors.Wrapf(err, "add options of %s", co.name)
			}
		}
		if err := addCommands(added, ru, gl, co.commands); err != nil {
			return err
		}
	}
	return nil
}

// action is the flags.Commander of a command; the parser calls its Execute.
type action struct {
	command *command
	run     *run
	globals *globalOptions
}

// Execute configures the log and runs the command's action, if it has one.
func (ac *action) Execute(args []string) error {
	if ac.command.action == nil {
		return nil
	}
	if err := configureLog(ac.globals.Verbose); err != nil {
		return err
	}
	defer klog.Flush()
	return ac.command.action(ac.run, args)
}

// signalContext returns a context that ends with the first SIGTERM or SIGINT. The
// second one exits the process at once with ExitStopped.
func signalContext() (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		if _, ok := <-signals; !ok {
			return
		}
		cancel()
		if _, ok := <-signals; ok {
			os.Exit(ExitStopped)
		}
	}()
	return ctx, func() {
		signal.Stop(signals)
		close(signals)
		cancel()
	}
}

// report prints the error, or the help text that was asked for, and returns the exit
// code.
func report(err error, out, errOut io.Writer) int {
	var fe *flags.Error
	if errors.As(err, &fe) {
		if fe.Type == flags.ErrHelp {
			fmt.Fprintln(out, fe.Message)
			return ExitOK
		}
		fmt.Fprintln(errOut, fe.Message)
		return ExitUsage
	}
	fmt.Fprintln(errOut, "corneltiller:", err)
	var ee *exitError
	if errors.As(err, &ee) {
		return ee.code
	}
	return ExitFailed
}
