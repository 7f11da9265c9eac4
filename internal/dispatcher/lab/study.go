package lab

import (
	"runtime"
	"sync"
	"time"
)

// Study is an experiment that is run with every combination of some policies and seeds.
type Study struct {
	Experiment *Experiment
	Policies   []string // by their names in PolicyMakers
	Seeds      int      // number of seeds, from FirstSeed on
	FirstSeed  uint64
	Load       float64 // factor on the rates of the experiment file, copied to Run.Load
	Variant    string  // what a sweep changed in the experiment file, copied to Run.Set
}

// Run is the result of one run of a study. It is written as JSON under the names of its
// fields. Asked, InTime, Late, Refused and Failed count logical requests.
type Run struct {
	Load      float64 // factor on the rates of the experiment file
	Set       string  // what a sweep changed in the experiment file
	Policy    string
	Seed      uint64
	Goodput   float64 // share of the requested work that was done in time
	Asked     int
	InTime    int
	Late      int
	Refused   int
	Failed    int
	Tries     int      // attempts of the clients
	Sends     int      // attempts that the dispatchers sent
	Busy      float64  // share of the core time that was in use
	P50, P95  float64  // latency of served logical requests, in milliseconds
	P99, Wait float64  // in milliseconds; Wait is the mean from the send of an attempt until it starts to run
	Events    int      // events of the simulation
	Broken    []string // violations of rules that the checker found
	Took      float64  // real time of the run, in seconds

	PerS    float64 // logical requests served per second
	Mean    float64 // mean latency of the served requests, in milliseconds
	Classes []ClassRun
	Latency [][2]float64 // pairs of a percentile and its latency in milliseconds
	Seconds []Second
	Members [][]float64 // see Result
}

// ClassRun is the result of one run for one class. It is written as JSON.
type ClassRun struct {
	Name string
	PerS float64 // logical requests served per second
	Mean float64 // mean latency of the served requests, in milliseconds
}

// RunAll runs every combination of policy and seed, in parallel on GOMAXPROCS goroutines, and
// calls done after each run on one of these goroutines. The results, except Run.Took, do not
// depend on the number of goroutines.
func (s *Study) RunAll(done func()) ([]Run, error) {
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
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for t := range next {
				runs[t.number], errs[t.number] = s.runOne(t.policy, t.seed)
				done()
			}
		})
	}
	for _, t := range tasks {
		next <- t
	}
	close(next)
	workers.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return runs, nil
}

// percentiles are the percentiles of Run.Latency.
var percentiles = []float64{1, 5, 10, 25, 50, 75, 90, 95, 99, 99.9}

func (s *Study) runOne(name string, seed uint64) (Run, error) {
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

// RunsOf returns the runs of one policy, in their order.
func RunsOf(runs []Run, policy string) (matching []Run) {
	for _, r := range runs {
		if r.Policy == policy {
			matching = append(matching, r)
		}
	}
	return matching
}
