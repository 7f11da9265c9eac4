package discovery

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	told   = 6 * time.Second        // a change counts as told so long after discovery had it and could be reached
	margin = 250 * time.Millisecond // of it that is left
	answer = 1500 * time.Millisecond
)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// TestCallSchedule: how long calls wait, and when they are given up.
func TestCallSchedule(t *testing.T) {
	for name, c := range map[string]struct {
		pace                     CallSchedule
		known, goesOn            bool
		wait, givenUp, latestOne time.Duration
	}{
		"asked, whole":       {SharedServiceSchedule(300, 10*time.Second), false, false, 0, ms(2250), told - margin - answer},
		"asked, first":       {SharedServiceSchedule(300, 10*time.Second), true, false, ms(1), ms(2250), told - margin - answer},
		"asked, goes on":     {SharedServiceSchedule(300, 10*time.Second), true, true, ms(2000), ms(2750), told - margin - answer},
		"asked by one":       {SharedServiceSchedule(1, 10*time.Second), true, true, ms(2000), ms(2750), told - margin - answer},
		"seldom to be asked": {SharedServiceSchedule(300, time.Hour), true, true, ms(2000), ms(2750), told - margin - answer},
		"often to be asked":  {SharedServiceSchedule(300, time.Second), true, true, ms(2000), ms(2750), told - margin - answer},
		"pushed, whole":      {LocalAgentSchedule(), false, false, 0, ms(250), ms(1450)},
		"pushed, first":      {LocalAgentSchedule(), true, false, ms(1000), ms(1250), ms(1450)},
		"pushed, goes on":    {LocalAgentSchedule(), true, true, ms(1000), ms(1250), ms(1450)},
	} {
		t.Run(name, func(t *testing.T) {
			began := time.Now()
			wait, until := c.pace.Timeouts(began, c.known, c.goesOn)
			require.Equal(t, c.wait, wait)
			require.Equal(t, c.givenUp, until.Sub(began))
			for failures := 1; failures < 100; failures++ {
				require.LessOrEqual(t, c.pace.NextCall(began, until, failures, 1).Sub(began), c.latestOne)
			}
		})
	}
}

// TestPause: the pause after a failed call goes by how many share the service, doubles,
// is drawn, and is never none.
func TestPause(t *testing.T) {
	for name, c := range map[string]struct {
		pace CallSchedule
		want []int // ms: the longest pauses of calls that are refused at once
	}{
		"four callers":        {SharedServiceSchedule(4, 10*time.Second), []int{100, 200, 400, 800, 1600, 3200, 4250, 4250}},
		"callers not told":    {SharedServiceSchedule(0, 0), []int{25, 50, 100, 200, 400, 800, 1600, 3200, 4250}},
		"many callers":        {SharedServiceSchedule(300, 10*time.Second), []int{4250, 4250}},
		"asked every second":  {SharedServiceSchedule(300, time.Second), []int{2000, 2000}},
		"asked without pause": {SharedServiceSchedule(300, time.Nanosecond), []int{25, 25}},
		"pushed":              {LocalAgentSchedule(), []int{50, 100, 200, 200}},
	} {
		t.Run(name, func(t *testing.T) {
			at := time.Now()
			for n, want := range append(c.want, c.want[len(c.want)-1]) {
				require.Equal(t, minPause, c.pace.NextCall(at, at, n+1, 0).Sub(at))
				require.Equal(t, ms(want), c.pace.NextCall(at, at, n+1, 1).Sub(at), "after %d failures", n+1)
			}
			last := ms(c.want[len(c.want)-1])
			for _, n := range []int{64, 65, 1 << 30} {
				require.Equal(t, last, c.pace.NextCall(at, at, n, 1).Sub(at))
			}
		})
	}
}

// TestAnswersInTime: whatever the calls before met with, for however long, a good answer is
// in progress a margin before what discovery has counts as told, counted from when it could
// be reached; the call that was under way then is of no use. It holds whatever the
// settings say of callers and intervals.
func TestAnswersInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pace := SharedServiceSchedule(rapid.IntRange(0, 10000).Draw(t, "callers"), time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "every")))
		reply := answer
		if rapid.Bool().Draw(t, "pushed") {
			pace, reply = LocalAgentSchedule(), pace.WatchGrace/3
		}
		start := time.Unix(0, 0)
		reached := start.Add(time.Duration(rapid.Int64Range(0, int64(40*time.Second)).Draw(t, "down for")))
		known, goesOn := rapid.Bool().Draw(t, "known"), rapid.Bool().Draw(t, "watched before")
		began := start
		for failures := 1; began.Before(reached); failures++ {
			_, until := pace.Timeouts(began, known, known && goesOn)
			// Refused or reset at once, at any moment later, or never: 503, an answer that
			// can't be read, one that is cut or trickles all end between the two.
			end := time.Duration(rapid.OneOf(rapid.Just(int64(0)), rapid.Int64Range(0, int64(until.Sub(began))), rapid.Just(int64(until.Sub(began)))).Draw(t, "fails after"))
			next := pace.NextCall(began, began.Add(end), failures, rapid.Float64Range(0, 1).Draw(t, "draw"))
			if next.Sub(began) < minPause {
				t.Fatalf("a call is made anew after %v", next.Sub(began))
			}
			began, goesOn = next, false
		}
		most := told - margin
		if !pace.PollFirst {
			most = 1700 * time.Millisecond // a drain that an agent has binds after 2 s
		}
		if heard := began.Add(reply).Sub(reached); heard > most {
			t.Fatalf("heard %v after it could be reached", heard)
		}
		if _, until := pace.Timeouts(began, known, false); until.Sub(began) < reply {
			t.Fatal("an answer in time is not waited for")
		}
	})
}

