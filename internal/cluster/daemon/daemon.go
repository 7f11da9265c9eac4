// Package daemon is the common part of the cluster scheduler's processes: the command line, the log, the
// limits of the Go runtime, signals, and the reload of changed settings.
package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"basaltloft/internal/cluster/settings"
	"basaltloft/internal/shared/saturating"
)

// Options are the command-line flags of each daemon.
type Options struct {
	Settings string `long:"settings" value-name:"FILE" description:"settings file (default: what BASALTLOFT_BOOT names)"`
	Log      string `long:"log" value-name:"LEVEL" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"info" description:"least level of what is logged"`
	Check    bool   `long:"check" description:"check the settings file and exit"`
}

// Daemon is a service that runs until its context ends.
type Daemon interface {
	// Run serves until the context ends, shuts down gracefully and returns.
	Run(ctx context.Context) error
	// Reload applies changed settings. It is called by one goroutine, concurrently with Run.
	Reload(settings settings.Settings)
}

// Builder returns a daemon that isn't running yet, or an error if the daemon can't be created.
type Builder func(settings settings.Settings, log *slog.Logger) (Daemon, error)

// Exit statuses besides 0.
const (
	exitFailed = 1
	exitUsage  = 2 // wrong flags or settings
)

// Main parses the command line, runs a daemon and returns the process's exit status. The output of --help
// includes the summary.
func Main(name, summary string, args []string, build Builder) int {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // first: until then, the signal ends the process
	defer signal.Stop(hangups)
	options := Options{}
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = summary
	if _, err := parser.AddGroup("Options", "", &options); err != nil {
		return report(err, exitUsage)
	}
	if rest, err := parser.ParseArgs(args); err != nil || len(rest) > 0 {
		return reportUsage(err, rest)
	}
	path := options.Settings
	if path == "" {
		path = settings.Path()
	}
	loaded, err := settings.Load(path)
	if err != nil {
		return report(err, exitUsage)
	}
	if options.Check {
		fmt.Println("the settings can be used")
		return 0
	}
	log := newLogger(options.Log, loaded.NodeName)
	limitMemory(loaded.Limits.MemoryMB)
	daemon, err := build(loaded, log)
	if err != nil {
		return report(err, exitFailed)
	}
	return run(name, path, log, daemon, hangups)
}

// reportUsage prints the help if --help was given, else the error of the command line, and returns the
// exit status.
func reportUsage(err error, rest []string) int {
	if flags.WroteHelp(err) {
		fmt.Println(err)
		return 0
	}
	if err == nil {
		err = errors.Newf("unexpected argument %q: see --help", rest[0])
	}
	return report(err, exitUsage)
}

// report prints an error and returns the exit status.
func report(err error, status int) int {
	fmt.Fprintln(os.Stderr, err)
	return status
}

// newLogger returns a logger that writes to standard error.
func newLogger(levelName, node string) *slog.Logger {
	level := slog.LevelInfo
	_ = level.UnmarshalText([]byte(levelName)) // the flag allows only names of levels
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})).With("node", node)
}

// Limits of the runtime. The garbage collector runs more often before the process reaches the memory
// limit of the platform.
const (
	memoryShare           = 0.6 // of the process's limit
	minGCPercent          = 60
	maxGCPercent          = 200
	megabytesPerGCPercent = 3 // of the process's limit
	bytesPerMega          = 1 << 20
)

// gcPercent returns the GC percentage (see debug.SetGCPercent): by how much the heap may grow between two
// collections, relative to the live heap. A larger memory limit makes collections rarer. 0 megabytes: the
// platform sets no limit.
func gcPercent(megabytes int) int {
	return min(max(megabytes/megabytesPerGCPercent, minGCPercent), maxGCPercent)
}

// limitMemory sets the garbage collector's limits. 0 megabytes: the platform sets no limit.
func limitMemory(megabytes int) {
	debug.SetGCPercent(gcPercent(megabytes))
	if megabytes > 0 {
		debug.SetMemoryLimit(saturating.Int64(memoryShare * float64(megabytes) * bytesPerMega))
	}
}

// run runs a daemon until SIGTERM or an interrupt, or until it fails.
func run(name, path string, log *slog.Logger, daemon Daemon, hangups <-chan os.Signal) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	var reloads sync.WaitGroup
	defer reloads.Wait()
	defer stop()
	reloads.Go(func() { reloadChanges(ctx, path, log, daemon, hangups) })
	log.Info("started", "program", name)
	if err := daemon.Run(ctx); err != nil {
		log.Error("failed", "error", err)
		return exitFailed
	}
	log.Info("stopped")
	return 0
}
