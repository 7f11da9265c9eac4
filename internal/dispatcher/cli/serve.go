package cli

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"

	"basaltloft/internal/dispatcher/fleet/plan"
	"basaltloft/internal/dispatcher/server"
	"basaltloft/internal/dispatcher/settings"

	"github.com/spf13/cobra"
)

// serveCommand returns the command that serves jobs.
func serveCommand(global *globalFlags) *cobra.Command {
	var operator string
	c := &cobra.Command{
		Use: "serve", Short: "serve jobs, as without a sub-command", Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error { return serve(c.Context(), global, operator) },
	}
	c.Flags().StringVar(&operator, "operator", "", "the operator's `file`, which sets up what the platform does not ask for")
	return c
}

// serve runs a dispatcher until SIGTERM or SIGINT; SIGHUP reloads its configuration.
func serve(ctx context.Context, global *globalFlags, operator string) error {
	// This comes first: until the handlers are installed, a signal kills the process.
	stop, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	environment := map[string]string{}
	for _, name := range []string{"ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_ADMIN"} {
		environment[name] = os.Getenv(name)
	}
	c, err := readConfig(environment)
	if err != nil {
		return err
	}
	operatorConfig, err := settings.DecodeOperator([]byte(`{}`)) // the defaults
	if operator != "" {
		var text []byte
		if text, err = os.ReadFile(operator); err != nil {
			return fmt.Errorf("operator's file: %w", err)
		}
		operatorConfig, err = settings.DecodeOperator(text)
	}
	if err != nil {
		return err
	}
	if operatorConfig.Fleet != nil && os.Getenv("ROUTER_NAME") != "" && os.Getenv("ROUTER_LISTEN") != "" {
		return errors.New("operator's file: fleet: the platform that sets ROUTER_NAME and ROUTER_LISTEN has no lasting folder and no talk among dispatchers: take the section out")
	}
	server.ApplyResourceLimits(c)
	return server.Run(ctx, server.Options{
		Config: c, Operator: operatorConfig, OperatorDir: filepath.Dir(operator), Log: global.newLogger(),
		ReadConfig: func() (settings.Config, error) { return readConfig(nil) },
	}, stop, reloads)
}

// readConfig reads the configuration file. At the start the environment overrides it; at a reload
// environment is nil, and a file that can't be used completely is an error.
func readConfig(environment map[string]string) (settings.Config, error) {
	path := os.Getenv("ROUTER_CONFIG")
	text, err := os.ReadFile(path)
	if err != nil {
		return settings.Config{}, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	if environment == nil {
		if err := settings.CheckReload(text); err != nil {
			return settings.Config{}, fmt.Errorf("%s: %w", path, err)
		}
	}
	c, err := settings.DecodeConfig(text)
	if err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	for name, into := range map[string]*string{
		"ROUTER_NAME": &c.Name, "ROUTER_LISTEN": &c.Listen, "ROUTER_DISCOVERY": &c.Discovery, "ROUTER_ADMIN": &c.Admin,
	} {
		if v := environment[name]; v != "" {
			*into = v
		}
	}
	for name, addr := range map[string]string{"listen": c.Listen, "discovery": c.Discovery, "admin": c.Admin} {
		if _, _, err := net.SplitHostPort(addr); err != nil && (name != "admin" || addr != "") {
			return c, fmt.Errorf("%s: %s: %w", path, name, err)
		}
	}
	if environment != nil {
		fd, err := acceptFD(os.Getenv("ROUTER_ACCEPT_FD"))
		if err != nil {
			return c, err
		}
		c.AcceptFD = fd
	}
	return c, nil
}

// acceptFD parses the number of the descriptor on which the process inherits the clients' socket. It
// returns 0, which means none, for an empty text, and an error for the descriptors of standard input, output
// and error.
func acceptFD(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < 3 {
		return 0, fmt.Errorf("ROUTER_ACCEPT_FD: %q is no descriptor above 2", text)
	}
	return fd, nil
}

// versionCommand returns the command that prints the version.
func versionCommand(global *globalFlags) *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "say which version this is", Args: noArgs,
		RunE: func(*cobra.Command, []string) error {
			info, ok := debug.ReadBuildInfo()
			if !ok {
				return fmt.Errorf("this binary does not know its version")
			}
			revision, changed := "unknown revision", ""
			for _, s := range info.Settings {
				switch {
				case s.Key == "vcs.revision":
					revision = s.Value
				case s.Key == "vcs.modified" && s.Value == "true":
					changed = " with changes"
				}
			}
			printf(global.stdout, "basaltloft %s, %s%s, %s\n", info.Main.Version, revision, changed, info.GoVersion)
			return nil
		},
	}
}

// checkCommand returns the command config, whose sub-command checks configuration files.
func checkCommand(global *globalFlags) *cobra.Command {
	config := &cobra.Command{Use: "config", Short: "look after configuration files", Args: noArgs, RunE: showHelp}
	var classes string
	check := &cobra.Command{
		Use: "check FILE", Short: "name everything that is wrong in a configuration, an operator's file or a plan file (.hcl)",
		Args: exactlyOneArg("FILE"),
		RunE: func(_ *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			if strings.HasSuffix(args[0], ".hcl") {
				return checkPlans(global, args[0], string(text), classes)
			}
			r := settings.Check(text)
			for _, p := range r.Problems {
				printf(global.stdout, "%s: error: %s\n", args[0], p)
			}
			for _, key := range r.Unknown {
				printf(global.stdout, "%s: warning: %s: nothing reads this key\n", args[0], key)
			}
			if len(r.Problems) > 0 {
				return errReported
			}
			printf(global.stdout, "%s: ok (%s)\n", args[0], r.Kind)
			return nil
		},
	}
	check.Flags().StringVar(&classes, "config", "", "the configuration `file` whose classes a plan file's stages name")
	config.AddCommand(check)
	return config
}

// checkPlans checks a plan file against the classes of a configuration.
func checkPlans(global *globalFlags, name, text, config string) error {
	var c settings.Config
	if config != "" {
		from, err := os.ReadFile(config)
		if err != nil {
			return err
		}
		if c, err = settings.DecodeConfig(from); err != nil {
			return fmt.Errorf("%s: %w", config, err)
		}
	}
	lines, ok := plan.CheckFile(name, text, c.Settings.Classes)
	for _, line := range lines {
		printf(global.stdout, "%s\n", line)
	}
	if !ok {
		return errReported
	}
	printf(global.stdout, "%s: ok (plans)\n", name)
	return nil
}

// showHelp prints the help of a command that only has sub-commands.
func showHelp(c *cobra.Command, _ []string) error { return c.Help() }
