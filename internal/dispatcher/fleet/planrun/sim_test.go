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

// sim is a simulation of coordinators whose clocks run at different rates, a lossy network,
// one Raft log with three replicas and changes of leader, and members that run jobs. The
// answers of runs are checked against what the members ran.
type sim struct {
	rng       *rand.Rand
	now       time.Duration // true time
	queue     indexedheap.Heap[*event]
	seq       int
	trackers  replicas
	paused    time.Duration // by which fleet time is behind true time
	down      time.Duration // there is no leader until then, and fleet time stands still
	stopped   time.Duration // fleet time while there is no leader
	processes []*process
	leases    map[string]time.Duration // by process and incarnation, in fleet time
	shapes    map[string]Shape
	lost      uint64 // generations of the shared output up to this one are lost

	attempts      map[attemptKey]*acceptedAttempt
	running       map[job][]*acceptedAttempt
	ran           map[job]int // how often members have run a job
	runsByMembers map[string]int
	answers       map[string]*Answer
	n             struct{ commands, sends, startsAfterTakeover, overlaps, takeovers, losses, newLosses int }
	faults        []string
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

type attemptKey struct {
	job
	attempt uint32
}

// acceptedAttempt is an accepted attempt.
type acceptedAttempt struct {
	attemptKey
	fence     uint64
	end       plan.End // that the log has recorded; empty: none
	begun     bool
	unchecked bool // the process was frozen between the check of its lease and the send
}

type process struct {
	s           *sim
	name        string
	incarnation uint64
	epoch       int // grows with each crash
	rate        float64
	frozen      time.Duration // until then
	lease       time.Duration // valid until then, by its own clock
	registry    *AttemptRegistry
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

// after calls f after a delay, unless the process has crashed by then. While the process is
// frozen, the call waits.
func (p *process) after(d time.Duration, f func()) { p.afterInEpoch(p.epoch, d, f) }

// afterInEpoch is after for the incarnation with the given epoch.
func (p *process) afterInEpoch(epoch int, d time.Duration, f func()) {
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

func (p *process) clock() time.Duration { return time.Duration(float64(p.s.now) * p.rate) }

var errNoReply = errors.New("no reply")

// propose sends a command to the leader. It calls reply once, with errNoReply if no reply
// arrives in time. The command or its reply may be lost, and the command may arrive twice.
func (p *process) propose(command any, reply func(Reply, error)) {
	s, epoch, delivered := p.s, p.epoch, false
	deliver := func(r Reply, err error) {
		if !delivered {
			delivered = true
			reply(r, err)
		}
	}
	arrive := func() {
		if s.now < s.down {
			return
		}
		r, err := s.commit(command)
		if !s.chance(0.03) {
			p.afterInEpoch(epoch, s.net(), func() { deliver(r, err) })
		}
	}
	if !s.chance(0.03) {
		s.after(s.net(), arrive)
	}
	if s.chance(0.03) {
		s.after(s.net(), arrive)
	}
	p.after(80*ms, func() { deliver(Reply{}, errNoReply) })
}

// commit applies a command at all replicas, and records what it means for the attempts.
func (s *sim) commit(command any) (Reply, error) {
	s.n.commands++
	r, err := s.trackers.apply(s.fleet(), command)
	switch c := command.(type) {
	case SendAttempt:
		if k := (attemptKey{job{c.Run, c.Stage, c.Item, c.Undo}, c.Attempt}); err == nil && !r.Sent.Again {
			if s.attempts[k] != nil {
				s.fault("%v was accepted twice", k)
			}
			s.attempts[k] = &acceptedAttempt{attemptKey: k, fence: c.Fence}
		}
	case ReportEnd:
		if k := s.attempts[attemptKey{job{c.Run, c.Stage, c.Item, c.Undo}, c.Attempt}]; err == nil && r.Counted.Accepted {
			if k.end != "" && (c.End != plan.Done || k.end == plan.Done) {
				s.fault("%v ended twice, %v and %v", k.attemptKey, k.end, c.End)
			}
			if r.Counted.NewLoss {
				s.n.newLosses++
			}
			k.end = c.End
		}
	case Claim:
		for _, x := range r.Claimed {
			s.n.takeovers++
			for _, k := range s.attempts {
				if k.run == x.Run && k.end == "" {
					k.end = plan.MayRun
				}
			}
		}
	}
	return r, err
}

// recordAnswer records a run's answer, and reports a fault if it differs from an earlier one.
func (s *sim) recordAnswer(a *Answer) {
	if old := s.answers[a.Run]; old != nil && (old.Outcome != a.Outcome || old.At != a.At || old.Reason != a.Reason) {
		s.fault("two answers: %+v and %+v", old, a)
	}
	s.answers[a.Run] = a
}

func (p *process) start(run string) {
	s := p.s
	p.propose(Start{Run: run, Plan: "booking", Shape: s.shapes[run], Seed: s.rng.Uint64(), Before: 10 * time.Second, Process: p.name, Incarnation: p.incarnation}, func(r Reply, err error) {
		x := r.Started
		switch {
		case err != nil && s.now < 2*time.Second: // the client asks another process
			other := s.processes[s.rng.IntN(len(s.processes))]
			other.after(s.net(), func() { other.start(run) })
		case x.Answer != nil:
			s.recordAnswer(x.Answer)
		case x.Fence > 0:
			p.registry.Drive(run, x.Fence)
			p.drive(run)
		}
	})
}

// drive does what is due for a run.
func (p *process) drive(run string) {
	s := p.s
	v, err := s.trackers[0].View(run)
	if errors.Is(err, ErrEnded) {
		s.recordAnswer(s.trackers[0].Answer(run))
	}
	if err != nil {
		p.registry.Drop(run)
		return
	}
	tasks, wake := p.registry.Tasks(s.fleet(), v)
	if wake > 0 && !p.wakes[run] {
		p.wakes[run] = true
		p.after(time.Duration(float64(max(ms, min(wake-s.fleet(), 100*ms)))/p.rate), func() { p.wakes[run] = false; p.drive(run) })
	}
	for _, t := range tasks {
		switch {
		case t.Open != nil:
			if t.Open.Items = [][]byte{nil}; v.Shape.Stages[t.Stage].Each {
				t.Open.Items = make([][]byte, v.Shape.Stages[t.Stage].MaxItems)
			} else {
				t.Open.Key = "tour"
			}
			p.propose(*t.Open, func(Reply, error) { p.registry.Answered(run, t.ID); p.drive(run) })
		case t.Ended != nil:
			p.reportEnd(t.ID, *t.Ended)
		default:
			p.propose(*t.Sending, func(_ Reply, err error) {
				if p.registry.Accepted(*t.Sending, t.ID, err, p.clock() < p.lease) {
					a := s.attempts[attemptKey{job{run, t.Stage, t.Item, t.Undo}, t.Attempt}]
					if s.chance(0.01) { // it freezes between the check of its lease and the send
						p.frozen, a.unchecked = s.now+time.Duration(s.rng.IntN(1500))*ms, true
						p.after(0, func() { p.send(a, *t.Sending, t.ID) })
					} else if p.send(a, *t.Sending, t.ID); s.chance(0.01) { // a crash between the send and its end
						p.after(s.net(), p.restart)
					}
				}
				p.drive(run)
			})
		}
	}
}

// reportEnd reports an end, and repeats it until there is a reply.
func (p *process) reportEnd(id AttemptID, e ReportEnd) {
	e.Result = []byte(`{}`)
	p.propose(e, func(r Reply, err error) {
		if errors.Is(err, errNoReply) {
			p.reportEnd(id, e)
			return
		}
		if r.Counted.Answer != nil {
			p.s.recordAnswer(r.Counted.Answer)
		}
		p.registry.Answered(e.Run, id)
		p.drive(e.Run)
	})
}

// send sends an attempt to a member, which runs it unless the send fails or the member is full.
func (p *process) send(a *acceptedAttempt, c SendAttempt, id AttemptID) { //nolint:gocognit // one scenario, to be read from top to bottom
	s, epoch, reported := p.s, p.epoch, false
	if s.n.sends++; a.end == plan.MayRun && !a.unchecked {
		s.fault("%v was sent when another process had the run", a.attemptKey)
	}
	sh := s.shapes[a.run].Stages[a.stage]
	reportEnd := func(d time.Duration, end plan.End, lost *LostInput) {
		p.afterInEpoch(epoch, d, func() {
			if !reported || end == plan.Done { // a success is reported also when it comes late, and each time that it comes
				reported = true
				p.reportEnd(id, c.EndReport(end, nil, "m", lost))
			}
		})
	}
	reportEnd(150*ms, plan.Late, nil)
	switch x := s.rng.Float64(); {
	case x < 0.04:
		reportEnd(ms, plan.Unsent, nil)
	case x < 0.07:
		reportEnd(3*ms, plan.Full, nil)
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
					p.registry.Estimator.Observe(sh.Class, took)
				}
				switch x := s.rng.Float64(); {
				case x < 0.03:
				case x < 0.05:
					reportEnd(ms, plan.Reset, nil)
				default:
					if reportEnd(s.net(), end, lost); s.chance(0.03) {
						reportEnd(s.net(), end, lost)
					}
				}
			})
		})
	}
}

