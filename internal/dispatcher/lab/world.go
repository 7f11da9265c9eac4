package lab

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat/distuv"
)

// World is one run of the simulation. All its events run on the goroutine that calls Run.
type World struct {
	timeline
	experiment  *Experiment
	random      *rand.Rand // the result of a run depends on the order of its draws
	members     []*member
	byNumber    map[uint32]*member
	dispatchers []*dispatcher
	checker     *checker
	drawWork    []func() float64 // by index of the class
	newPolicy   PolicyMaker
	submissions int     // requests submitted so far, retries of clients included
	lossRate    float64 // current share of lost messages
	Result      Result
}

// startTime is the virtual time at which a run begins. It is above 0 because a time of 0 means long ago.
const startTime = time.Hour

// drainTime is how long a run continues after its length, so that open requests can end.
const drainTime = 2 * time.Minute

// maxRecorded is the largest latency that the histograms can record, in microseconds.
const maxRecorded = 600e6

// NewWorld returns a run that has not started. The error is that of the policy maker.
func NewWorld(x *Experiment, newPolicy PolicyMaker, seed uint64) (*World, error) {
	w := &World{experiment: x, random: rand.New(rand.NewPCG(seed, 31)), byNumber: map[uint32]*member{}, newPolicy: newPolicy}
	w.timeline = newTimeline(startTime)
	w.Result.Latency, w.Result.Wait = hdrhistogram.New(1, maxRecorded, 3), hdrhistogram.New(1, maxRecorded, 3)
	w.checker = newChecker(w)
	for i := range x.Kinds {
		for n := range x.Kinds[i].Count {
			w.addMember(&x.Kinds[i], n)
		}
	}
	for i := range x.Classes {
		w.drawWork = append(w.drawWork, w.workDistribution(&x.Classes[i]))
		w.Result.Classes = append(w.Result.Classes, ClassResult{Name: x.Classes[i].Name})
	}
	for rank := range x.Dispatchers {
		d := &dispatcher{world: w, rank: rank}
		w.dispatchers = append(w.dispatchers, d)
		if err := d.restart(); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// addMember adds member n of a kind.
func (w *World) addMember(k *MemberKind, n int) {
	m := &member{
		world: w, number: w.random.Uint32(), kind: k, cell: n % max(1, k.Cells), speed: k.Speed, speedFactor: 1, up: true, advancedAt: w.now,
	}
	for w.byNumber[m.number] != nil {
		m.number = w.random.Uint32()
	}
	if k.SpeedCV > 0 {
		m.speed *= math.Exp(k.SpeedCV * w.random.NormFloat64())
	}
	w.members = append(w.members, m)
	w.byNumber[m.number] = m
}

// workDistribution returns a function that draws the work of a job of a class, in nanoseconds
// at speed 1.
func (w *World) workDistribution(c *Class) func() float64 {
	mean := float64(c.MeanWork)
	switch c.WorkDistribution {
	case "exp":
		d := distuv.Exponential{Rate: 1 / mean, Src: w.random}
		return d.Rand
	case "pareto":
		d := distuv.Pareto{Xm: mean * 0.5, Alpha: 2, Src: w.random}
		return func() float64 { return min(d.Rand(), 50*mean) }
	case "lognormal":
		variance := math.Log(1 + float64(c.WorkCV*c.WorkCV))
		d := distuv.LogNormal{Mu: math.Log(mean) - variance/2, Sigma: math.Sqrt(variance), Src: w.random}
		return d.Rand
	}
	return func() float64 { return mean }
}

// Run simulates the experiment, and after its length the requests that are still open. It
// may be called only once.
func (w *World) Run() *Result {
	begin := w.now
	for i := range w.experiment.Classes {
		if w.experiment.Clients == 0 {
			w.scheduleArrival(i, begin, begin+w.experiment.Length)
		}
	}
	for range w.experiment.Clients {
		w.scheduleClient(begin, begin+w.experiment.Length)
	}
	for _, f := range w.experiment.Faults {
		w.schedule(begin+f.At, func() { w.inject(f) })
	}
	if w.experiment.SampleMembers {
		w.sampleMembers(begin)
	}
	w.runUntil(begin + w.experiment.Length)
	w.runUntil(begin + w.experiment.Length + drainTime)
	r := &w.Result
	r.Events = w.processed
	w.checker.finish()
	r.Violations = w.checker.violations
	var cores float64
	for _, m := range w.members {
		m.advance()
		r.Utilization += float64(m.workDone)
		cores += float64(m.kind.Cores)
	}
	r.Utilization /= cores * float64(w.experiment.Length)
	return r
}

// sampleMembers records the utilization of each member every second.
func (w *World) sampleMembers(begin time.Duration) {
	last := make([]time.Duration, len(w.members))
	var sample func()
	sample = func() {
		row := make([]float64, len(w.members))
		for i, m := range w.members {
			m.advance()
			row[i] = float64(m.workDone-last[i]) / float64(m.kind.Cores) / float64(time.Second)
			last[i] = m.workDone
		}
		if w.Result.Members = append(w.Result.Members, row); w.now < begin+w.experiment.Length {
			w.after(time.Second, sample)
		}
	}
	w.after(time.Second, sample)
}
