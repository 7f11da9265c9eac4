package planrun

import (
	"cmp"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/fleet/plan"
	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/shared/indexedheap"

	"github.com/stretchr/testify/require"
)

// The simulation: coordinators with clocks of their own, a lossy network, one log
// for three replicas whose leader changes, members that run jobs. It is judged by
// what the members saw.
type sim struct {
	rng     *rand.Rand
	now     time.Duration // true time
	queue   indexedheap.Heap[*event]
	seq     int
	books   replicas
	paused  time.Duration // that fleet time is behind true time
	down    time.Duration // no leader until then; fleet time is stopped
	stopped time.Duration
	procs   []*proc
	leases  map[string]time.Duration // by process and incarnation, in fleet time
	shapes  map[string]Shape
	lost    uint64 // generations of the shared output up to this one are lost

	tries   map[try]*seen
	running map[job][]*seen
	ran     map[job]int // runs at members
	of      map[string]int
	answers map[string]*Answer
	n       struct{ commands, sends, zombies, overlaps, takeovers, losses, fresh int }
	faults  []string
}

type event struct {
	at  time.Duration
	seq int
	f   func()
}

type job struct {
	run         string
	stage, item int
	undo        bool
}

type try struct {
	job
	attempt uint32
}

// seen is an attempt.
type seen struct {
	try
	fence     uint64
	end       plan.End // by the log; empty: none
	begun     bool
	unchecked bool // sent after a freeze between the look at the lease and the send
}

type proc struct {
	s           *sim
	name        string
	incarnation uint64
	epoch       int // grows with each crash
	rate        float64
	frozen      time.Duration // until then
	lease       time.Duration // by its own clock, good until then
	co          *AttemptRegistry
	wakes       map[string]bool
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	s.queue.Push(&event{s.now + d, s.seq, f})
}

func (s *sim) chance(p float64) bool { return s.rng.Float64() < p }
func (s *sim) net() time.Duration {
	d := time.Duration(s.rng.IntN(3000)+500) * time.Microsecond
	if s.chance(0.02) {
		d += time.Duration(s.rng.IntN(300)) * ms
	}
	return d
}
func (s *sim) fleet() time.Duration {
	if s.now < s.down {
		return s.stopped
	}
	return s.now - s.paused
}
func (s *sim) fault(format string, args ...any) {
	s.faults = append(s.faults, fmt.Sprintf("%v: ", s.now)+fmt.Sprintf(format, args...))
}

// after has a process do something: never once it has crashed, later while frozen.
func (p *proc) after(d time.Duration, f func()) { p.within(p.epoch, d, f) }

// within is after for an earlier moment's incarnation.
func (p *proc) within(epoch int, d time.Duration, f func()) {
	var do func()
	do = func() {
		switch {
		case p.epoch != epoch:
		case p.s.now < p.frozen:
			p.s.after(p.frozen-p.s.now, do)
		default:
			f()
		}
	}
	p.s.after(d, do)
}

func (p *proc) clock() time.Duration { return time.Duration(float64(p.s.now) * p.rate) }

var errNoReply = errors.New("no reply")

// ask proposes a command. The reply is told once, a lost one as errNoReply.
func (p *proc) ask(command any, reply func(Reply, error)) {
	s, epoch, told := p.s, p.epoch, false
	tell := func(r Reply, err error) {
		if !told {
			told = true
			reply(r, err)
		}
	}
	arrive := func() {
		if s.now < s.down {
			return
		}
		r, err := s.commit(command)
		if !s.chance(0.03) {
			p.within(epoch, s.net(), func() { tell(r, err) })
		}
	}
	if !s.chance(0.03) {
		s.after(s.net(), arrive)
	}
	if s.chance(0.03) {
		s.after(s.net(), arrive)
	}
	p.after(80*ms, func() { tell(Reply{}, errNoReply) })
}

// commit enters a command into the log.
func (s *sim) commit(command any) (Reply, error) {
	s.n.commands++
	r, err := s.books.apply(s.fleet(), command)
	switch c := command.(type) {
	case SendAttempt:
		if k := (try{job{c.Run, c.Stage, c.Item, c.Undo}, c.Attempt}); err == nil && !r.Sent.Again {
			if s.tries[k] != nil {
				s.fault("%v was let twice", k)
			}
			s.tries[k] = &seen{try: k, fence: c.Fence}
		}
	case ReportEnd:
		if k := s.tries[try{job{c.Run, c.Stage, c.Item, c.Undo}, c.Attempt}]; err == nil && r.Counted.Accepted {
			if k.end != "" && (c.End != plan.Done || k.end == plan.Done) {
				s.fault("%v ended twice, %v and %v", k.try, k.end, c.End)
			}
			if r.Counted.NewLoss {
				s.n.fresh++
			}
			k.end = c.End
		}
	case Claim:
		for _, x := range r.Claimed {
			s.n.takeovers++
			for _, k := range s.tries {
				if k.run == x.Run && k.end == "" {
					k.end = plan.MayRun
				}
			}
		}
	}
	return r, err
}

