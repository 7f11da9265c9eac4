// Command basaltloft-edge is the data plane of the cluster scheduler: clients hand jobs in to
// it, ask for them and cancel them.
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
