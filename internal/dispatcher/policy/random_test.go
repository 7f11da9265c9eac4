package policy_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// world sends random but valid events to a dispatcher and checks the four rules of the platform at every
// action.
type world struct {
	affinityKeys bool // jobs have affinity keys
	t            *testing.T
	rng          *rand.Rand
	s            policy.Settings
	d            *policy.Dispatcher
	now          time.Duration
	seq          int
	workers      map[uint32]*policy.Member
	listed       map[uint32]policy.Member // what the dispatcher was last informed of
	sent         map[uint32][]load        // to workers that are listed as cold
	reqs         map[string]*req
	order        []*req
	due          []due
	log          []string
	actions      actions
}

type load struct {
	at   time.Duration
	cost float64
}

type req struct {
	policy.Request
	class    policy.Class
	attempts []*attempt
	answered bool
	at       time.Duration
}

type attempt struct {
	worker policy.Member
	at     time.Duration
	out    bool
	mayRun bool
}

type due struct {
	at time.Duration
	do func()
}

func (w *world) errorf(format string, args ...any) {
	w.t.Helper()
	w.t.Errorf("at %v: %s", w.now, fmt.Sprintf(format, args...))
}

func (w *world) after(in time.Duration, do func()) { w.due = append(w.due, due{w.now + in, do}) }

func (w *world) record(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%d ", w.now)+fmt.Sprintf(format, args...))
}

func (w *world) Send(id string, worker uint32, timeout time.Duration) {
	w.actions.send(w.now, id, worker, timeout)
	w.record("send %s %d", id, worker)
	r, m := w.reqs[id], w.listed[worker]
	switch {
	case r == nil || r.answered:
		w.errorf("send for %s, which has its answer", id)
		return
	case m.Number == 0 || m.State == policy.Draining || m.State == policy.Removed && !w.s.Rules.RemovedMayServe:
		w.errorf("send to worker %d, which is listed in state %d", worker, m.State)
	case len(r.attempts) >= w.s.Limits.MaxAttempts:
		w.errorf("attempt %d of %s exceeds the limit", len(r.attempts), id)
	}
	for _, a := range r.attempts {
		if a.out && !w.s.Limits.ConcurrentAttempts {
			w.errorf("two attempts of %s at once", id)
		}
		if !a.mayRun {
			continue
		}
		switch r.class.Effect {
		case policy.AtMostOnce:
			w.errorf("at-most-once %s sent again", id)
		case policy.Deduplicated:
			outside := r.class.DedupScope == policy.DedupZone && a.worker.Zone != m.Zone ||
				r.class.DedupScope == policy.DedupCell && a.worker.Cell != m.Cell
			if outside || w.now-a.at > r.class.DedupWindow {
				w.errorf("deduplicated %s sent outside its scope or window", id)
			}
		}
	}
	w.checkCold(r, m)
	a := &attempt{worker: m, at: w.now, out: true, mayRun: true}
	n := len(r.attempts)
	r.attempts = append(r.attempts, a)
	status := policy.OK
	if w.rng.IntN(3) == 0 {
		status = policy.Status(1 + w.rng.IntN(5))
	}
	wait := time.Duration(w.rng.ExpFloat64()*75) * ms
	took := wait + time.Duration((0.5+w.rng.Float64())*float64(r.Hint))
	if w.rng.IntN(20) == 0 { // hangs
		status, took = policy.TimedOut, r.Deadline-w.now
	}
	took = min(took, r.Deadline-w.now)
	if w.now+took >= r.Deadline {
		status = policy.TimedOut
	}
	if w.s.ReportsStart && w.rng.IntN(2) == 0 {
		w.after(wait, func() {
			if a.out {
				w.d.HandleAttemptUpdate(w.now, policy.AttemptUpdate{Request: id, Attempt: n, Worker: worker, Kind: policy.UpdateStarted})
			}
		})
	}
	w.after(took, func() { w.finish(r, n, status) })
}

