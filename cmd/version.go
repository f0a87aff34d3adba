package cmd

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

func versionCommand() *command {
	return &command{
		name:  "version",
		short: "Print the version",
		long:  "Print the version of the program and of the Go runtime that built it.",
		action: func(ru *run, _ []string) error {
			version := "unknown"
			if bi, ok := debug.ReadBuildInfo(); ok {
				version = bi.Main.Version
			}
			fmt.Fprintf(ru.out, "corneltiller %s %s %s/%s\n", version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
			return nil
		},
	}
}
