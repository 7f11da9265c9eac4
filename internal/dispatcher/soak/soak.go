// Package soak sends load to both fronts of a dispatcher, kills it at random times, and compares
// its ledger, its journal and the answers that its clients read.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/demo"
	"basaltloft/internal/dispatcher/fakes"
	"basaltloft/internal/dispatcher/journal"
	"basaltloft/internal/shared/saturating"

	"github.com/schollz/progressbar/v3"
)

// Settings are the settings of a soak.
type Settings struct {
	Program     string    // the dispatcher's executable
	Until       time.Time // end of the load
	Kills       int       // of the dispatcher
	WorkerKills int       // of Faktory workers
	Rate        float64   // logical requests a second, at each front
	JournalDir  string    // must be empty
	Seed        uint64
}

// writeDelay is the longest time from a journal record's creation to the end of its write.
const writeDelay = 50 * time.Millisecond

// startTime is the longest time beyond a planned kill that the soak waits for the dispatcher's first answer.
const startTime = 20 * time.Second

// soak is a running soak.
type soak struct {
	Settings
	world  *demo.World
	files  dispatcherFiles
	log    io.Writer
	random *rand.Rand // of the times of kills
	began  time.Time
	result *Result
}

// dispatcherFiles are the paths of a dispatcher's configuration and operator files.
type dispatcherFiles struct{ config, operator string }

// writeFiles writes the files of a world's dispatcher to a directory. With an empty journalDir the dispatcher
// writes no journal.
func writeFiles(dir string, world *demo.World, journalDir string) (dispatcherFiles, error) {
	f := dispatcherFiles{filepath.Join(dir, "config.json"), filepath.Join(dir, "operator.json")}
	return f, errors.Join(os.WriteFile(f.config, []byte(world.Configuration()), 0o600),
		os.WriteFile(f.operator, []byte(world.OperatorFile(journalDir)), 0o600))
}

// command returns the command that starts a dispatcher. It clears or replaces the environment variables that
// would otherwise change its configuration.
func (f dispatcherFiles) command(ctx context.Context, program string, args ...string) *exec.Cmd {
	cmd := exec.CommandContext(ctx, program, append(args, "--operator", f.operator)...)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+f.config, "ROUTER_LISTEN=", "ROUTER_DISCOVERY=", "ROUTER_NAME=")
	return cmd
}

// Run runs a soak. It returns an error if the soak could not be completed; violations that it
// found are in the result.
func Run(ctx context.Context, settings Settings, out io.Writer) (result *Result, err error) {
	load := demo.Load{
		Rate: settings.Rate, Members: 6, Workers: 4, Seed: settings.Seed,
		Faults: fakes.Faults{Reject: 0.02, Fail: 0.01, Break: 0.005, DuplicateEnd: 0.1},
	}
	world, err := demo.NewWorld(load)
	if err != nil {
		return nil, err
	}
	defer world.Close()
	dir, err := os.MkdirTemp("", "basaltloft-soak")
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	files, err := writeFiles(dir, world, settings.JournalDir)
	if err != nil {
		return nil, err
	}
	s := &soak{
		Settings: settings, world: world, files: files,
		log: out, random: rand.New(rand.NewPCG(settings.Seed, 19)), began: time.Now(), result: new(Result),
	}
	world.StartLoad(load)
	if err := s.runKills(ctx); err != nil {
		return nil, err
	}
	world.Close()
	return s.result, errors.Join(s.conclude(), ctx.Err())
}

// runKills starts and kills the dispatcher s.Kills times, then starts it once more and shuts it
// down gracefully at the end.
func (s *soak) runKills(ctx context.Context) error {
	stop, workersKilled := make(chan struct{}), make(chan int, 1)
	go func() { workersKilled <- s.killWorkers(stop) }()
	bar := progressbar.NewOptions(s.Kills, progressbar.OptionSetWriter(s.log), progressbar.OptionSetDescription("kills"), progressbar.OptionShowCount())
	for ctx.Err() == nil && s.result.Kills < s.Kills {
		if err := s.runAndKill(); err != nil {
			return s.abort(stop, workersKilled, err)
		}
		_ = bar.Add(1) // an error of the progress bar does not end the soak
	}
	if ctx.Err() != nil {
		return s.abort(stop, workersKilled, nil)
	}
	cmd, err := s.start()
	if err != nil {
		return s.abort(stop, workersKilled, err)
	}
	s.watch(s.Until)
	close(stop)
	s.result.WorkerKills = <-workersKilled
	s.shutdown(cmd)
	_, err = fmt.Fprintln(s.log)
	return err
}