// checkCold checks that this instance keeps to its share of the rule's limit for a cold worker, whose
// capacity is four slots at pace 1.
func (w *world) checkCold(r *req, m policy.Member) {
	if m.StartedAt == 0 || w.now-m.StartedAt >= w.s.Rules.WarmupTime {
		return
	}
	w.sent[m.Number] = append(w.sent[m.Number], load{w.now, r.Hint.Seconds()})
	sum := 0.0
	for _, l := range w.sent[m.Number] {
		if l.at > w.now-w.s.Rules.ColdOverloadWindow && l.at >= m.StartedAt {
			sum += l.cost
		}
	}
	age := float64(w.now-m.StartedAt) / float64(w.s.Rules.WarmupTime)
	share := w.s.Rules.ColdCapacity + (1-w.s.Rules.ColdCapacity)*age
	// Reports in this world have at most four free slots.
	if most := 4 * w.s.Rules.ColdOverloadMultiple * share * w.s.Rules.ColdOverloadWindow.Seconds() / float64(w.s.Instances); sum > most {
		w.errorf("cold worker %d got %.2f s of work in a window, %.2f s allowed", m.Number, sum, most)
	}
}

// finish ends an attempt, once.
func (w *world) finish(r *req, n int, status policy.Status) {
	a := r.attempts[n]
	if !a.out {
		return
	}
	a.out, a.mayRun = false, !w.s.Rules.ProvesNotRun(status)
	ended := r.answered || status == policy.OK
	if status == policy.OK {
		r.answered = true
	}
	w.d.HandleAttemptResult(w.now, policy.AttemptResult{Request: r.ID, Attempt: n, Worker: a.worker.Number, Status: status, Final: ended,
		Latency: w.now - a.at, Report: w.report()})
}

func (w *world) report() policy.Report {
	if w.rng.IntN(2) == 0 {
		return policy.Report{}
	}
	return policy.Report{Has: policy.HasX0 | policy.HasX1, X0: float64(w.rng.IntN(5)), X1: 4 * w.rng.Float64()}
}

func (w *world) answer(id, how string) *req {
	w.record("%s %s", how, id)
	r := w.reqs[id]
	if r == nil || r.answered {
		w.errorf("%s for %s, which has its answer", how, id)
		return nil
	}
	if w.now > r.Deadline+w.s.Rules.AnswerGrace {
		w.errorf("%s for %s comes too late", how, id)
	}
	r.answered = true
	return r
}

func (w *world) Refuse(id string, retryAfter time.Duration) {
	w.actions.refuse(w.now, id, retryAfter)
	r := w.answer(id, "refuse")
	if r == nil || r.class.Effect == policy.Idempotent || r.class.Effect == policy.Deduplicated && r.class.DedupScope == policy.DedupAll {
		return
	}
	for _, a := range r.attempts {
		if a.mayRun {
			w.errorf("refused %s, which may have run", id)
		}
	}
}

func (w *world) Fail(id string) {
	w.actions.fail(w.now, id)
	w.answer(id, "fail")
}

func (w *world) Cancel(id string, n int) {
	w.actions.cancel(w.now, id, n)
	w.record("cancel %s %d", id, n)
	r := w.reqs[id]
	w.after(ms, func() { w.finish(r, n, policy.Cancelled) })
}

func (w *world) Probe(id uint32) {
	w.actions.probe(w.now, id)
	w.record("probe %d", id)
	took, status := time.Duration(w.rng.IntN(50))*ms, policy.OK
	if w.rng.IntN(4) == 0 {
		took, status = 500*ms, policy.Status(1+w.rng.IntN(4))
	}
	w.after(took, func() {
		w.d.HandleProbeResult(w.now, policy.ProbeResult{Worker: id, Status: status, Report: w.report()})
	})
}

func (w *world) Timer(in time.Duration, token string) {
	w.actions.timer(w.now, in)
	d := w.d
	w.after(in, func() {
		if w.d == d || d == nil {
			w.d.HandleTimer(w.now, token)
		}
	})
}

