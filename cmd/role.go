package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/state/settings"
	"corneltiller.dev/corneltiller/internal/transport/keys"
)

// settingsOptions are the options of a role that reads a settings file.
type settingsOptions struct {
	Settings string `long:"settings" short:"s" description:"Settings file: JSON with comments" required:"yes"`
}

// roleCommand returns a command that loads its settings file, in which fields that
// are left out keep their defaults, and starts the role with them.
func roleCommand[S any](name, short, long string, defaults S, start func(ru *run, st S) error) *command {
	op := &settingsOptions{}
	return &command{
		name:    name,
		short:   short,
		long:    long,
		options: op,
		action: func(ru *run, _ []string) error {
			surviveHangups()
			st, err := settings.Load(op.Settings, defaults)
			if err != nil {
				return &exitError{code: ExitUsage, err: err}
			}
			return start(ru, st)
		},
	}
}

// surviveHangups keeps SIGHUP from ending the process. A role reloads settings or keys at
// one while it runs; before and after that, in its planned stop, it does nothing.
func surviveHangups() {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
}

// openKeys loads the keys and reloads them at each SIGHUP until the context ends.
func openKeys(ctx context.Context, ks settings.Keys) (*keys.Store, error) {
	st, err := keys.Open(keys.Paths(ks))
	if err != nil {
		return nil, &exitError{code: ExitUsage, err: err}
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		defer signal.Stop(hangups)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				reloadKeys(st)
			}
		}
	}()
	return st, nil
}

// reloadKeys reloads the keys; after an error the former keys stay in use.
func reloadKeys(st *keys.Store) {
	if err := st.Reload(); err != nil {
		klog.ErrorS(err, "Keys not reloaded")
		return
	}
	klog.InfoS("Keys reloaded")
}
