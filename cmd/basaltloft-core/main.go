// Command basaltloft-core is the control plane of the cluster scheduler: it keeps jobs and the
// configuration, and runs tasks on runners.
package main

import (
	"log/slog"
	"os"

	"basaltloft/internal/boot"
	"basaltloft/internal/controlplane"
	"basaltloft/internal/program"
)

func main() {
	os.Exit(program.Main("basaltloft-core", "Keeps jobs and the configuration, and runs tasks on runners.", os.Args[1:],
		func(settings boot.Settings, log *slog.Logger) (program.Daemon, error) {
			return controlplane.New(settings, log)
		}))
}
