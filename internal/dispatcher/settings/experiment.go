package settings

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"basaltloft/internal/dispatcher/jsontext"
	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/shared/saturating"

	"github.com/valyala/fastjson"
)

// Experiment is the content of an experiment file of package lab: a fleet of dispatchers and members, its
// load, and its faults. The unit of a time in the file is part of its key.
type Experiment struct {
	Length      time.Duration // of a run, in virtual time
	Dispatchers int
	Members     []ExperimentMembers
	Classes     []ExperimentClass // the other properties of a class are in the settings
	Net         time.Duration     // delay of the network, one way
	NetCV       float64           // standard deviation of the delay, as a share of its mean
	ListLate    time.Duration     // mean delay of discovery
	Retries     int               // of a client, after a refusal or if the class is idempotent
	Backoff     time.Duration     // of clients before a retry
	Clients     int               // in a closed loop; 0: requests arrive at the rates of the classes
	Think       time.Duration     // mean time of a client between an answer and its next request
	Capacity    time.Duration     // of the gate policies: expected time admitted at once
	Settings    policy.Settings
	Faults      []ExperimentFault
	Policies    []string  // by their names in the lab
	Seeds       int       // number of seeds
	Loads       []float64 // multiples of the rates to run; empty: 1
	Sweeps      []Sweep
}

// ExperimentMembers are the members of one kind.
type ExperimentMembers struct {
	Kind                       string
	Count, Cores, Slots, Queue int
	Cells                      int
	Speed, SpeedCV             float64
	ColdFrom                   float64
	ColdFor                    time.Duration
	Crowding                   float64
	CrowdFrom                  int
	Connections                int           // limit of concurrent connections; 0: no limit
	Handshake                  time.Duration // additional work for each attempt
}

// ExperimentClass is the load of one class of the settings.
type ExperimentClass struct {
	Name      string
	Rate      float64       // requests per second
	Work      time.Duration // mean work of a request
	Shape     string        // distribution of the work, one of Shapes
	CV        float64       // coefficient of variation of lognormal work
	HintError float64       // largest relative error of hints, up or down; below 0: no hints
	Slots     []float64     // shares of requests with 1, 2, 4 and 8 slots; empty: all have 1
	Arrivals  Arrivals
}

// Arrivals describes how the requests of a class arrive.
type Arrivals struct {
	Kind      string        // poisson, ramp, bursts or trace
	From, To  float64       // ramp: the multiple of the rate at the start and at the end
	On, Off   time.Duration // bursts: alternating spans with factor High and factor Low
	High, Low float64       // bursts: multiples of the rate during On and Off
	Trace     []Arrival     // trace: the only requests; a load divides their times
}

// Arrival is one request of a trace.
type Arrival struct {
	At, Work time.Duration
}

// Sweep holds the values that an experiment is run with for one path of its file.
type Sweep struct {
	Path   string   // such as experiment.members[0].queue
	Values []string // in JSON
}

// ExperimentFault is a fault of members, dispatchers or the network between them.
type ExperimentFault struct {
	Kind    string // one of FaultKinds
	At, For time.Duration
	Part    float64 // the share, above 0 up to 1, of the members, dispatchers (restart) or messages (lost)
	Size    float64 // slow: the factor on the speed
}

// The values that the kinds and shapes of an experiment may have.
var (
	Shapes       = []string{"fixed", "exp", "pareto", "lognormal"}
	FaultKinds   = []string{"crash", "pause", "slow", "deploy", "restart", "cut", "lost"}
	ArrivalKinds = []string{"poisson", "ramp", "bursts", "trace"}
)

// Override replaces the value at a path of a file by another one, in JSON.
type Override struct{ Path, Value string }

// DecodeExperiment reads an experiment, with some of its values overridden, and checks it.
func DecodeExperiment(text []byte, overrides ...Override) (Experiment, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return Experiment{}, fmt.Errorf("experiment: %w", err)
	}
	for _, o := range overrides {
		if err := override(v, o); err != nil {
			return Experiment{}, fmt.Errorf("experiment: %w", err)
		}
	}
	x, r := decodeExperiment(v)
	if err := r.err(); err != nil {
		return x, fmt.Errorf("experiment: %w", err)
	}
	return x, nil
}

