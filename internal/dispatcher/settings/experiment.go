package settings

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"basaltloft/internal/dispatcher/jsontext"
	"basaltloft/internal/dispatcher/policy"

	"github.com/valyala/fastjson"
)

// Experiment is a file for the lab: a fleet, what is asked of it, and what goes
// wrong.
type Experiment struct {
	Length      time.Duration
	Dispatchers int
	Members     []ExperimentMembers
	Classes     []ExperimentClass // what the settings have is read from there
	Net         time.Duration
	NetCV       float64
	ListLate    time.Duration
	Retries     int
	Backoff     time.Duration
	Clients     int           // a closed loop of so many; 0: arrivals by the rates
	Think       time.Duration // of a client between an answer and its next ask
	Capacity    time.Duration // of the gate policies
	Settings    policy.Settings
	Faults      []ExperimentFault
	Policies    []string
	Seeds       int
	Loads       []float64 // the rates are played at these multiples; none: as they are
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
	Connections                int           // that it holds at a time; 0: no bound
	Handshake                  time.Duration // of its work, for each attempt
}

// ExperimentClass is what is asked of one class of the settings.
type ExperimentClass struct {
	Name      string
	Rate      float64 // a second
	Work      time.Duration
	Shape     string
	CV        float64
	HintError float64 // below 0: no hints
	Slots     []float64
	Arrivals  Arrivals
}

// Arrivals are how the requests of a class arrive.
type Arrivals struct {
	Kind      string        // poisson, ramp, bursts or trace
	From, To  float64       // ramp: the rate's multiple at the begin and at the end
	On, Off   time.Duration // bursts: so long at High, then so long at Low
	High, Low float64       // multiples of the rate
	Trace     []Arrival     // trace: these alone; a load multiplies how fast they come
}

// Arrival is one request of a trace.
type Arrival struct {
	At, Work time.Duration
}

// Sweep is a figure of the file that is played at several values.
type Sweep struct {
	Path   string   // such as experiment.members[0].queue
	Values []string // as JSON
}

// ExperimentFault is something that goes wrong.
type ExperimentFault struct {
	Kind       string
	At, For    time.Duration
	Part, Size float64
}

// Shapes and Troubles are the words that an experiment may use.
var (
	Shapes       = []string{"fixed", "exp", "pareto", "lognormal"}
	FaultKinds   = []string{"crash", "pause", "slow", "deploy", "restart", "cut", "lost"}
	ArrivalKinds = []string{"poisson", "ramp", "bursts", "trace"}
)

// Override is a value, as JSON, in place of the one at a path of a file.
type Override struct{ Path, Value string }

