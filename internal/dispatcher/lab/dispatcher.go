package lab

import (
	"slices"
	"time"

	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/shared/saturating"
)

// dispatcher simulates a dispatcher process that runs a policy. It implements policy.Host.
type dispatcher struct {
	world      *World
	rank       int
	policy     Policy
	epoch      int                      // incremented by each restart: events of older epochs are ignored
	open       map[string]*request      // by ID
	membership map[uint32]policy.Member // by number, as of the latest notification
	pending    []func()                 // events that occurred while another one is handled
	handling   bool
}

// restart starts the process, or starts it again: only the membership is kept, and the
// clients of open requests see a reset connection.
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
	for _, r := range old { // the connections of their clients are reset
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

// handle runs an event of the policy. An event that occurs during another one runs after it.
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

// removeIfDone removes a request from the open ones if it has its answer and no attempt in flight.
func (d *dispatcher) removeIfDone(r *request) {
	if r.answered && !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.inFlight }) {
		delete(d.open, r.id)
	}
}

// answer ends a request with a final answer other than a result.
func (d *dispatcher) answer(id string, refused bool) {
	if r := d.open[id]; r != nil {
		d.world.answer(r, policy.Error, refused)
		d.removeIfDone(r)
	}
}

// memberList returns the membership, sorted by the numbers of the members.
func (d *dispatcher) memberList() []policy.Member {
	all := make([]policy.Member, 0, len(d.membership))
	for _, m := range d.membership {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b policy.Member) int { return int(int64(a.Number) - int64(b.Number)) })
	return all
}

// membershipOf returns the entry of a member in the membership.
func (w *World) membershipOf(m *member) policy.Member {
	state := m.state
	if !m.up {
		state = policy.Removed
	}
	return policy.Member{Number: m.number, Kind: m.kind.Name, Cell: m.cell, State: state, StartedAt: m.started, Weight: 1}
}

// publish notifies all dispatchers of a change of a member, each after its own random delay.
func (w *World) publish(m *member) {
	entry := w.membershipOf(m)
	for _, d := range w.dispatchers {
		delay := saturating.Duration(w.random.ExpFloat64() * float64(w.experiment.DiscoveryDelay))
		w.after(min(delay, 4*w.experiment.DiscoveryDelay), func() {
			if old := d.membership[entry.Number]; old.StartedAt > entry.StartedAt || old.StartedAt == entry.StartedAt && old.State != policy.Ready && entry.State == policy.Ready {
				return // a newer change arrived first
			}
			d.membership[entry.Number] = entry
			w.checker.membershipChanged(d, entry)
			d.handle(func() { d.policy.HandleMembers(w.now, policy.ListDelta, []policy.Member{entry}) })
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

// Cancel implements policy.Host: the dispatcher stops waiting for the attempt, but the member continues to run it.
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

// Watch implements policy.Host. It does nothing: a dispatcher always gets all changes of the membership.
func (d *dispatcher) Watch(bool) {}

// Fetch implements policy.Host.
func (d *dispatcher) Fetch() {}

// Log implements policy.Host.
func (d *dispatcher) Log(string) {}