func decodeExperiment(v *fastjson.Value) (Experiment, *reader) {
	r := newReader(v)
	x := Experiment{
		Length:      r.seconds("experiment.length_s"),
		Dispatchers: int(r.count("experiment.dispatchers", 1)),
		Net:         r.microseconds("experiment.net_us"),
		NetCV:       r.number("experiment.net_cv"),
		ListLate:    r.milliseconds("experiment.list_late_ms"),
		Retries:     int(r.count("experiment.retries", 0)),
		Backoff:     r.milliseconds("experiment.backoff_ms"),
		Clients:     int(r.count("experiment.clients", 0)),
		Think:       r.milliseconds("experiment.think_ms"),
		Capacity:    r.milliseconds("experiment.capacity_ms"),
		Policies:    r.names("experiment.policies"),
		Seeds:       int(r.count("experiment.seeds", 5)),
	}
	if len(x.Policies) == 0 {
		x.Policies = []string{"module"}
	}
	for _, n := range r.list("experiment.loads") {
		x.Loads = append(x.Loads, n.GetFloat64())
	}
	r.each("experiment.sweeps", func(r *reader) { x.Sweeps = append(x.Sweeps, r.sweep(v)) })
	if x.Clients > 0 && x.Think <= 0 {
		r.fail("experiment.think_ms", errors.New("must be more than nothing where there are clients"))
	}
	if x.Length <= 0 {
		r.fail("experiment.length_s", errors.New("must be more than nothing"))
	}
	var err error
	if x.Settings, err = Decode(r.find("settings")); err != nil {
		r.addError("settings", err)
	}
	x.Settings.Instances = x.Dispatchers
	r.each("experiment.members", func(r *reader) { x.Members = append(x.Members, r.experimentMembers()) })
	if len(x.Members) == 0 {
		r.fail("experiment.members", errors.New("there are none"))
	}
	r.each("experiment.classes", func(r *reader) {
		x.Classes = append(x.Classes, r.experimentClass(x.Settings.Classes))
	})
	if len(x.Classes) == 0 {
		r.fail("experiment.classes", errors.New("there are none"))
	}
	r.each("experiment.troubles", func(r *reader) { x.Faults = append(x.Faults, r.experimentFault()) })
	return x, r
}

// sweep reads a sweep; its path must exist in the file.
func (r *reader) sweep(file *fastjson.Value) Sweep {
	s := Sweep{Path: r.text("path")}
	for _, n := range r.list("values") {
		s.Values = append(s.Values, string(jsontext.Append(nil, n)))
	}
	if find(file, s.Path) == nil {
		r.fail("path", fmt.Errorf("the file has nothing at %q", s.Path))
	}
	if len(s.Values) == 0 {
		r.fail("values", errors.New("there are none"))
	}
	return s
}

// experimentMembers reads the members of one kind.
func (r *reader) experimentMembers() ExperimentMembers {
	m := ExperimentMembers{
		Kind:        r.text("kind"),
		Count:       int(r.count("count", 1)),
		Cores:       int(r.count("cores", 1)),
		Queue:       int(r.count("queue", 0)),
		Cells:       int(r.count("cells", 1)),
		Speed:       r.number("speed"),
		SpeedCV:     r.number("speed_cv"),
		ColdFrom:    r.number("cold_from"),
		Crowding:    r.number("crowding"),
		CrowdFrom:   int(r.count("crowd_from", 0)),
		ColdFor:     r.seconds("cold_s"),
		Connections: int(r.count("connections", 0)),
		Handshake:   r.microseconds("handshake_us"),
	}
	if m.Slots = int(r.count("slots", int64(m.Cores))); m.Speed == 0 {
		m.Speed = 1
	}
	if m.Speed < 0 || m.SpeedCV < 0 || m.ColdFrom < 0 || m.ColdFrom > 1 || m.Crowding < 0 {
		r.fail("kind", errors.New("a value is out of its range"))
	}
	return m
}

