package cmd

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/go-faster/errors"

	script "corneltiller.dev/corneltiller/internal/protocol/command"
	"corneltiller.dev/corneltiller/internal/state/settings"
	"corneltiller.dev/corneltiller/internal/transport/console"
	"corneltiller.dev/corneltiller/internal/transport/keys"
	"corneltiller.dev/corneltiller/internal/transport/link"
	"corneltiller.dev/corneltiller/internal/transport/store"
)

// ctlOptions are the options of the ctl command.
type ctlOptions struct {
	Settings string `long:"settings" short:"s" description:"Settings file: JSON with comments"`
	File     string `long:"file" short:"f" description:"File with statements, - for standard input"`
	JSON     bool   `long:"json" description:"Print one JSON object for each statement"`
	DryRun   bool   `long:"dry-run" description:"Check changes without writing them"`
	NewKey   string `long:"new-key" description:"Write a new owner key to this file, print its public key and exit"`
}

func ctlCommand() *command {
	op := &ctlOptions{}
	return &command{
		name:  "ctl",
		short: "Query and change the configuration",
		long: "Run statements of the query and command language: the arguments, the statements of a file, " +
			"or those entered interactively. Exits with 1 if a statement was refused or failed, 3 if its outcome is unknown.",
		options: op,
		action:  func(ru *run, args []string) error { return runCtl(ru, op, args) },
	}
}

func runCtl(ru *run, op *ctlOptions, args []string) error {
	if op.NewKey != "" {
		return writeOwnerKey(ru.out, op.NewKey)
	}
	if op.Settings == "" {
		return &exitError{code: ExitUsage, err: errors.New("ctl needs --settings")}
	}
	st, err := settings.Load(op.Settings, settings.DefaultConsole())
	if err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	co, closePool, err := openConsole(ru, op, st)
	if err != nil {
		return err
	}
	defer closePool()
	return withExitCode(runStatements(ru, co, op, st, args))
}

// openConsole returns the console that the settings describe and a function that
// closes its connections.
func openConsole(ru *run, op *ctlOptions, st settings.Console) (*console.Console, func(), error) {
	co := &console.Console{
		Store:  &store.Client{Address: st.Platform},
		Owner:  st.Owner,
		Out:    ru.out,
		JSON:   op.JSON,
		DryRun: op.DryRun,
	}
	if st.OwnerKey != "" {
		key, err := keys.LoadOwnerKey(st.OwnerKey)
		if err != nil {
			return nil, nil, &exitError{code: ExitUsage, err: err}
		}
		co.Key = key
	}
	material, err := openKeys(ru, st.Keys)
	if err != nil {
		return nil, nil, err
	}
	pool := link.NewPool(material.PeerClientTLS())
	co.Fleet = console.NewFleet(pool, st.Balancers)
	return co, pool.Close, nil
}

// runStatements runs the arguments as one script; without arguments the file; without
// either the statements entered interactively.
func runStatements(ctx context.Context, co *console.Console, op *ctlOptions, st settings.Console, args []string) error {
	switch {
	case len(args) > 0:
		return co.Run(ctx, "arguments", strings.Join(args, " "))
	case op.File != "":
		text, err := readScript(op.File)
		if err != nil {
			return &exitError{code: ExitUsage, err: err}
		}
		return co.Run(ctx, op.File, text)
	default:
		return co.Interact(ctx, st.History)
	}
}

// readScript reads a file, or standard input for the path "-", of which it reads at
// most one byte more than the longest script.
func readScript(path string) (string, error) {
	if path == "-" {
		text, err := io.ReadAll(io.LimitReader(os.Stdin, script.MaxScriptBytes+1))
		return string(text), err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "read script")
	}
	return string(text), nil
}

// withExitCode attaches ExitUnknown to an error that reports an unknown outcome.
func withExitCode(err error) error {
	if errors.Is(err, console.ErrUnknown) {
		return &exitError{code: ExitUnknown, err: err}
	}
	return err
}

// writeOwnerKey writes a new owner key to the path and prints its public key.
func writeOwnerKey(out io.Writer, path string) error {
	key, err := keys.GenerateOwnerKey(path)
	if err != nil {
		return err
	}
	public, _ := key.Public().(ed25519.PublicKey)
	fmt.Fprintln(out, script.FormatKey(public))
	return nil
}