func (w *world) Watch(on bool) {
	w.actions.watch(w.now, on)
	w.record("watch")
	w.after(300*ms, func() {
		if w.rng.IntN(3) == 0 {
			w.d.HandleMembers(w.now, policy.ListFailed, nil)
			return
		}
		w.deliver(policy.ListSnapshot, w.list()...)
	})
}
func (w *world) Fetch()     { w.actions.fetch(w.now) }
func (w *world) Log(string) {}

func (w *world) list() (all []policy.Member) {
	for id := uint32(1); id <= 40; id++ {
		if m := w.workers[id]; m != nil {
			all = append(all, *m)
		}
	}
	return all
}

func (w *world) deliver(kind policy.ListKind, list ...policy.Member) {
	if kind == policy.ListRestored || kind != policy.ListDelta && !w.s.Rules.RemovedMayServe {
		clear(w.listed)
	}
	for _, m := range list {
		was := w.listed[m.Number]
		if w.s.Rules.RemovedMayServe && was.State == policy.Draining && m.StartedAt <= was.StartedAt {
			m = was // a drain holds until a later start
		}
		w.listed[m.Number] = m
	}
	w.d.HandleMembers(w.now, kind, list)
}

// start replaces the dispatcher with a new one. The open requests of the old one are dropped, as their clients
// would have to retry them.
func (w *world) start() {
	for _, r := range w.order {
		r.answered = true
		for _, a := range r.attempts {
			a.out = false
		}
	}
	w.due = nil
	w.d = nil
	d, err := policy.New(w.s, w)
	if err != nil {
		w.t.Fatal(err)
	}
	w.d = d
	w.deliver(policy.ListRestored, w.list()...)
}

func (w *world) arrive() {
	w.seq++
	c := w.s.Classes[w.rng.IntN(len(w.s.Classes))]
	r := &req{class: c, at: w.now, Request: policy.Request{ID: fmt.Sprint("r", w.seq), Class: c.Name,
		Hint:     time.Duration(w.rng.ExpFloat64() * float64(200*ms)),
		Deadline: w.now + time.Duration(w.rng.Int64N(int64(c.ClientTimeout))), Slots: float64(1 + w.rng.IntN(2))}}
	if w.rng.IntN(5) == 0 {
		r.Hint *= 20
	}
	if w.affinityKeys {
		r.AffinityKey = fmt.Sprint(int(w.rng.ExpFloat64() * 3))
	}
	w.reqs[r.ID] = r
	w.order = append(w.order, r)
	w.d.HandleRequest(w.now, r.Request)
}

// change drains, removes, restarts or adds a worker and delivers the new list entry.
func (w *world) change() {
	id := uint32(1 + w.rng.IntN(12))
	m := w.workers[id]
	switch {
	case m == nil:
		m = &policy.Member{Number: id, Kind: "k", Zone: string(rune('a' + id%3)), Cell: int(id % 5), StartedAt: w.now}
		w.workers[id] = m
	case w.s.Rules.RemovedMayServe && w.rng.IntN(3) == 0: // a list that is wrong for a while
		w.deliver(policy.ListSnapshot, w.list()[w.rng.IntN(len(w.list())):]...)
		w.after(2*time.Second, func() { w.deliver(policy.ListSnapshot, w.list()...) })
		return
	case w.rng.IntN(3) == 0:
		m.State = policy.Draining
	case w.rng.IntN(2) == 0:
		delete(w.workers, id)
		gone := *m
		gone.State = policy.Removed
		w.deliver(policy.ListDelta, gone)
		return
	default:
		m.State, m.StartedAt = policy.Ready, w.now
	}
	w.deliver(policy.ListDelta, *m)
}

func (w *world) step() {
	w.now += time.Duration(1+w.rng.IntN(4)) * ms
	ready := w.due
	w.due = nil
	slices.SortStableFunc(ready, func(a, b due) int { return int(a.at - b.at) })
	for i, e := range ready {
		if e.at > w.now {
			w.due = append(w.due, ready[i:]...)
			break
		}
		e.do()
	}
	if w.rng.IntN(15) == 0 {
		w.arrive()
	}
	switch w.rng.IntN(4000) {
	case 0:
		w.start()
	case 1, 2, 3, 4, 5, 6, 7, 8, 9, 10:
		w.change()
	case 11, 12:
		r := w.order[w.rng.IntN(len(w.order))]
		if !r.answered {
			r.answered = true
			w.d.HandleClientGone(w.now, r.ID)
		}
	}
	for _, r := range w.order[max(0, len(w.order)-200):] {
		if !r.answered && w.now > r.Deadline+w.s.Rules.AnswerGrace {
			w.errorf("%s (%s) has no answer in time", r.ID, r.Class)
			r.answered = true
		}
	}
}