// heard checks that a run has one answer only.
func (s *sim) heard(a *Answer) {
	if old := s.answers[a.Run]; old != nil && (old.Outcome != a.Outcome || old.At != a.At || old.Reason != a.Reason) {
		s.fault("two answers: %+v and %+v", old, a)
	}
	s.answers[a.Run] = a
}

func (p *proc) start(run string) {
	s := p.s
	p.ask(Start{Run: run, Plan: "booking", Shape: s.shapes[run], Seed: s.rng.Uint64(), Before: 10 * time.Second, Process: p.name, Incarnation: p.incarnation}, func(r Reply, err error) {
		x := r.Started
		switch {
		case err != nil && s.now < 2*time.Second: // its client asks another
			other := s.procs[s.rng.IntN(len(s.procs))]
			other.after(s.net(), func() { other.start(run) })
		case x.Answer != nil:
			s.heard(x.Answer)
		case x.Fence > 0:
			p.co.Drive(run, x.Fence)
			p.pump(run)
		}
	})
}

// pump does what is next for a run.
func (p *proc) pump(run string) {
	s := p.s
	v, err := s.books[0].View(run)
	if errors.Is(err, ErrEnded) {
		s.heard(s.books[0].Answer(run))
	}
	if err != nil {
		p.co.Drop(run)
		return
	}
	tasks, wake := p.co.Tasks(s.fleet(), v)
	if wake > 0 && !p.wakes[run] {
		p.wakes[run] = true
		p.after(time.Duration(float64(max(ms, min(wake-s.fleet(), 100*ms)))/p.rate), func() { p.wakes[run] = false; p.pump(run) })
	}
	for _, t := range tasks {
		switch {
		case t.Open != nil:
			if t.Open.Items = [][]byte{nil}; v.Shape.Stages[t.Stage].Each {
				t.Open.Items = make([][]byte, v.Shape.Stages[t.Stage].MaxItems)
			} else {
				t.Open.Key = "tour"
			}
			p.ask(*t.Open, func(Reply, error) { p.co.Answered(run, t.ID); p.pump(run) })
		case t.Ended != nil:
			p.tell(t.ID, *t.Ended)
		default:
			p.ask(*t.Sending, func(_ Reply, err error) {
				if p.co.Accepted(*t.Sending, t.ID, err, p.clock() < p.lease) {
					a := s.tries[try{job{run, t.Stage, t.Item, t.Undo}, t.Attempt}]
					if s.chance(0.01) { // it freezes between its look at the lease and the send
						p.frozen, a.unchecked = s.now+time.Duration(s.rng.IntN(1500))*ms, true
						p.after(0, func() { p.send(a, *t.Sending, t.ID) })
					} else if p.send(a, *t.Sending, t.ID); s.chance(0.01) { // a crash between the send and its end
						p.after(s.net(), p.join)
					}
				}
				p.pump(run)
			})
		}
	}
}

// tell reports an end until there is a reply.
func (p *proc) tell(id AttemptID, e ReportEnd) {
	e.Result = []byte(`{}`)
	p.ask(e, func(r Reply, err error) {
		if errors.Is(err, errNoReply) {
			p.tell(id, e)
			return
		}
		if r.Counted.Answer != nil {
			p.s.heard(r.Counted.Answer)
		}
		p.co.Answered(e.Run, id)
		p.pump(e.Run)
	})
}