// abort ends the killing of workers and returns err.
func (s *soak) abort(stop chan<- struct{}, workersKilled <-chan int, err error) error {
	close(stop)
	s.result.WorkerKills = <-workersKilled
	return err
}

// start starts a dispatcher process.
func (s *soak) start() (*exec.Cmd, error) {
	cmd := s.files.command(context.Background(), s.Program, "--log-level", "error") // a signal ends it, not the context
	cmd.Stderr = s.log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	s.result.Starts++
	return cmd, nil
}

// runAndKill starts a dispatcher, kills it and verifies the journal. The soak's time is divided
// evenly among the kills and the last run; the kill is at a random time in the second half of its
// share.
func (s *soak) runAndKill() error {
	cmd, err := s.start()
	if err != nil {
		return err
	}
	share := s.Until.Sub(s.began) / time.Duration(s.Kills+1)
	s.watch(s.began.Add(share*time.Duration(s.result.Kills) + saturating.Duration((0.5+0.5*s.random.Float64())*float64(share))))
	s.result.RSS = append(s.result.RSS, residentKB(cmd.Process.Pid))
	if err := cmd.Process.Kill(); err != nil {
		return fmt.Errorf("killing the dispatcher: %w", err)
	}
	_ = cmd.Wait() // its error is that the process was killed
	s.result.Kills++
	s.result.recount(s.JournalDir, "after a kill")
	return nil
}

// shutdown stops the clients, waits until the dispatcher is idle, audits it and shuts it down gracefully.
func (s *soak) shutdown(cmd *exec.Cmd) {
	s.world.StopClients()
	if err := demo.WaitIdle(s.world.MetricsAddr); err != nil {
		s.result.violation("%v", err)
	}
	s.result.audit(s.world.MetricsAddr)
	if err := cmd.Process.Signal(demo.ShutdownSignal); err != nil {
		s.result.violation("the dispatcher had ended: %v", err)
	}
	if err := cmd.Wait(); err != nil {
		s.result.violation("the dispatcher did not end in order: %v", err)
	}
}

// killWorkers kills s.WorkerKills Faktory workers at random times and then waits for stop. It
// returns the number of workers killed.
func (s *soak) killWorkers(stop <-chan struct{}) (killed int) {
	random := rand.New(rand.NewPCG(s.Seed, 29))
	for left := s.WorkerKills; left > 0; left-- {
		wait := time.Until(s.Until) / time.Duration(left) * time.Duration(random.IntN(2000)) / 1000
		select {
		case <-stop:
			return killed
		case <-time.After(wait):
			s.world.KillWorker(random.IntN(1 << 20))
			killed++
		}
	}
	<-stop
	return killed
}

// watch audits the running dispatcher until a time. If it has not answered by then, watch goes on
// until the first answer or for startTime: on a busy machine the dispatcher may still be starting,
// and a kill would test nothing.
func (s *soak) watch(until time.Time) {
	const longest, shortest = 200 * time.Millisecond, 10 * time.Millisecond
	before, latest := s.result.Audits, until.Add(startTime)
	for now := time.Now(); now.Before(until) || s.result.Audits == before && now.Before(latest); now = time.Now() {
		s.result.audit(s.world.MetricsAddr)
		time.Sleep(max(shortest, min(longest, time.Until(until))))
	}
}

// conclude compares the journal with the answers that clients read and the jobs that members ran.
func (s *soak) conclude() error {
	r := s.result
	r.recount(s.JournalDir, "at the end")
	r.HTTP, r.Faktory = s.world.HTTPAnswers.String(), s.world.FaktoryAnswers.String()
	r.ServedToClients = s.world.HTTPAnswers.Served.Load()
	if r.RunTwice = s.world.RunLog.RunTwice(); len(r.RunTwice) > 0 {
		r.violation("tickets ran twice: %v", r.RunTwice)
	}
	dir, err := journal.ReadDirectory(s.JournalDir)
	if err != nil {
		return err
	}
	rows, warnings, err := journal.Report(dir, journal.Query{By: []string{"front"}})
	if err != nil {
		return err
	}
	r.Violations = append(r.Violations, warnings...)
	for _, row := range rows {
		if row.By[0] == "http" {
			r.ServedByJournal = row.Outcome(accounting.Served)
		}
	}
	// A client may read its answer before the journal record is written: a kill loses such
	// records. If a client disconnected as its answer arrived, or an answer was lost on the
	// network, the journal has more.
	r.Lost = max(0, r.ServedToClients-r.ServedByJournal)
	if allowed := int64(r.Kills) * saturating.Int64(1+s.Rate*writeDelay.Seconds()*4); r.Lost > allowed {
		r.violation("clients read %d answers that the journal does not have, more than the %d that %d kills may take", r.Lost, allowed, r.Kills)
	}
	return nil
}
