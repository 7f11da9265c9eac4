package policy_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// coldRun is a fleet of dispatchers that are all told of one cold member, at which all their jobs end up: the
// others that they use are jammed.
type coldRun struct {
	n        int                    // dispatchers
	jammed   int                    // other members in use
	rate     func(i, n int) float64 // of one dispatcher beside the others
	jobs     float64                // that come a second, in all
	wide     float64                // share of jobs that are long and up to widest slots wide
	widest   int                    //
	aim      time.Duration          // how long jobs may wait
	off      [2]float64             // what narrow and long jobs run, beside their hints
	errors   float64                // share of jobs that fail, and may be sent again
	quiet    time.Duration          // no job comes before this age of the cold member
	restarts bool                   // each dispatcher restarts once and forgets what it sent
	report   bool                   // free slots are told, to probes
	rules    policy.Rules
	seed     uint64
}

// coldHost tells a run of what its dispatcher sends.
type coldHost struct {
	*recorder
	send func(id string, w uint32)
}

func (h *coldHost) Send(id string, w uint32, _ time.Duration) { h.send(id, w) }
func (h *coldHost) Probe(uint32)                              {}

// coldFigures are what the windows of a run held.
type coldFigures struct {
	windows, over int     // looked at, one for each send, and those over the rule's budget
	worst         float64 // the most work in one, beside what the rule and chance allow
	alone         float64 // the most work of one dispatcher in one, beside its even part of the rule's budget
	part          float64 // work sent, beside the rule's budget of all windows of the ramp laid side by side
}

const (
	coldID    = 99
	coldCores = 4
	coldTick  = 20 * ms
)

// coldPlayer is one dispatcher of a run.
type coldPlayer struct {
	*policy.Dispatcher
	host *coldHost
	hold map[string]policy.Request
	n    map[string]int // attempts sent
	rate float64
}

func (c coldRun) settings(rank int) policy.Settings {
	s := settings()
	s.Instances, s.Rank, s.Seed, s.ReportsStart = c.n, rank, c.seed<<20+uint64(rank), true
	s.Limits.ConcurrentAttempts, s.Limits.Probes, s.Rules = false, c.report, c.rules
	s.Classes = nil
	for _, name := range []string{"hold", "ticket", "jam"} {
		s.Classes = append(s.Classes, policy.Class{Name: name, Effect: policy.Idempotent, LatencyTarget: c.aim,
			TargetPerWork: 2, ClientTimeout: time.Minute, Value: 1, Kind: -1})
	}
	return s
}

// start starts a dispatcher that knows the kind's slots and whose warm members each hold a job that does not start.
func (c coldRun) start(t *testing.T, rank int, at time.Duration) *coldPlayer {
	p := &coldPlayer{hold: make(map[string]policy.Request), n: make(map[string]int)}
	p.host = &coldHost{recorder: &recorder{sends: make(map[string]int), after: make(map[string]time.Duration), now: at}}
	p.host.send = func(string, uint32) {}
	d, err := policy.New(c.settings(rank), p.host)
	if err != nil {
		t.Fatal(err)
	}
	p.Dispatcher = d
	var list []policy.Member
	for i := range c.jammed + 1 {
		list = append(list, member(uint32(i+1), "a"))
	}
	d.HandleMembers(at, policy.ListRestored, list)
	d.HandleProbeResult(at, full(1, coldCores))
	for i := range c.jammed + 1 {
		d.HandleRequest(at, policy.Request{ID: fmt.Sprint("jam", i), Class: "jam", Hint: 770 * ms, Slots: 1, Deadline: at + time.Minute})
		if c.report {
			for w := range c.jammed + 1 {
				d.HandleProbeResult(at, full(uint32(w+1), 0))
			}
		}
	}
	d.HandleTimer(at+30*ms, "start") // none has started: no more fits there
	return p
}

