package lab

import (
	"math"
	"time"

	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/dispatcher/settings"
)

// Class is one class of requests of an experiment.
type Class struct {
	policy.Class
	Rate             float64       // logical requests a second, over all clients
	MeanWork         time.Duration // at speed 1
	WorkDistribution string        // fixed, exp, pareto or lognormal
	WorkCV           float64       // coefficient of variation of a lognormal work
	HintError        float64       // cost hints are off by as large a share, up or down; below 0: no hints
	Slots            []float64     // shares of the jobs with 1, 2, 4, 8 slots; none: all have 1
	Arrivals         Arrivals
}

// Fault is something that goes wrong in an experiment. Its fields are those of
// settings.ExperimentFault.
type Fault struct {
	Kind string        // one of the kinds of faults
	At   time.Duration // from the run's begin
	For  time.Duration // how long it lasts, or over how long deploys and restarts are spread
	Part float64       // share of the members or dispatchers that it strikes; lost: of the messages
	Size float64       // slow: the factor on the members' speed
}

// Kinds of faults, as in files of experiments.
const (
	faultCrash     = "crash"   // members end with all that they hold, and come back cold
	faultPause     = "pause"   // members stand still
	faultSlow      = "slow"    // members run slower
	faultPartition = "cut"     // members can't be reached
	faultLoss      = "lost"    // messages are lost
	faultDeploy    = "deploy"  // members are drained and replaced, one after the other
	faultRestart   = "restart" // dispatchers restart, one after the other
)

// Experiment is all that a run depends on, beside its seed and policy.
type Experiment struct {
	Length         time.Duration
	Dispatchers    int
	Kinds          []MemberKind
	Classes        []Class
	NetworkDelay   time.Duration // mean, one way
	NetworkJitter  float64       // standard deviation of the delay, as a share of it
	DiscoveryDelay time.Duration // mean, until a dispatcher learns of a change of the membership
	Retries        int           // of a client, after a rejection or where a retry is harmless
	Backoff        time.Duration // before a retry
	Clients        int           // a closed loop of as many, with the rates as weights; 0: open arrivals at the rates
	ThinkTime      time.Duration // mean, of a client of the closed loop
	Capacity       time.Duration // of the gate policies: expected time that is admitted at a time
	Settings       policy.Settings
	Faults         []Fault
	SampleMembers  bool // Result.Members is kept
}

// FromFile converts an experiment of a file, at a multiple of its rates.
func FromFile(f settings.Experiment, load float64) *Experiment {
	x := &Experiment{
		Length: f.Length, Dispatchers: f.Dispatchers, NetworkDelay: f.Net, NetworkJitter: f.NetCV, DiscoveryDelay: f.ListLate, Retries: f.Retries, Backoff: f.Backoff, Settings: f.Settings,
		Clients: int(math.Round(float64(f.Clients) * load)), ThinkTime: f.Think, Capacity: f.Capacity,
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