// send has a member run an attempt, perhaps.
func (p *proc) send(a *seen, c SendAttempt, id AttemptID) { //nolint:gocognit // one scenario, to be read from top to bottom
	s, epoch, told := p.s, p.epoch, false
	if s.n.sends++; a.end == plan.MayRun && !a.unchecked {
		s.fault("%v was sent when another had the run", a.try)
	}
	sh := s.shapes[a.run].Stages[a.stage]
	tell := func(d time.Duration, end plan.End, lost *LostInput) {
		p.within(epoch, d, func() {
			if !told || end == plan.Done { // an answer that came late is told too, and one that came twice
				told = true
				p.tell(id, c.EndReport(end, nil, "m", lost))
			}
		})
	}
	tell(150*ms, plan.Late, nil)
	switch x := s.rng.Float64(); {
	case x < 0.04:
		tell(ms, plan.Unsent, nil)
	case x < 0.07:
		tell(3*ms, plan.Full, nil)
	default:
		s.after(s.net(), func() {
			s.begin(a, sh)
			took := time.Duration(2+s.rng.IntN(20)) * ms
			if s.chance(0.03) {
				took *= 10
			}
			s.after(took, func() {
				for i, r := range s.running[a.job] {
					if r == a {
						s.running[a.job] = append(s.running[a.job][:i:i], s.running[a.job][i+1:]...)
						break
					}
				}
				end, lost := plan.Done, (*LostInput)(nil)
				switch {
				case len(sh.Reruns) > 0 && !a.undo && c.Inputs[0] <= s.lost:
					end, lost = plan.Lost, &LostInput{0, c.Inputs[0]}
				case s.chance(0.04):
					end = plan.Failed
				default:
					p.co.Estimator.Observe(sh.Class, took)
				}
				switch x := s.rng.Float64(); {
				case x < 0.03:
				case x < 0.05:
					tell(ms, plan.Reset, nil)
				default:
					if tell(s.net(), end, lost); s.chance(0.03) {
						tell(s.net(), end, lost)
					}
				}
			})
		})
	}
}

// begin is what a member sees of an attempt; it is held against what it and others
// saw before.
func (s *sim) begin(a *seen, sh StageShape) {
	if a.begun {
		s.fault("%v was sent twice", a.try)
	}
	if a.begun = true; a.end != "" && a.fence == s.fence(a.run) && a.end != plan.Late {
		s.fault("%v began after it had ended with %v", a.try, a.end)
	}
	never := sh.Effect == policy.AtMostOnce && !a.undo
	s.of[a.run]++
	if s.ran[a.job]++; never && s.ran[a.job] > 1 {
		s.fault("%v ran twice", a.try)
	}
	for _, r := range s.running[a.job] {
		if s.n.overlaps++; never || r.end == "" && a.end == "" || !cmp.Or(r.end, plan.MayRun).MayHaveRun() {
			s.fault("%v began beside %v", a.try, r.try)
		}
	}
	if a.end == plan.MayRun {
		s.n.zombies++
	}
	s.running[a.job] = append(s.running[a.job], a)
}

func (s *sim) fence(run string) uint64 {
	if r := s.books[0].runs[run]; r != nil {
		return r.Fence
	}
	return 0
}

const lease = 300 * ms

// live has a process renew its lease and look for orphans, for ever.
func (p *proc) live() {
	s, epoch, sent := p.s, p.epoch, p.clock()
	id := fmt.Sprintf("%s %d", p.name, p.incarnation)
	if !s.chance(0.05) {
		s.after(s.net(), func() {
			if s.now < s.down {
				return
			}
			until, known := s.leases[id]
			if known && until < 0 {
				p.within(epoch, s.net(), p.join)
				return
			}
			s.leases[id] = s.fleet() + lease
			p.within(epoch, s.net(), func() { p.lease = max(p.lease, sent+lease*9/10) })
		})
	}
	if p.clock() < p.lease {
		p.ask(Claim{Process: p.name, Incarnation: p.incarnation, MaxRuns: 3}, func(r Reply, _ error) {
			for _, c := range r.Claimed {
				p.co.Drive(c.Run, c.Fence)
				p.pump(c.Run)
			}
		})
	}
	p.after(70*ms, p.live)
}

// join begins an incarnation, with nothing of the last.
func (p *proc) join() {
	p.epoch++
	p.incarnation++
	p.lease, p.co, p.wakes = 0, NewAttemptRegistry(500*ms), map[string]bool{}
	p.after(p.s.net(), p.live)
}

// tick is what the leader does by itself.
func (s *sim) tick() {
	if s.now >= s.down {
		for _, p := range s.procs {
			for i := uint64(1); i <= p.incarnation; i++ {
				id := fmt.Sprintf("%s %d", p.name, i)
				if until, ok := s.leases[id]; ok && until >= 0 && until <= s.fleet() || ok && until >= 0 && i < p.incarnation {
					s.leases[id] = -1
					_, _ = s.commit(LeaseExpired{p.name, i})
				}
			}
		}
		_, _ = s.commit(nil)
	}
	s.after(20*ms, s.tick)
}