func runWorld(t *testing.T, seed uint64, affinityKeys bool, configure func(*policy.Settings)) []string {
	return runRecorded(t, seed, affinityKeys, configure, actions{}).log
}

func runRecorded(t *testing.T, seed uint64, affinityKeys bool, configure func(*policy.Settings), record actions) *world {
	s := settings()
	s.CrossZonePrice = 0.02
	configure(&s)
	w := &world{t: t, actions: record, affinityKeys: affinityKeys, rng: rand.New(rand.NewPCG(seed, 7)), s: s, now: time.Hour, workers: map[uint32]*policy.Member{},
		listed: map[uint32]policy.Member{}, sent: map[uint32][]load{}, reqs: map[string]*req{}}
	for id := uint32(1); id <= 8; id++ {
		w.workers[id] = &policy.Member{Number: id, Kind: "k", Zone: string(rune('a' + id%3)), Cell: int(id % 5)}
	}
	w.start()
	w.arrive()
	for range 20000 {
		if w.step(); t.Failed() {
			t.Logf("seed %d", seed)
			break
		}
	}
	return w
}

// randomWorlds are the settings under which random events are run. The order of their names numbers the
// digests on file.
var randomWorlds = map[string]func(*policy.Settings){
	"push":                   func(*policy.Settings) {},
	"ask":                    func(s *policy.Settings) { s.PullsMembership = true },
	"no concurrent attempts": func(s *policy.Settings) { s.Limits.ConcurrentAttempts, s.ReportsStart = false, true },
	"cell":                   func(s *policy.Settings) { s.Classes[1].DedupScope = policy.DedupCell },
	"long latency targets":   func(s *policy.Settings) { s.Classes[1].DedupWindow, s.Classes[1].LatencyTarget = 500*ms, 4*time.Second },
	"short grace":            func(s *policy.Settings) { s.Rules.AnswerGrace = 5 * ms },
	"full may have run":      func(s *policy.Settings) { s.Rules.RejectedMayHaveRun = true },
	"wrong lists":            func(s *policy.Settings) { s.Rules.RemovedMayServe = true },
	"both": func(s *policy.Settings) {
		s.Rules.RemovedMayServe, s.Rules.RejectedMayHaveRun, s.Classes[1].DedupScope = true, true, policy.DedupCell
	},
	"tied": func(s *policy.Settings) {
		s.Limits.Probes, s.ReportsStart, s.Rules.RemovedMayServe = false, true, true
	},
	"all, no probes": func(s *policy.Settings) { s.Classes[1].DedupScope, s.Limits.Probes = policy.DedupAll, false },
	"subjects, push": func(*policy.Settings) {},
	"subjects, cell": func(s *policy.Settings) { s.Classes[1].DedupScope, s.ReportsStart = policy.DedupCell, true },
	"subjects, wrong lists, no probes": func(s *policy.Settings) {
		s.Limits.Probes, s.ReportsStart, s.Rules.RemovedMayServe, s.ReportX0 = false, true, true, ""
	},
}

func TestRulesUnderRandomEvents(t *testing.T) {
	for name, configure := range randomWorlds {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(6) {
				runWorld(t, seed, strings.HasPrefix(name, "subjects"), configure)
			}
		})
	}
}

func TestEqualEventsGiveEqualActions(t *testing.T) {
	a := runWorld(t, 42, true, func(*policy.Settings) {})
	b := runWorld(t, 42, true, func(*policy.Settings) {})
	if len(a) < 1000 || !slices.Equal(a, b) {
		t.Errorf("two runs of the same events differ (%d and %d actions)", len(a), len(b))
	}
}
