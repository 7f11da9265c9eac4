package lab

import (
	"runtime"
	"sync"
	"time"
)

// Study is an experiment that is played with some policies and seeds, each with each.
type Study struct {
	Experiment *Experiment
	Policies   []string // by their names in PolicyMakers
	Seeds      int      // how many
	FirstSeed  uint64
	Load       float64 // factor on the file's rates, for Run.Load
	Variant    string  // what a sweep changed in the file, for Run.Set
}

// Run is the result of one run of a study. It is written as JSON, by the names of its
// fields. Counts are of logical requests, but for Tries and Sends.
type Run struct {
	Load      float64 // factor on the file's rates
	Set       string  // what a sweep changed in the file
	Policy    string
	Seed      uint64
	Goodput   float64 // share of the requested work that was done in time
	Asked     int
	InTime    int
	Late      int
	Refused   int
	Failed    int
	Tries     int      // attempts of clients
	Sends     int      // attempts of dispatchers
	Busy      float64  // share of the cores' time in use
	P50, P95  float64  // latency of served logical requests, in milliseconds
	P99, Wait float64  // in milliseconds; Wait is the mean from a send until it begins to run
	Events    int      // of the simulation
	Broken    []string // rules
	Took      float64  // seconds of the machine

	PerS    float64 // served a second
	Mean    float64 // latency of these, in milliseconds
	Classes []ClassRun
	Latency [][2]float64 // pairs of percent and milliseconds
	Seconds []Second
	Members [][]float64 // see Result
}

// ClassRun is the result of one run for one class. It is written as JSON.
type ClassRun struct {
	Name string
	PerS float64 // served a second
	Mean float64 // latency, in milliseconds
}

// Run plays all runs, on all cores, and calls done after each one, on any goroutine. The
// result does not depend on how many cores there are.
func (s *Study) Run(done func()) ([]Run, error) {
	type task struct {
		policy string
		seed   uint64
		number int
	}
	var tasks []task
	for _, p := range s.Policies {
		if _, err := PolicyByName(p); err != nil {
			return nil, err
		}
		for n := range s.Seeds {
			tasks = append(tasks, task{p, s.FirstSeed + uint64(n), len(tasks)})
		}
	}
	runs, errs := make([]Run, len(tasks)), make([]error, len(tasks))
	next := make(chan task)
	var all sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for t := range next {
				runs[t.number], errs[t.number] = s.play(t.policy, t.seed)
				done()
			}
		})
	}
	for _, t := range tasks {
		next <- t
	}
	close(next)
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return runs, nil
}

// percentiles are those of a run's latency that are kept.
var percentiles = []float64{1, 5, 10, 25, 50, 75, 90, 95, 99, 99.9}

func (s *Study) play(name string, seed uint64) (Run, error) {
	began := time.Now()
	newPolicy, err := PolicyByName(name)
	if err != nil {
		return Run{}, err
	}
	w, err := NewWorld(s.Experiment, newPolicy, seed)
	if err != nil {
		return Run{}, err
	}
	r := w.Run()
	latency := func(percent float64) float64 { return float64(r.Latency.ValueAtQuantile(percent)) / 1000 }
	run := Run{
		Load: s.Load, Set: s.Variant, Policy: name, Seed: seed, Goodput: r.Goodput(),
		Asked: r.Requests, InTime: r.InTime, Late: r.Late, Refused: r.Refused, Failed: r.Failed, Tries: r.ClientAttempts, Sends: r.Attempts,
		Busy: r.Utilization, P50: latency(50), P95: latency(95), P99: latency(99), Wait: r.Wait.Mean() / 1000,
		Events: r.Events, Broken: r.Violations, Took: time.Since(began).Seconds(), Seconds: r.Seconds, Members: r.Members,
	}
	length := s.Experiment.Length.Seconds()
	served, took := 0, time.Duration(0)
	for _, c := range r.Classes {
		served += c.Served
		took += c.Took
		run.Classes = append(run.Classes, ClassRun{Name: c.Name, PerS: float64(c.Served) / length, Mean: meanMilliseconds(c.Took, c.Served)})
	}
	run.PerS, run.Mean = float64(served)/length, meanMilliseconds(took, served)
	for _, percent := range percentiles {
		run.Latency = append(run.Latency, [2]float64{percent, latency(percent)})
	}
	return run, nil
}

func meanMilliseconds(sum time.Duration, count int) float64 {
	return 1000 * sum.Seconds() / float64(max(1, count))
}

// RunsOf picks the runs of one policy, by seed.
func RunsOf(runs []Run, policy string) (of []Run) {
	for _, r := range runs {
		if r.Policy == policy {
			of = append(of, r)
		}
	}
	return of
}