// play plays the ramp of one cold member and looks at all windows that end with a send to it.
//
//nolint:funlen,gocognit // a simulation whose steps share their state
func (c coldRun) play(t *testing.T) (f coldFigures) {
	type load struct {
		at, work float64
		by       int
	}
	rng := rand.New(rand.NewPCG(c.seed, uint64(c.n)))
	born, total := time.Minute, 0.0
	players := make([]*coldPlayer, c.n)
	for i := range players {
		players[i] = c.start(t, i, born)
		players[i].rate = c.rate(i, c.n)
		total += players[i].rate
	}
	cold := member(coldID, "a")
	cold.StartedAt = born + time.Second
	var sent []load
	asked, jobs, window := 0.0, 0.0, c.rules.ColdOverloadWindow.Seconds()
	truth, slots := make(map[string]time.Duration), make(map[string]float64)
	ends := make(map[time.Duration][]func())
	told := func(i int, p *coldPlayer) {
		p.host.send = func(id string, w uint32) {
			n := p.n[id]
			p.n[id]++
			if w != coldID || truth[id] == 0 {
				return
			}
			now := p.host.now
			sent = append(sent, load{(now - cold.StartedAt).Seconds(), truth[id].Seconds() * slots[id], i})
			share := c.rules.ColdCapacity + (1-c.rules.ColdCapacity)*float64(now-cold.StartedAt)/float64(c.rules.WarmupTime)
			end := (now + time.Duration(float64(truth[id])*(1+0.25*(1/share-1)))).Round(coldTick)
			status := policy.OK
			if rng.Float64() < c.errors {
				status = policy.Rejected
			}
			start := now + coldTick
			ends[start] = append(ends[start], func() {
				p.HandleAttemptUpdate(start, policy.AttemptUpdate{Request: id, Attempt: n, Worker: w, Kind: policy.UpdateStarted})
			})
			ends[end] = append(ends[end], func() {
				p.HandleAttemptResult(end, policy.AttemptResult{Request: id, Attempt: n, Worker: w, Status: status, Final: status == policy.OK})
			})
		}
		p.HandleMembers(p.host.now, policy.ListDelta, []policy.Member{cold})
	}
	for i, p := range players {
		p.host.now = cold.StartedAt
		told(i, p)
	}
	for now := cold.StartedAt; now < cold.StartedAt+c.rules.WarmupTime; now += coldTick {
		for k := 0; k < len(ends[now]); k++ {
			ends[now][k]()
		}
		for i, p := range players {
			if c.restarts && now == cold.StartedAt+(time.Duration(i)*c.rules.WarmupTime/time.Duration(c.n)).Round(coldTick) {
				p = c.start(t, i, now)
				p.rate, players[i] = players[i].rate, p
				p.host.now = now + 40*ms
				told(i, p)
			}
			p.host.now = now
			due := false
			p.host.timers = slices.DeleteFunc(p.host.timers, func(e timer) bool {
				due = due || e.at <= now
				return e.at <= now
			})
			if due {
				p.HandleTimer(now, "tick")
				p.HandleTimer(now, "trial")
			}
			for more := p.rate / total * c.jobs * coldTick.Seconds(); now-cold.StartedAt >= c.quiet && rng.Float64() < more; more-- {
				jobs++
				id := "r" + strconv.Itoa(int(jobs))
				r := policy.Request{ID: id, Class: "hold", Slots: 1, Deadline: now + 30*time.Second}
				run := 0.77 * (0.2 + 0.8*rng.ExpFloat64())
				off := c.off[0]
				if rng.Float64() < c.wide {
					r.Class, r.Slots, off = "ticket", float64(int(1)<<rng.IntN(c.widest+1)), c.off[1]
					run = 3.2 * (0.2 + 0.8*rng.ExpFloat64())
				}
				r.Hint = time.Duration(run / off * float64(time.Second))
				truth[id], slots[id] = time.Duration(run*float64(time.Second)), r.Slots
				asked += run * r.Slots
				p.HandleRequest(now, r)
			}
		}
	}
	mean := asked / jobs
	budget := func(at float64) float64 {
		share := c.rules.ColdCapacity + (1-c.rules.ColdCapacity)*max(0, at)/c.rules.WarmupTime.Seconds()
		return c.rules.ColdOverloadMultiple * share * coldCores * window / mean
	}
	for i, last := range sent {
		sum, own := 0.0, 0.0
		for k := i; k >= 0 && sent[k].at > last.at-window; k-- {
			sum += sent[k].work / mean
			own += sent[k].work / mean * float64(boolToInt(sent[k].by == last.by))
		}
		n := budget(last.at - window)
		most := n + 2*math.Sqrt(n) + 2
		f.windows++
		f.over += boolToInt(sum > most)
		f.worst = max(f.worst, sum/most)
		f.alone = max(f.alone, own*float64(c.n)/n)
		f.part += last.work / mean
	}
	all := 0.0
	for at := 0.0; at < c.rules.WarmupTime.Seconds(); at += window {
		all += budget(at)
	}
	f.part /= all
	return f
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

var (
	evenRate = func(int, int) float64 { return 1 }
	oneRate  = func(i, n int) float64 { return 1 + float64(boolToInt(i == 0))*4*float64(n)/float64(n-1) } // 5 times the mean, nearly
	zipfRate = func(i, _ int) float64 { return 1 / float64(i+1) }
)

// TestSlowStartSumAtEachSize: whatever the number of dispatchers, and however their traffic lies, what they send to a
// cold member together stays under N + 2 x root of N + 2 jobs of mean work in every window of the rule, in true work.
// Of few, whose draws make no distribution, none sends more than its even part of N, but for what it learned of paces.
func TestSlowStartSumAtEachSize(t *testing.T) {
	rules := policy.Rules{AnswerGrace: 20 * ms, ColdCapacity: 0.12, WarmupTime: 24 * time.Second, ColdOverloadMultiple: 4, ColdOverloadWindow: 3 * time.Second}
	short := policy.Rules{AnswerGrace: 20 * ms, ColdCapacity: 0.3, WarmupTime: 8 * time.Second, ColdOverloadMultiple: 2.5, ColdOverloadWindow: 1500 * ms}
	base := coldRun{jammed: 9, rate: evenRate, jobs: 30, widest: 2, aim: 3 * time.Second, off: [2]float64{1, 1}, rules: rules}
	with := func(change func(*coldRun)) coldRun { c := base; change(&c); return c }
	for name, c := range map[string]coldRun{
		"even":      base,
		"impatient": with(func(c *coldRun) { c.aim = 400 * ms }),
		"one busy":  with(func(c *coldRun) { c.rate, c.aim = oneRate, 400*ms }),
		"zipf":      with(func(c *coldRun) { c.rate = zipfRate }),
		"wide":      with(func(c *coldRun) { c.wide, c.widest = 0.28, 3 }),
		"all wide":  with(func(c *coldRun) { c.wide = 1 }),
		"estimates": with(func(c *coldRun) {
			c.wide, c.off = 0.28, [2]float64{1.6, 1.6}
			c.rate, c.jobs, c.quiet = zipfRate, 80, c.rules.WarmupTime/3
		}),
		"errors":   with(func(c *coldRun) { c.errors, c.aim = 0.3, 2*time.Second }),
		"burst":    with(func(c *coldRun) { c.quiet, c.jobs, c.aim = 9*time.Second, 200, time.Second }),
		"restarts": with(func(c *coldRun) { c.restarts, c.aim = true, time.Second }),
		"short":    with(func(c *coldRun) { c.rules, c.aim, c.jobs, c.wide = short, 400*ms, 60, 0.1 }),
		"reports":  with(func(c *coldRun) { c.report, c.aim = true, time.Second }),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sizes := []int{2, 5, 15, 17, 24, 300}
			if name == "even" {
				sizes = []int{2, 3, 5, 9, 15, 16, 17, 20, 24, 32, 80, 150, 300}
			}
			for _, n := range sizes {
				t.Run(strconv.Itoa(n), func(t *testing.T) {
					t.Parallel()
					c := c // the sizes run side by side
					c.n, c.seed = n, 1
					all := c.play(t)
					t.Logf("%d windows, %d over, worst %.2f of what is allowed, %.2f of the budget used, alone %.2f", all.windows, all.over, all.worst, all.part, all.alone)
					if all.over > 0 {
						t.Errorf("%d of %d windows over, the worst %.2f times what is allowed", all.over, all.windows, all.worst)
					}
					if few := 8; n < few && c.off[0] == 1 && !c.restarts && all.alone > 1.3 { // 1.24 in a burst, by learned paces
						t.Errorf("one of %d sent %.2f times its even part", n, all.alone)
					}
					if all.part < 0.03 {
						t.Errorf("%.2f of the budget used: the member is left idle", all.part)
					}
				})
			}
		})
	}
}
