// Command basaltloft-core is a control-plane node of the cluster scheduler: it replicates and
// stores jobs and the configuration, and starts the tasks on runners.
package main

import (
	"log/slog"
	"os"

	"basaltloft/internal/cluster/controlplane"
	"basaltloft/internal/cluster/daemon"
	"basaltloft/internal/cluster/settings"
)

func main() {
	os.Exit(daemon.Main("basaltloft-core", "Keeps jobs and the configuration, and runs tasks on runners.", os.Args[1:],
		func(settings settings.Settings, log *slog.Logger) (daemon.Daemon, error) {
			return controlplane.New(settings, log)
		}))
}