// simulate runs one seed to its end.
func simulate(seed uint64, plans, seats int) *sim {
	l := DefaultLimits()
	l.Grace = 500 * ms
	s := &sim{rng: rand.New(rand.NewPCG(seed, 30)), books: newReplicas(l), leases: map[string]time.Duration{}, shapes: map[string]Shape{},
		tries: map[try]*seen{}, running: map[job][]*seen{}, ran: map[job]int{}, of: map[string]int{}, answers: map[string]*Answer{}}
	s.queue = indexedheap.New(func(a, b *event) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }, nil)
	for i := range 4 {
		p := &proc{s: s, name: fmt.Sprintf("n%d", i), rate: 0.975 + 0.05*s.rng.Float64()}
		s.procs = append(s.procs, p)
		p.join()
		for range 3 {
			at, what := time.Duration(s.rng.IntN(1500))*ms, s.rng.IntN(3)
			s.after(at, func() {
				switch {
				case what == 0 && s.now >= p.frozen:
					p.join() // a crash; it is back at once under its name
				case what == 1:
					p.frozen = max(p.frozen, s.now+time.Duration(s.rng.IntN(900))*ms)
				}
			})
		}
	}
	for range 2 {
		s.after(time.Duration(s.rng.IntN(1500))*ms, func() { // a new leader goes on from the last fleet time
			if long := time.Duration(s.rng.IntN(150)) * ms; s.now >= s.down {
				s.stopped = s.fleet()
				s.down = s.now + long
				s.paused = s.down - s.stopped
			}
		})
	}
	s.after(time.Duration(s.rng.IntN(400))*ms, func() { s.lost++; s.n.losses++ })
	for i := range plans {
		run := fmt.Sprintf("r%d", i)
		s.shapes[run] = booking(seats)
		p := s.procs[s.rng.IntN(4)]
		p.after(time.Duration(20+s.rng.IntN(300))*ms, func() { p.start(run) })
	}
	s.tick()
	for s.now < 7*time.Second && (s.now < 2*time.Second || len(s.books[0].runs) > 0) {
		e := s.queue.Pop()
		s.now = e.at
		e.f()
	}
	s.judge()
	return s
}

// judge holds the answers against what the members saw.
func (s *sim) judge() {
	if n := len(s.books[0].runs); n > 0 {
		s.fault("%d runs have no end", n)
	}
	for run := range s.shapes {
		a := s.books[0].Answer(run)
		if a == nil {
			continue // its Start never got through
		}
		s.heard(a)
		most := s.shapes[run].MaxAttempts
		if sent := s.count(run); a.Attempts > most || sent != a.Attempts {
			s.fault("%s: %d attempts of %d, the answer says %d", run, sent, most, a.Attempts)
		}
		if a.At > a.Started+3*time.Second+520*ms {
			s.fault("%s ended %v after its start", run, a.At-a.Started)
		}
		switch ticket := s.ran[job{run, 2, 0, false}]; {
		case a.Outcome == Refused && s.of[run] > 0:
			s.fault("%s was refused and ran", run)
		case a.Outcome == Served && (ticket != 1 || s.ran[job{run, 3, 0, false}] < 1):
			s.fault("%s was served, its ticket ran %d times", run, ticket)
		}
	}
	if s.n.fresh > s.n.losses {
		s.fault("%d losses were taken for %d", s.n.losses, s.n.fresh)
	}
}

func (s *sim) count(run string) (n int) {
	for k := range s.tries {
		if k.run == run {
			n++
		}
	}
	return n
}

var seeds = flag.Int("seeds", 250, "how many simulations to run")

func TestSimulated(t *testing.T) {
	var total sim
	outcomes := map[Outcome]int{}
	for seed := range uint64(*seeds) {
		seats, plans := 4, 8
		if seed%10 == 0 {
			seats, plans = 50, 2
		}
		s := simulate(seed, plans, seats)
		require.Empty(t, s.faults, "seed %d", seed)
		s.books.alike(t)
		for _, a := range s.answers {
			outcomes[a.Outcome]++
		}
		total.n.commands += s.n.commands
		total.n.sends += s.n.sends
		total.n.zombies += s.n.zombies
		total.n.overlaps += s.n.overlaps
		total.n.takeovers += s.n.takeovers
		total.n.losses += s.n.losses
		total.n.fresh += s.n.fresh
	}
	t.Logf("%+v %v", total.n, outcomes)
	for o := range Unknown + 1 {
		require.NotZero(t, outcomes[o], "%v: a simulation that never ends so tests little", o)
	}
	require.NotZero(t, total.n.takeovers)
	require.NotZero(t, total.n.fresh)
}

// TestCheckerTrips: with the planted fault, the checker sees tickets run twice.
func TestCheckerTrips(t *testing.T) {
	testRunTwice = true
	defer func() { testRunTwice = false }()
	for seed := range uint64(100) {
		if s := simulate(seed, 8, 4); len(s.faults) > 0 {
			require.Contains(t, fmt.Sprint(s.faults), "ran twice")
			return
		}
	}
	t.Fatal("a never-twice job that is sent again goes unseen")
}