// queue is a service of fixed capacity: it takes calls one after another, each for
// the same time, and fails one that has waited too long.
type queue struct {
	each, patience time.Duration
	free           time.Duration
}

// call is when a call that comes at a time ends, and whether it is answered. Calls
// have to come in order.
func (q *queue) call(at time.Duration) (end time.Duration, ok bool) {
	start := max(at, q.free)
	if start-at > q.patience {
		return at + q.patience, false
	}
	q.free = start + q.each
	return q.free, true
}

// herd plays callers on a service that is down, which they find by calls that are
// refused or hang, and tells how long after its return each has heard, in order. again
// is when a caller calls again.
func herd(draw *rand.Rand, callers int, down time.Duration, hang bool, q queue, limit time.Duration, again func(began, failed time.Duration, failures int) time.Duration) []time.Duration {
	type caller struct {
		at       time.Duration
		failures int
	}
	var waiting []caller
	for range callers { // each has a watch, which ends
		waiting = append(waiting, caller{at: time.Duration(draw.Int64N(int64(50 * time.Millisecond)))})
	}
	var heard []time.Duration
	for len(waiting) > 0 {
		i := 0
		for j := range waiting {
			if waiting[j].at < waiting[i].at {
				i = j
			}
		}
		c := waiting[i]
		end, ok := c.at, false
		switch {
		case c.at >= down:
			if end, ok = q.call(c.at); end-c.at > limit {
				end, ok = c.at+limit, false
			}
		case hang:
			end = c.at + limit
		}
		if ok {
			heard = append(heard, end-down)
			waiting = slices.Delete(waiting, i, i+1)
			continue
		}
		waiting[i].failures++
		waiting[i].at = again(c.at, end, waiting[i].failures)
	}
	slices.Sort(heard)
	return heard
}

// TestHerd: many callers find a slow service again after an outage. It takes calls one
// after another, and fails those that have waited too long. They have all heard soon after it
// can have answered them all, and few callers, or many of a quick one, within the pace's bound.
func TestHerd(t *testing.T) {
	for _, c := range []struct {
		callers  int
		all      time.Duration // what the calls of all take of the service's time
		patience time.Duration // and so long they wait there
		hang     bool          // not refused
		most     time.Duration
	}{
		{300, 5 * time.Second, 2 * time.Second, false, told - margin},
		{300, 5 * time.Second, 2 * time.Second, true, told - margin},
		{300, 5 * time.Second, time.Second, false, 8 * time.Second},
		{300, 5 * time.Second, time.Second, true, 8 * time.Second},
		{300, 8 * time.Second, 2 * time.Second, false, 11 * time.Second},
		{300, 8 * time.Second, 2 * time.Second, true, 11 * time.Second},
		{300, 8 * time.Second, time.Second, false, 12 * time.Second},
		{300, 8 * time.Second, time.Second, true, 12 * time.Second},
		{60, time.Second, time.Second, false, told - margin - time.Second},
		{60, 1600 * time.Millisecond, time.Second, true, told - margin - time.Second},
		{6, 160 * time.Millisecond, time.Second, false, told - margin - time.Second},
		{6, 160 * time.Millisecond, time.Second, true, told - margin - time.Second},
	} {
		t.Run(fmt.Sprintf("%d callers take %v, patience %v, hang %v", c.callers, c.all, c.patience, c.hang), func(t *testing.T) {
			draw := rand.New(rand.NewPCG(1, 2))
			p, zero := SharedServiceSchedule(c.callers, 10*time.Second), time.Unix(0, 0)
			pace := func(began, failed time.Duration, failures int) time.Duration {
				return p.NextCall(zero.Add(began), zero.Add(failed), failures, draw.Float64()).Sub(zero)
			}
			// As it was: failed calls by 25 ms a caller, doubled up to 8 s, a quarter more or
			// less; calls that hung for 4 s by chance within the next second.
			before := func(began, failed time.Duration, failures int) time.Duration {
				if failed-began >= 4*time.Second {
					return failed + time.Duration(draw.Float64()*float64(time.Second))
				}
				backoff := min(8*time.Second, time.Duration(c.callers)*serviceCallTime<<min(failures-1, 16))
				return failed + time.Duration((0.75+draw.Float64()/2)*float64(backoff))
			}
			var now, was []time.Duration // of all callers, in 20 outages each
			for range 20 {
				q := queue{each: c.all / time.Duration(c.callers), patience: c.patience}
				now = append(now, herd(draw, c.callers, 8*time.Second, c.hang, q, p.ReplyTimeout, pace)...)
				was = append(was, herd(draw, c.callers, 8*time.Second, c.hang, q, 4*time.Second, before)...)
			}
			slices.Sort(now)
			slices.Sort(was)
			t.Logf("heard by 99 in 100 after %v, by all after %v; before %v, %v", now[len(now)*99/100-1], now[len(now)-1], was[len(was)*99/100-1], was[len(was)-1])
			require.LessOrEqual(t, now[len(now)-1], c.most)
		})
	}
}
