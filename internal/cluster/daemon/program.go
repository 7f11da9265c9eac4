// Package daemon has what the system's programs share: the command line, logs, limits of the
// Go runtime, signals, and watching the settings file.
package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"basaltloft/internal/cluster/settings"
)

// Options are what each daemon takes.
type Options struct {
	Settings string `long:"settings" value-name:"FILE" description:"settings file (default: what BASALTLOFT_BOOT names)"`
	Log      string `long:"log" value-name:"LEVEL" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"info" description:"least level of what is logged"`
	Check    bool   `long:"check" description:"check the settings file and exit"`
}

// Daemon is what a program runs.
type Daemon interface {
	Run(ctx context.Context) error
	Reload(settings settings.Settings)
}

// Exit statuses.
const (
	exitFailed = 1
	exitUsage  = 2
)

// Main runs a daemon and returns its exit status.
func Main(name, summary string, args []string, build func(settings.Settings, *slog.Logger) (Daemon, error)) int {
	options := Options{}
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = summary
	if _, err := parser.AddGroup("Options", "", &options); err != nil {
		return report(err, exitUsage)
	}
	if rest, err := parser.ParseArgs(args); err != nil || len(rest) > 0 {
		return usage(err, rest)
	}
	path := options.Settings
	if path == "" {
		path = settings.Path()
	}
	settings, err := settings.Load(path)
	if err != nil {
		return report(err, exitUsage)
	}
	if options.Check {
		fmt.Println("the settings can be used")
		return 0
	}
	return run(name, path, settings, options, build)
}

func usage(err error, rest []string) int {
	if flags.WroteHelp(err) {
		fmt.Println(err)
		return 0
	}
	if err == nil {
		err = errors.Newf("unexpected argument %q: see --help", rest[0])
	}
	return report(err, exitUsage)
}

func report(err error, status int) int {
	fmt.Fprintln(os.Stderr, err)
	return status
}

func run(name, path string, settings settings.Settings, options Options, build func(settings.Settings, *slog.Logger) (Daemon, error)) int {
	level := slog.LevelInfo
	_ = level.UnmarshalText([]byte(options.Log))
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})).With("node", settings.NodeName)
	limitMemory(settings.Limits.MemoryMB)
	daemon, err := build(settings, log)
	if err != nil {
		return report(err, exitFailed)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go watch(ctx, path, log, daemon)
	log.Info("starts", "program", name)
	if err := daemon.Run(ctx); err != nil {
		log.Error("ends by a failure", "error", err)
		return exitFailed
	}
	log.Info("ends")
	return 0
}

// Limits of the runtime: the collector works harder before the platform's limit is reached.
const (
	memoryPart = 0.6
	gcPercent  = 60
)

func limitMemory(megabytes int) {
	debug.SetGCPercent(gcPercent)
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(megabytes) * (1 << 20)))
	}
}

// watchEvery is how often the settings file is looked at.
const watchEvery = 2 * time.Second

// watch reloads the settings at a SIGHUP and when the file has changed.
func watch(ctx context.Context, path string, log *slog.Logger, daemon Daemon) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	last := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-time.After(watchEvery):
			if modified(path) == last {
				continue
			}
		}
		last = modified(path)
		settings, err := settings.Load(path)
		if err != nil {
			log.Error("the changed settings are not taken", "error", err)
			continue
		}
		daemon.Reload(settings)
	}
}

func modified(path string) string {
	info, err := os.Stat(path)
	if err != nil {
		return ""
	}
	return fmt.Sprint(info.ModTime().UnixNano(), info.Size())
}
