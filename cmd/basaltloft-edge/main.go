// Command basaltloft-edge is the dispatcher of the cluster scheduler: clients submit jobs to it,
// ask for their states and cancel them.
package main

import (
	"log/slog"
	"os"

	"basaltloft/internal/cluster/daemon"
	"basaltloft/internal/cluster/dataplane"
	"basaltloft/internal/cluster/settings"
)

func main() {
	os.Exit(daemon.Main("basaltloft-edge", "Takes clients' jobs and passes them to the core.", os.Args[1:],
		func(settings settings.Settings, log *slog.Logger) (daemon.Daemon, error) {
			return dataplane.New(settings, log), nil
		}))
}
