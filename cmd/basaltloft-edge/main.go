// Command basaltloft-edge is the data plane of the cluster scheduler: clients hand jobs in to
// it, ask for them and cancel them.
package main

import (
	"log/slog"
	"os"

	"basaltloft/internal/boot"
	"basaltloft/internal/dataplane"
	"basaltloft/internal/program"
)

func main() {
	os.Exit(program.Main("basaltloft-edge", "Takes clients' jobs and passes them to the core.", os.Args[1:],
		func(settings boot.Settings, log *slog.Logger) (program.Daemon, error) {
			return dataplane.New(settings, log), nil
		}))
}
