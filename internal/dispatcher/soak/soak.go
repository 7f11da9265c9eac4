// Package soak loads a dispatcher on both fronts, kills it at random, and holds
// its figures against each other and against what the outside saw.
package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/demo"
	"basaltloft/internal/dispatcher/journal"
	"basaltloft/internal/dispatcher/metrics"

	"github.com/schollz/progressbar/v3"
)

// Settings are what a soak is to do.
type Settings struct {
	Program     string // the dispatcher
	Until       time.Time
	Kills       int     // of the dispatcher
	WorkerKills int     // Faktory workers that are killed
	Rate        float64 // asks a second by each front
	JournalDir  string  // where the journal is kept; it must be empty
	Seed        uint64
}

// Result is what a soak saw.
type Result struct {
	Kills, Starts   int
	WorkerKills     int
	Audits          int64
	Differences     int64
	HTTP, Faktory   string
	ServedToClients int64 // 200 that HTTP clients read
	Journal         *journal.Verification
	ServedByJournal int64 // of the HTTP front
	Lost            int64 // answers that a kill took from the journal
	RunTwice        []string
	RSS             []int64 // of the dispatcher, in kB, before each kill
	Violations      []string
}

// Run soaks. It returns an error if it could not be done; what it found broken
// is in the result.
func Run(ctx context.Context, s Settings, out io.Writer) (*Result, error) {
	load := demo.Load{Rate: s.Rate, Members: 6, Workers: 4, Seed: s.Seed}
	load.Faults.Reject, load.Faults.Fail, load.Faults.Break, load.Faults.DuplicateEnd = 0.02, 0.01, 0.005, 0.1
	w, err := demo.NewWorld(load)
	if err != nil {
		return nil, err
	}
	defer w.Close()
	dir, err := os.MkdirTemp("", "basaltloft-soak")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	config, operator := filepath.Join(dir, "config.json"), filepath.Join(dir, "operator.json")
	if err := os.WriteFile(config, []byte(w.Configuration()), 0o600); err != nil {
		return nil, err
	}
	if err := os.WriteFile(operator, []byte(w.OperatorFile(s.JournalDir)), 0o600); err != nil {
		return nil, err
	}
	start := func() (*exec.Cmd, error) {
		cmd := exec.Command(s.Program, "--log-level", "error", "--operator", operator)
		cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "ROUTER_LISTEN=", "ROUTER_DISCOVERY=", "ROUTER_NAME=")
		cmd.Stderr = out
		return cmd, cmd.Start()
	}
	r := new(Result)
	random := rand.New(rand.NewPCG(s.Seed, 19))
	began := time.Now()
	every := s.Until.Sub(began) / time.Duration(s.Kills+1)
	bar := progressbar.NewOptions(s.Kills, progressbar.OptionSetWriter(out), progressbar.OptionSetDescription("kills"), progressbar.OptionShowCount())
	w.StartLoad(load)
	stop := make(chan struct{})
	killed := make(chan int, 1)
	go func() { killed <- killWorkers(w, s, stop) }()
	for ctx.Err() == nil {
		cmd, err := start()
		if err != nil {
			return nil, err
		}
		r.Starts++
		last := r.Kills == s.Kills
		end := s.Until
		if !last { // somewhere in this kill's share of the time
			end = began.Add(every*time.Duration(r.Kills) + time.Duration((0.5+0.5*random.Float64())*float64(every)))
		}
		if !last {
			r.watch(w.MetricsAddr, end)
			r.RSS = append(r.RSS, rss(cmd.Process.Pid))
			cmd.Process.Kill()
			cmd.Wait()
			r.Kills++
			bar.Add(1)
			r.recount(s.JournalDir, "after a kill")
			continue
		}
		r.watch(w.MetricsAddr, end)
		close(stop)
		r.WorkerKills = <-killed
		w.StopClients()
		if err := demo.WaitIdle(w.MetricsAddr); err != nil {
			r.Violations = append(r.Violations, err.Error())
		}
		r.audit(w.MetricsAddr)
		cmd.Process.Signal(demo.ShutdownSignal)
		if err := cmd.Wait(); err != nil {
			r.Violations = append(r.Violations, "the dispatcher did not end in order: "+err.Error())
		}
		break
	}
	fmt.Fprintln(out)
	w.Close()
	r.recount(s.JournalDir, "at the end")
	r.HTTP, r.Faktory = w.HTTPAnswers.String(), w.FaktoryAnswers.String()
	r.ServedToClients = w.HTTPAnswers.Served.Load()
	if r.RunTwice = w.RunLog.RunTwice(); len(r.RunTwice) > 0 {
		r.Violations = append(r.Violations, fmt.Sprintf("tickets ran twice: %v", r.RunTwice))
	}
	f, err := journal.ReadDirectory(s.JournalDir)
	if err != nil {
		return r, err
	}
	rows, complaints, err := journal.Report(f, journal.Query{By: []string{"front"}})
	if err != nil {
		return r, err
	}
	r.Violations = append(r.Violations, complaints...)
	for _, row := range rows {
		if row.By[0] == "http" {
			r.ServedByJournal = row.Outcome(accounting.Served)
		}
	}
	// An answer may be read by its client within the time that its record waits
	// to be written: a kill takes such records. Other ways to differ are a
	// client that left as its answer came, and an answer that broke on its way:
	// then the journal has more.
	r.Lost = max(0, r.ServedToClients-r.ServedByJournal)
	if most := int64(r.Kills) * int64(1+s.Rate*mostLost.Seconds()*4); r.Lost > most {
		r.Violations = append(r.Violations, fmt.Sprintf("clients read %d answers that the journal does not have, more than the %d that %d kills may take", r.Lost, most, r.Kills))
	}
	return r, ctx.Err()
}