// begin is called when a member begins an attempt. It checks that the attempt may run, given
// what members ran before.
func (s *sim) begin(a *acceptedAttempt, sh StageShape) {
	if a.begun {
		s.fault("%v was sent twice", a.attemptKey)
	}
	if a.begun = true; a.end != "" && a.fence == s.fence(a.run) && a.end != plan.Late {
		s.fault("%v began after it had ended with %v", a.attemptKey, a.end)
	}
	atMostOnce := sh.Effect == policy.AtMostOnce && !a.undo
	s.runsByMembers[a.run]++
	if s.ran[a.job]++; atMostOnce && s.ran[a.job] > 1 {
		s.fault("%v ran twice", a.attemptKey)
	}
	for _, r := range s.running[a.job] {
		if s.n.overlaps++; atMostOnce || r.end == "" && a.end == "" || !cmp.Or(r.end, plan.MayRun).MayHaveRun() {
			s.fault("%v began while %v was running", a.attemptKey, r.attemptKey)
		}
	}
	if a.end == plan.MayRun {
		s.n.startsAfterTakeover++
	}
	s.running[a.job] = append(s.running[a.job], a)
}

func (s *sim) fence(run string) uint64 {
	if r := s.trackers[0].runs[run]; r != nil {
		return r.Fence
	}
	return 0
}

