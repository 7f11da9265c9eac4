package lab

import (
	"math"
	"time"

	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/dispatcher/settings"
	"basaltloft/internal/shared/saturating"
)

// Class is one class of requests of an experiment.
type Class struct {
	policy.Class
	Rate             float64       // logical requests a second, over all clients
	MeanWork         time.Duration // at speed 1
	WorkDistribution string        // fixed, exp, pareto or lognormal
	WorkCV           float64       // coefficient of variation of a lognormal work
	HintError        float64       // largest relative error of cost hints, up or down; below 0: no hints
	Slots            []float64     // shares of the jobs with 1, 2, 4 and 8 slots; empty: all jobs have 1
	Arrivals         Arrivals
}

// Fault is an injected fault of an experiment. Its fields are those of
// settings.ExperimentFault.
type Fault struct {
	Kind string        // one of the kinds of faults
	At   time.Duration // after the start of the run
	For  time.Duration // how long it lasts; deploy, restart: the span over which the restarts are spread
	Part float64       // share of the members or dispatchers that it affects; lost: of the messages
	Size float64       // slow: the factor applied to the members' speed
}

// Kinds of faults, as written in experiment files.
const (
	faultCrash     = "crash"   // members lose all their jobs, and restart cold
	faultPause     = "pause"   // members stop processing
	faultSlow      = "slow"    // members run slower
	faultPartition = "cut"     // members are unreachable
	faultLoss      = "lost"    // messages are lost
	faultDeploy    = "deploy"  // members are drained and restarted, one after the other
	faultRestart   = "restart" // dispatchers restart, one after the other
)

// Experiment holds all inputs of a run except its seed and policy.
type Experiment struct {
	Length         time.Duration
	Dispatchers    int
	Kinds          []MemberKind
	Classes        []Class
	NetworkDelay   time.Duration // mean, one way
	NetworkJitter  float64       // standard deviation of the delay, as a share of its mean
	DiscoveryDelay time.Duration // mean, until a change of the membership reaches a dispatcher
	Retries        int           // of a client, after a refusal or if the class is idempotent
	Backoff        time.Duration // before a retry
	Clients        int           // closed-loop clients, with the rates as class weights; 0: open arrivals at the rates
	ThinkTime      time.Duration // mean think time of a client of the closed loop
	Capacity       time.Duration // of the gate policies: the sum of expected times that may be admitted at once
	Settings       policy.Settings
	Faults         []Fault
	SampleMembers  bool // Result.Members is recorded
}

// FromFile converts an experiment that was read from a file, with its rates multiplied by load.
func FromFile(f settings.Experiment, load float64) *Experiment {
	x := &Experiment{
		Length: f.Length, Dispatchers: f.Dispatchers, NetworkDelay: f.Net, NetworkJitter: f.NetCV, DiscoveryDelay: f.ListLate, Retries: f.Retries, Backoff: f.Backoff, Settings: f.Settings,
		Clients: saturating.Int(math.Round(float64(f.Clients) * load)), ThinkTime: f.Think, Capacity: f.Capacity,
	}
	for _, k := range f.Members {
		x.Kinds = append(x.Kinds, MemberKind{
			Name: k.Kind, Count: k.Count, Cores: k.Cores, Slots: k.Slots, Queue: k.Queue, Speed: k.Speed, SpeedCV: k.SpeedCV, Cells: k.Cells,
			InitialSpeed: k.ColdFrom, WarmupTime: k.ColdFor, Crowding: k.Crowding, CrowdFrom: k.CrowdFrom, Connections: k.Connections, Handshake: k.Handshake,
		})
	}
	for _, c := range f.Classes {
		for _, of := range f.Settings.Classes {
			if of.Name == c.Name {
				x.Classes = append(x.Classes, Class{
					Class: of, Rate: c.Rate * load, MeanWork: c.Work, WorkDistribution: c.Shape, WorkCV: c.CV, HintError: c.HintError, Slots: c.Slots,
					Arrivals: arrivalsOf(c.Arrivals, load),
				})
			}
		}
	}
	for _, t := range f.Faults {
		x.Faults = append(x.Faults, Fault(t))
	}
	return x
}
