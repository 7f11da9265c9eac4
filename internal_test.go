package basaltloft

import (
	"fmt"
	"testing"
	"time"
)

type mute struct{}

func (mute) Send(string, uint32, time.Duration) {}
func (mute) Refuse(string, time.Duration)       {}
func (mute) Fail(string)                        {}
func (mute) Cancel(string, int)                 {}
func (mute) Probe(uint32)                       {}
func (mute) Timer(time.Duration, string)        {}
func (mute) Watch(bool)                         {}
func (mute) Fetch()                             {}
func (mute) Log(string)                         {}

// TestStateDoesNotGrow serves jobs for long while every worker is replaced again and again, and counts
// what is kept.
func TestStateDoesNotGrow(t *testing.T) {
	longRun(t, false, 60)
	longRun(t, true, 600) // workers called gone are kept for a minute: 20 rounds of five, and as many drains
}

func longRun(t *testing.T, claims bool, most int) {
	d, err := New(Settings{Instances: 2, Kinds: []string{"k"}, Limits: Limits{MaxAttempts: 2},
		Classes: []Class{{Name: "c", Aim: time.Second, GiveUp: 5 * time.Second, Worth: 1, Kind: -1}},
		Rules:   Rules{ColdFrom: 0.3, ColdFor: time.Second, FallMultiple: 3, FallFor: time.Second, OnlyDrainingBinds: claims},
	}, mute{})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Minute
	for round := range uint32(500) {
		var list []Member
		for i := range uint32(5) {
			list = append(list, Member{Worker: 5*round + i, Kind: "k", Since: now})
		}
		d.Members(now, ListWhole, list)
		for i := range 10 {
			id := fmt.Sprint(round, "-", i)
			d.Request(now, Request{ID: id, Class: "c", Hint: 50 * time.Millisecond, Expires: now + 5*time.Second})
			now += 300 * time.Millisecond
			if j := d.jobs[id]; j != nil && j.outs > 0 {
				d.Outcome(now, Outcome{Request: id, Worker: j.attempts[0].worker.Worker, Ended: true})
			}
			d.Timer(now, tickToken)
		}
	}
	kept := len(d.workers) + len(d.byID) + len(d.subset) + len(d.busy) + len(d.jobs) + len(d.kinds)
	for _, q := range d.queues {
		kept += len(q.jobs)
	}
	for _, w := range d.workers {
		kept += len(w.attempts) + len(w.coldSent)
	}
	if kept > most {
		t.Errorf("%d things kept after 5000 jobs on 2500 workers", kept)
	}
}

// TestChillStaysANumber: a worker that starts with all of its capacity, or with none, must not make the learned
// warming, and all averages with it, no number.
func TestChillStaysANumber(t *testing.T) {
	for _, from := range []float64{0, 1} {
		d := &Dispatcher{Settings: Settings{Rules: Rules{ColdFrom: from, ColdFor: time.Second}}, now: time.Minute, chill: 0.25}
		w := &worker{coldFrom: time.Minute}
		d.warmer(w, 1, 1)
		if d.chill != d.chill || d.chilled(w) != d.chilled(w) {
			t.Errorf("from %v: chill %v, chilled %v", from, d.chill, d.chilled(w))
		}
	}
}