const lease = 300 * ms

// renewAndClaim makes a process renew its lease and claim runs without a coordinator, over and
// over.
func (p *process) renewAndClaim() {
	s, epoch, sent := p.s, p.epoch, p.clock()
	id := fmt.Sprintf("%s %d", p.name, p.incarnation)
	if !s.chance(0.05) {
		s.after(s.net(), func() {
			if s.now < s.down {
				return
			}
			until, known := s.leases[id]
			if known && until < 0 {
				p.afterInEpoch(epoch, s.net(), p.restart)
				return
			}
			s.leases[id] = s.fleet() + lease
			p.afterInEpoch(epoch, s.net(), func() { p.lease = max(p.lease, sent+lease*9/10) })
		})
	}
	if p.clock() < p.lease {
		p.propose(Claim{Process: p.name, Incarnation: p.incarnation, MaxRuns: 3}, func(r Reply, _ error) {
			for _, c := range r.Claimed {
				p.registry.Drive(c.Run, c.Fence)
				p.drive(c.Run)
			}
		})
	}
	p.after(70*ms, p.renewAndClaim)
}

// restart begins a new incarnation of a process, which keeps no state of the last one.
func (p *process) restart() {
	p.epoch++
	p.incarnation++
	p.lease, p.registry, p.wakes = 0, NewAttemptRegistry(500*ms), map[string]bool{}
	p.after(p.s.net(), p.renewAndClaim)
}