// experimentClass reads the load of one class of the settings.
func (r *reader) experimentClass(classes []policy.Class) ExperimentClass {
	c := ExperimentClass{
		Name: r.text("name"), Rate: r.number("rate"), Work: r.milliseconds("work_ms"),
		Shape: r.text("shape"), CV: r.number("cv"), HintError: r.number("hint_error"),
	}
	if c.Shape == "" {
		c.Shape = "exp"
	}
	for _, n := range r.list("slots") {
		c.Slots = append(c.Slots, n.GetFloat64())
	}
	switch {
	case !slices.ContainsFunc(classes, func(o policy.Class) bool { return o.Name == c.Name }):
		r.fail("name", fmt.Errorf("the settings have no class %q", c.Name))
	case c.Rate <= 0 || c.Work <= 0:
		r.fail("rate", errors.New("rate and work_ms must be more than nothing"))
	case !slices.Contains(Shapes, c.Shape):
		r.fail("shape", fmt.Errorf("is one of %q, not %q", Shapes, c.Shape))
	}
	c.Arrivals = r.arrivals()
	return c
}

// experimentFault reads a fault.
func (r *reader) experimentFault() ExperimentFault {
	f := ExperimentFault{
		Kind: r.text("kind"), At: r.seconds("at_s"), For: r.milliseconds("for_ms"),
		Part: r.number("part"), Size: r.number("size"),
	}
	switch {
	case !slices.Contains(FaultKinds, f.Kind):
		r.fail("kind", fmt.Errorf("is one of %q, not %q", FaultKinds, f.Kind))
	case f.Part <= 0 || f.Part > 1:
		r.fail("part", errors.New("must be a share above 0, up to 1"))
	case f.Kind == "slow" && f.Size <= 0:
		r.fail("size", errors.New("must be the factor on the speed, above 0"))
	}
	return f
}

// arrivals reads how the requests of a class arrive.
func (r *reader) arrivals() Arrivals {
	a := Arrivals{Kind: r.text("arrivals.kind")}
	switch a.Kind {
	case "":
		a.Kind = "poisson"
	case "poisson":
	case "ramp":
		a.From, a.To = r.number("arrivals.from"), r.number("arrivals.to")
		if a.From < 0 || a.To < 0 || a.From+a.To == 0 {
			r.fail("arrivals.from", errors.New("from and to are multiples of the rate; they must not be negative or both 0"))
		}
	case "bursts":
		a.On, a.Off = r.milliseconds("arrivals.on_ms"), r.milliseconds("arrivals.off_ms")
		a.High, a.Low = r.number("arrivals.high"), r.number("arrivals.low")
		if a.On <= 0 || a.Off <= 0 || a.High <= 0 || a.Low < 0 {
			r.fail("arrivals.on_ms", errors.New("on_ms, off_ms and high must be above 0, and low must not be negative"))
		}
	case "trace":
		a.Trace = r.trace()
	default:
		r.fail("arrivals.kind", fmt.Errorf("is one of %q, not %q", ArrivalKinds, a.Kind))
	}
	return a
}

// trace reads the arrivals of a trace, which must be sorted by time.
func (r *reader) trace() (trace []Arrival) {
	last := 0.0
	for i, at := range r.list("arrivals.at_ms") {
		ms := at.GetFloat64()
		if at.Type() != fastjson.TypeNumber || ms < last {
			r.fail("arrivals.at_ms", fmt.Errorf("entry %d is no number, or is less than the entry before it", i))
			break
		}
		last = ms
		trace = append(trace, Arrival{At: saturating.Duration(ms * float64(time.Millisecond))})
	}
	works := r.list("arrivals.work_ms")
	if len(trace) == 0 || len(works) > 0 && len(works) != len(trace) {
		r.fail("arrivals.at_ms", errors.New("must have entries, and as many as arrivals.work_ms if that is present"))
		return trace
	}
	for i, w := range works {
		trace[i].Work = saturating.Duration(w.GetFloat64() * float64(time.Millisecond))
	}
	return trace
}