// DecodeExperiment reads an experiment, with some values put in place of its own,
// and checks it.
func DecodeExperiment(text []byte, puts ...Override) (Experiment, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return Experiment{}, fmt.Errorf("experiment: %w", err)
	}
	for _, p := range puts {
		if err := put(v, p); err != nil {
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
	r := newReader(v, "")
	ms := func(r *reader, key string) time.Duration {
		return time.Duration(r.number(key) * float64(time.Millisecond))
	}
	x := Experiment{
		Length: time.Duration(r.number("experiment.length_s") * float64(time.Second)), Dispatchers: int(r.count("experiment.dispatchers", 1)),
		Net: time.Duration(r.number("experiment.net_us") * float64(time.Microsecond)), NetCV: r.number("experiment.net_cv"),
		ListLate: ms(r, "experiment.list_late_ms"), Retries: int(r.count("experiment.retries", 0)), Backoff: ms(r, "experiment.backoff_ms"),
		Clients: int(r.count("experiment.clients", 0)), Think: ms(r, "experiment.think_ms"), Capacity: ms(r, "experiment.capacity_ms"),
		Policies: r.names("experiment.policies"), Seeds: int(r.count("experiment.seeds", 5)),
	}
	if len(x.Policies) == 0 {
		x.Policies = []string{"module"}
	}
	for _, n := range r.list("experiment.loads") {
		x.Loads = append(x.Loads, n.GetFloat64())
	}
	for i, at := range r.list("experiment.sweeps") {
		inner := r.inner(at, fmt.Sprintf("experiment.sweeps[%d].", i))
		s := Sweep{Path: inner.text("path")}
		for _, n := range inner.list("values") {
			s.Values = append(s.Values, string(jsontext.Append(nil, n)))
		}
		if find(v, s.Path) == nil {
			inner.fail("path", fmt.Errorf("the file has nothing at %q", s.Path))
		}
		if len(s.Values) == 0 {
			inner.fail("values", errors.New("there are none"))
		}
		r.join(inner)
		x.Sweeps = append(x.Sweeps, s)
	}
	if x.Clients > 0 && x.Think <= 0 {
		r.fail("experiment.think_ms", errors.New("must be more than nothing where there are clients"))
	}
	if x.Length <= 0 {
		r.fail("experiment.length_s", errors.New("must be more than nothing"))
	}
	var err error
	if x.Settings, err = Decode(r.find("settings")); err != nil {
		r.take("settings", err)
	}
	x.Settings.Instances = x.Dispatchers
	each := func(path string, do func(r *reader)) {
		for i, at := range r.list(path) {
			inner := r.inner(at, fmt.Sprintf("%s[%d].", path, i))
			do(inner)
			r.join(inner)
		}
	}
	each("experiment.members", func(r *reader) {
		k := ExperimentMembers{
			Kind: r.text("kind"), Count: int(r.count("count", 1)), Cores: int(r.count("cores", 1)), Queue: int(r.count("queue", 0)), Cells: int(r.count("cells", 1)),
			Speed: r.number("speed"), SpeedCV: r.number("speed_cv"), ColdFrom: r.number("cold_from"), Crowding: r.number("crowding"), CrowdFrom: int(r.count("crowd_from", 0)),
			ColdFor:     time.Duration(r.number("cold_s") * float64(time.Second)),
			Connections: int(r.count("connections", 0)), Handshake: time.Duration(r.number("handshake_us") * float64(time.Microsecond)),
		}
		if k.Slots = int(r.count("slots", int64(k.Cores))); k.Speed == 0 {
			k.Speed = 1
		}
		if k.Speed < 0 || k.SpeedCV < 0 || k.ColdFrom < 0 || k.ColdFrom > 1 || k.Crowding < 0 {
			r.fail("kind", errors.New("a figure is out of its range"))
		}
		x.Members = append(x.Members, k)
	})
	if len(x.Members) == 0 {
		r.fail("experiment.members", errors.New("there are none"))
	}
	each("experiment.classes", func(r *reader) {
		c := ExperimentClass{
			Name: r.text("name"), Rate: r.number("rate"), Work: ms(r, "work_ms"), Shape: r.text("shape"), CV: r.number("cv"), HintError: r.number("hint_error"),
		}
		if c.Shape == "" {
			c.Shape = "exp"
		}
		for _, n := range r.list("slots") {
			c.Slots = append(c.Slots, n.GetFloat64())
		}
		switch {
		case !slices.ContainsFunc(x.Settings.Classes, func(o policy.Class) bool { return o.Name == c.Name }):
			r.fail("name", fmt.Errorf("the settings have no class %q", c.Name))
		case c.Rate <= 0 || c.Work <= 0:
			r.fail("rate", errors.New("rate and work_ms must be more than nothing"))
		case !slices.Contains(Shapes, c.Shape):
			r.fail("shape", fmt.Errorf("is one of %q, not %q", Shapes, c.Shape))
		}
		c.Arrivals = r.arrivals()
		x.Classes = append(x.Classes, c)
	})
	if len(x.Classes) == 0 {
		r.fail("experiment.classes", errors.New("there are none"))
	}
	each("experiment.troubles", func(r *reader) {
		t := ExperimentFault{
			Kind: r.text("kind"), At: time.Duration(r.number("at_s") * float64(time.Second)), For: ms(r, "for_ms"), Part: r.number("part"), Size: r.number("size"),
		}
		switch {
		case !slices.Contains(FaultKinds, t.Kind):
			r.fail("kind", fmt.Errorf("is one of %q, not %q", FaultKinds, t.Kind))
		case t.Part <= 0 || t.Part > 1:
			r.fail("part", errors.New("is a share above 0, up to 1"))
		case t.Kind == "slow" && t.Size <= 0:
			r.fail("size", errors.New("is the factor on the speed, above 0"))
		}
		x.Faults = append(x.Faults, t)
	})
	return x, r
}

// arrivals reads how the requests of a class arrive.
func (r *reader) arrivals() Arrivals {
	span := func(key string) time.Duration { return time.Duration(r.number(key) * float64(time.Millisecond)) }
	a := Arrivals{Kind: r.text("arrivals.kind")}
	switch a.Kind {
	case "":
		a.Kind = "poisson"
	case "poisson":
	case "ramp":
		if a.From, a.To = r.number("arrivals.from"), r.number("arrivals.to"); a.From < 0 || a.To < 0 || a.From+a.To == 0 {
			r.fail("arrivals.from", errors.New("from and to are multiples of the rate, and not both nothing"))
		}
	case "bursts":
		a.On, a.Off, a.High, a.Low = span("arrivals.on_ms"), span("arrivals.off_ms"), r.number("arrivals.high"), r.number("arrivals.low")
		if a.On <= 0 || a.Off <= 0 || a.High <= 0 || a.Low < 0 {
			r.fail("arrivals.on_ms", errors.New("on_ms, off_ms and high must be more than nothing, and low not below"))
		}
	case "trace":
		last := 0.0
		for i, at := range r.list("arrivals.at_ms") {
			ms := at.GetFloat64()
			if at.Type() != fastjson.TypeNumber || ms < last {
				r.fail("arrivals.at_ms", fmt.Errorf("entry %d is no number, or before the one ahead of it", i))
				break
			}
			last = ms
			a.Trace = append(a.Trace, Arrival{At: time.Duration(ms * float64(time.Millisecond))})
		}
		works := r.list("arrivals.work_ms")
		if len(a.Trace) == 0 || len(works) > 0 && len(works) != len(a.Trace) {
			r.fail("arrivals.at_ms", errors.New("must have entries, and as many as arrivals.work_ms if that is there"))
			break
		}
		for i, w := range works {
			a.Trace[i].Work = time.Duration(w.GetFloat64() * float64(time.Millisecond))
		}
	default:
		r.fail("arrivals.kind", fmt.Errorf("is one of %q, not %q", ArrivalKinds, a.Kind))
	}
	return a
}
