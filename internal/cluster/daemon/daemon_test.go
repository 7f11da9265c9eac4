package daemon_test

import (
	"log/slog"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"basaltloft/internal/cluster/controlplane"
	"basaltloft/internal/cluster/daemon"
	"basaltloft/internal/cluster/dataplane"
	"basaltloft/internal/cluster/settings"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"basaltloft-core": func() {
			os.Exit(daemon.Main("basaltloft-core", "Keeps jobs and the configuration, and runs tasks on runners.", os.Args[1:],
				func(settings settings.Settings, log *slog.Logger) (daemon.Daemon, error) {
					return controlplane.New(settings, log)
				}))
		},
		"basaltloft-edge": func() {
			os.Exit(daemon.Main("basaltloft-edge", "Takes clients' jobs and passes them to the core.", os.Args[1:],
				func(settings settings.Settings, log *slog.Logger) (daemon.Daemon, error) {
					return dataplane.New(settings, log), nil
				}))
		},
	})
}

// TestCommandLines runs the scripts of testdata/script, which test the programs' flags and settings.
func TestCommandLines(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}