// tick does what the leader does at intervals: it expires leases and advances the time.
func (s *sim) tick() {
	if s.now >= s.down {
		for _, p := range s.processes {
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

// simulate runs the simulation of one seed.
func simulate(seed uint64, plans, seats int) *sim {
	l := DefaultLimits()
	l.Grace = 500 * ms
	s := &sim{rng: rand.New(rand.NewPCG(seed, 30)), trackers: newReplicas(l), leases: map[string]time.Duration{}, shapes: map[string]Shape{},
		attempts: map[attemptKey]*acceptedAttempt{}, running: map[job][]*acceptedAttempt{}, ran: map[job]int{}, runsByMembers: map[string]int{}, answers: map[string]*Answer{}}
	s.queue = indexedheap.New(func(a, b *event) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }, nil)
	for i := range 4 {
		p := &process{s: s, name: fmt.Sprintf("n%d", i), rate: 0.975 + 0.05*s.rng.Float64()}
		s.processes = append(s.processes, p)
		p.restart()
		for range 3 {
			at, what := time.Duration(s.rng.IntN(1500))*ms, s.rng.IntN(3)
			s.after(at, func() {
				switch {
				case what == 0 && s.now >= p.frozen:
					p.restart() // a crash; the process restarts at once under the same name
				case what == 1:
					p.frozen = max(p.frozen, s.now+time.Duration(s.rng.IntN(900))*ms)
				}
			})
		}
	}
	for range 2 {
		s.after(time.Duration(s.rng.IntN(1500))*ms, func() { // the next leader continues from the last fleet time
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
		p := s.processes[s.rng.IntN(4)]
		p.after(time.Duration(20+s.rng.IntN(300))*ms, func() { p.start(run) })
	}
	s.tick()
	for s.now < 7*time.Second && (s.now < 2*time.Second || len(s.trackers[0].runs) > 0) {
		e := s.queue.Pop()
		s.now = e.at
		e.f()
	}
	s.checkAnswers()
	return s
}

// checkAnswers checks the answers against what the members ran.
func (s *sim) checkAnswers() {
	if n := len(s.trackers[0].runs); n > 0 {
		s.fault("%d runs have not ended", n)
	}
	for run := range s.shapes {
		a := s.trackers[0].Answer(run)
		if a == nil {
			continue // its Start never reached the leader
		}
		s.recordAnswer(a)
		most := s.shapes[run].MaxAttempts
		if sent := s.count(run); a.Attempts > most || sent != a.Attempts {
			s.fault("%s: %d attempts of %d, the answer says %d", run, sent, most, a.Attempts)
		}
		if a.At > a.Started+3*time.Second+520*ms {
			s.fault("%s ended %v after its start", run, a.At-a.Started)
		}
		switch ticket := s.ran[job{run, 2, 0, false}]; {
		case a.Outcome == Refused && s.runsByMembers[run] > 0:
			s.fault("%s was refused and ran", run)
		case a.Outcome == Served && (ticket != 1 || s.ran[job{run, 3, 0, false}] < 1):
			s.fault("%s was served, its ticket ran %d times", run, ticket)
		}
	}
	if s.n.newLosses > s.n.losses {
		s.fault("%d losses were counted as %d", s.n.losses, s.n.newLosses)
	}
}

func (s *sim) count(run string) (n int) {
	for k := range s.attempts {
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
		s.trackers.requireEqual(t)
		for _, a := range s.answers {
			outcomes[a.Outcome]++
		}
		total.n.commands += s.n.commands
		total.n.sends += s.n.sends
		total.n.startsAfterTakeover += s.n.startsAfterTakeover
		total.n.overlaps += s.n.overlaps
		total.n.takeovers += s.n.takeovers
		total.n.losses += s.n.losses
		total.n.newLosses += s.n.newLosses
	}
	t.Logf("%+v %v", total.n, outcomes)
	for o := range Unknown + 1 {
		require.NotZero(t, outcomes[o], "no run had the outcome %v: the simulation tests too little", o)
	}
	require.NotZero(t, total.n.takeovers)
	require.NotZero(t, total.n.newLosses)
}

// TestCheckerTrips checks that the simulation detects tickets that run twice, when the fault
// testRunTwice is injected.
func TestCheckerTrips(t *testing.T) {
	testRunTwice = true
	defer func() { testRunTwice = false }()
	for seed := range uint64(100) {
		if s := simulate(seed, 8, 4); len(s.faults) > 0 {
			require.Contains(t, fmt.Sprint(s.faults), "ran twice")
			return
		}
	}
	t.Fatal("an at-most-once job was sent again, and the simulation did not detect it")
}
