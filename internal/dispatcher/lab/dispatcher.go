package lab

import (
	"slices"
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// dispatcher runs a policy. It implements policy.Host.
type dispatcher struct {
	world      *World
	rank       int
	policy     Policy
	epoch      int // of its process: a restart begins a new one, and what was under way is void
	open       map[string]*request
	membership map[uint32]policy.Member // by number, as of the last notification
	pending    []func()                 // events that the one being handled left
	handling   bool
}

// restart starts the process anew: all that it keeps is the membership.
func (d *dispatcher) restart() error {
	d.epoch++
	old := d.open
	d.open = make(map[string]*request)
	p, err := d.world.newPolicy(d.world, d, d.rank, d.world.random.Uint64())
	if err != nil {
		return err
	}
	d.policy = p
	if d.membership == nil {
		d.membership = make(map[uint32]policy.Member)
		for _, m := range d.world.members {
			d.membership[m.number] = d.world.membershipOf(m)
		}
	}
	d.handle(func() { d.policy.HandleMembers(d.world.now, policy.ListRestored, d.memberList()) })
	for _, r := range old { // their clients' connections break
		for _, a := range r.attempts {
			a.inFlight = false
		}
		if !r.answered {
			d.world.checker.dispatcherCrashed(r)
			d.world.answer(r, policy.Reset, false)
		}
	}
	return nil
}

// handle runs an event of the policy. An event that occurs within another one runs after it.
func (d *dispatcher) handle(do func()) {
	if d.handling {
		d.pending = append(d.pending, do)
		return
	}
	d.handling = true
	do()
	for len(d.pending) > 0 {
		next := d.pending[0]
		d.pending = d.pending[1:]
		next()
	}
	d.handling = false
}

// forget drops a request that has its answer and no attempt in flight.
func (d *dispatcher) forget(r *request) {
	if r.answered && !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.inFlight }) {
		delete(d.open, r.id)
	}
}

// answer gives a request its final answer without a result.
func (d *dispatcher) answer(id string, refused bool) {
	if r := d.open[id]; r != nil {
		d.world.answer(r, policy.Error, refused)
		d.forget(r)
	}
}

// memberList is the membership in the order of the members' numbers.
func (d *dispatcher) memberList() []policy.Member {
	all := make([]policy.Member, 0, len(d.membership))
	for _, m := range d.membership {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b policy.Member) int { return int(int64(a.Number) - int64(b.Number)) })
	return all
}

// membershipOf is the entry of a member in the membership.
func (w *World) membershipOf(m *member) policy.Member {
	state := m.state
	if !m.up {
		state = policy.Removed
	}
	return policy.Member{Number: m.number, Kind: m.kind.Name, Cell: m.cell, State: state, StartedAt: m.started, Weight: 1}
}

// publish notifies all dispatchers of a change of a member, each after a delay of its own.
func (w *World) publish(m *member) {
	l := w.membershipOf(m)
	for _, d := range w.dispatchers {
		late := time.Duration(w.random.ExpFloat64() * float64(w.experiment.DiscoveryDelay))
		w.after(min(late, 4*w.experiment.DiscoveryDelay), func() {
			if old := d.membership[l.Number]; old.StartedAt > l.StartedAt || old.StartedAt == l.StartedAt && old.State != policy.Ready && l.State == policy.Ready {
				return // a newer change came first
			}
			d.membership[l.Number] = l
			w.checker.membershipChanged(d, l)
			d.handle(func() { d.policy.HandleMembers(w.now, policy.ListDelta, []policy.Member{l}) })
		})
	}
}

// Send implements policy.Host.
func (d *dispatcher) Send(id string, worker uint32, timeout time.Duration) {
	w, r, m := d.world, d.open[id], d.world.byNumber[worker]
	if r == nil || m == nil {
		w.checker.violation("a send of %s, which is not open, or to nobody", id)
		return
	}
	a := &attempt{request: r, number: len(r.attempts), dispatcher: d, member: m, sentAt: w.now, workLeft: r.work, inFlight: true}
	w.checker.attemptSent(d, a)
	r.attempts = append(r.attempts, a)
	w.Result.Attempts++
	if timeout > 0 {
		w.after(timeout, func() { w.endAttempt(a, policy.TimedOut) })
	}
	if m.partitionedUntil > w.now || w.losesMessage() {
		w.after(connectTimeout, func() { w.endAttempt(a, policy.ConnectFailed) })
		return
	}
	w.after(w.networkDelay(), func() { m.receive(a) })
}

// Refuse implements policy.Host.
func (d *dispatcher) Refuse(id string, _ time.Duration) { d.answer(id, true) }

// Fail implements policy.Host.
func (d *dispatcher) Fail(id string) { d.answer(id, false) }

// Cancel implements policy.Host: nobody waits for the attempt any more, but what runs goes on.
func (d *dispatcher) Cancel(id string, n int) {
	if r := d.open[id]; r != nil && n < len(r.attempts) && r.attempts[n].inFlight {
		a := r.attempts[n]
		d.world.after(2*d.world.networkDelay(), func() { d.world.endAttempt(a, policy.Cancelled) })
	}
}

// Probe implements policy.Host.
func (d *dispatcher) Probe(worker uint32) {
	w, m, sent, epoch := d.world, d.world.byNumber[worker], d.world.now, d.epoch
	w.after(w.networkDelay()+w.networkDelay(), func() {
		s := policy.ConnectFailed
		if m != nil && m.up && m.partitionedUntil <= w.now {
			s = policy.OK
		}
		if d.epoch == epoch {
			d.handle(func() {
				d.policy.HandleProbeResult(w.now, policy.ProbeResult{Worker: worker, Status: s, Latency: w.now - sent})
			})
		}
	})
}

// Timer implements policy.Host.
func (d *dispatcher) Timer(in time.Duration, token string) {
	epoch := d.epoch
	d.world.after(in, func() {
		if d.epoch == epoch {
			d.handle(func() { d.policy.HandleTimer(d.world.now, token) })
		}
	})
}

// Watch implements policy.Host: the membership is always watched.
func (d *dispatcher) Watch(bool) {}

// Fetch implements policy.Host.
func (d *dispatcher) Fetch() {}

// Log implements policy.Host.
func (d *dispatcher) Log(string) {}