// mostLost is how long a record may wait to be written, with what a write takes.
const mostLost = 50 * time.Millisecond

// killWorkers kills workers at random times until it has killed enough.
func killWorkers(w *demo.World, s Settings, stop <-chan struct{}) (n int) {
	random := rand.New(rand.NewPCG(s.Seed, 29))
	for left := s.WorkerKills; left > 0; left-- {
		wait := time.Until(s.Until) / time.Duration(left) * time.Duration(random.IntN(2000)) / 1000
		select {
		case <-stop:
			return n
		case <-time.After(wait):
			w.KillWorker(random.IntN(1 << 20))
			n++
		}
	}
	<-stop
	return n
}

// watch audits the running dispatcher until a time, and on from there until it has answered once: on a busy machine
// it may still be starting then, and a kill would meet nothing.
func (r *Result) watch(at string, until time.Time) {
	before, latest := r.Audits, until.Add(startsWithin)
	for now := time.Now(); now.Before(until) || r.Audits == before && now.Before(latest); now = time.Now() {
		r.audit(at)
		time.Sleep(max(10*time.Millisecond, min(200*time.Millisecond, time.Until(until))))
	}
}

// startsWithin is how long a start is waited for beyond its time.
const startsWithin = 20 * time.Second

func (r *Result) audit(at string) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + at + "/audit")
	if err != nil {
		return // it starts
	}
	defer resp.Body.Close()
	var s metrics.AuditState
	if json.NewDecoder(resp.Body).Decode(&s) != nil {
		return
	}
	r.Audits++
	r.Differences += int64(len(s.Differences))
	for _, d := range s.Differences {
		r.Violations = append(r.Violations, d.String())
	}
}

func (r *Result) recount(folder, when string) {
	f, err := journal.ReadDirectory(folder)
	if err == nil {
		r.Journal, err = journal.Verify(f)
	}
	if err != nil {
		r.Violations = append(r.Violations, when+": "+err.Error())
		return
	}
	for _, wrong := range r.Journal.Inconsistencies {
		r.Violations = append(r.Violations, when+": "+wrong)
	}
}

// rss is a process's resident memory in kB, 0 where the system does not tell.
func rss(pid int) (kb int64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	fmt.Sscan(string(text), &size, &resident)
	return resident * int64(os.Getpagesize()) / 1024
}

// Write tells the result, and fails if anything was broken.
func (r *Result) Write(out io.Writer) error {
	fmt.Fprintf(out, "%d kills, %d starts, %d workers killed, %d audits with %d differences\n", r.Kills, r.Starts, r.WorkerKills, r.Audits, r.Differences)
	fmt.Fprintf(out, "HTTP clients: %s\nFaktory clients: %s\n", r.HTTP, r.Faktory)
	if v := r.Journal; v != nil {
		t := &v.Totals
		fmt.Fprintf(out, "journal: %d segments, %d epochs, %d jobs, %d marks; %d taken = %d served + %d refused + %d failed (%d cut off) + %d open\n",
			v.Segments, v.Epochs, v.Jobs, v.Checkpoints, t.Taken, t.EndedAs(accounting.Served), t.EndedAs(accounting.Refused), t.EndedAs(accounting.Failed), t.Ends[accounting.Crashed], t.Open)
	}
	fmt.Fprintf(out, "served by HTTP: %d answers read, %d in the journal\n", r.ServedToClients, r.ServedByJournal)
	if n := len(r.RSS); n > 0 {
		fmt.Fprintf(out, "resident memory before a kill: first %d kB, last %d kB\n", r.RSS[0], r.RSS[n-1])
	}
	for _, b := range r.Violations {
		fmt.Fprintln(out, "BROKEN:", b)
	}
	if len(r.Violations) > 0 {
		return errors.New("the soak found something broken")
	}
	fmt.Fprintln(out, "nothing broken")
	return nil
}
