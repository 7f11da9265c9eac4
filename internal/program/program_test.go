package program_test

import (
	"log/slog"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"basaltloft/internal/boot"
	"basaltloft/internal/controlplane"
	"basaltloft/internal/dataplane"
	"basaltloft/internal/program"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"basaltloft-core": func() {
			os.Exit(program.Main("basaltloft-core", "Keeps jobs and the configuration, and runs tasks on runners.", os.Args[1:],
				func(settings boot.Settings, log *slog.Logger) (program.Daemon, error) {
					return controlplane.New(settings, log)
				}))
		},
		"basaltloft-edge": func() {
			os.Exit(program.Main("basaltloft-edge", "Takes clients' jobs and passes them to the core.", os.Args[1:],
				func(settings boot.Settings, log *slog.Logger) (program.Daemon, error) {
					return dataplane.New(settings, log), nil
				}))
		},
	})
}

func TestCommandLines(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}
