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
	// knownAfter is the time after which a change counts as known to the dispatcher, from when discovery had
	// it and was reachable.
	knownAfter = 6 * time.Second
	margin     = 250 * time.Millisecond  // the part of knownAfter that must be left
	answerTime = 1500 * time.Millisecond // the time that a shared service takes for an answer
)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// TestCallSchedule tests how long calls wait, when they time out, and when the next call comes at the latest.
func TestCallSchedule(t *testing.T) {
	for name, c := range map[string]struct {
		schedule                CallSchedule
		known, continues        bool
		wait, timeout, nextCall time.Duration
	}{
		"polled, whole":     {SharedServiceSchedule(300, 10*time.Second), false, false, 0, ms(2250), knownAfter - margin - answerTime},
		"polled, first":     {SharedServiceSchedule(300, 10*time.Second), true, false, ms(1), ms(2250), knownAfter - margin - answerTime},
		"polled, continued": {SharedServiceSchedule(300, 10*time.Second), true, true, ms(2000), ms(2750), knownAfter - margin - answerTime},
		"polled by one":     {SharedServiceSchedule(1, 10*time.Second), true, true, ms(2000), ms(2750), knownAfter - margin - answerTime},
		"seldom polled":     {SharedServiceSchedule(300, time.Hour), true, true, ms(2000), ms(2750), knownAfter - margin - answerTime},
		"often polled":      {SharedServiceSchedule(300, time.Second), true, true, ms(2000), ms(2750), knownAfter - margin - answerTime},
		"pushed, whole":     {LocalAgentSchedule(), false, false, 0, ms(250), ms(1450)},
		"pushed, first":     {LocalAgentSchedule(), true, false, ms(1000), ms(1250), ms(1450)},
		"pushed, continued": {LocalAgentSchedule(), true, true, ms(1000), ms(1250), ms(1450)},
	} {
		t.Run(name, func(t *testing.T) {
			began := time.Now()
			wait, until := c.schedule.Timeouts(began, c.known, c.continues)
			require.Equal(t, c.wait, wait)
			require.Equal(t, c.timeout, until.Sub(began))
			for failures := 1; failures < 100; failures++ {
				require.LessOrEqual(t, c.schedule.NextCall(began, until, failures, 1).Sub(began), c.nextCall)
			}
		})
	}
}

// TestPause tests that the pause after a failed call depends on the number of callers that share the service,
// doubles with each failure, is random, and is never shorter than minPause.
func TestPause(t *testing.T) {
	for name, c := range map[string]struct {
		schedule CallSchedule
		want     []int // ms: the longest pauses of calls that are refused at once
	}{
		"four callers":         {SharedServiceSchedule(4, 10*time.Second), []int{100, 200, 400, 800, 1600, 3200, 4250, 4250}},
		"callers not given":    {SharedServiceSchedule(0, 0), []int{25, 50, 100, 200, 400, 800, 1600, 3200, 4250}},
		"many callers":         {SharedServiceSchedule(300, 10*time.Second), []int{4250, 4250}},
		"polled every second":  {SharedServiceSchedule(300, time.Second), []int{2000, 2000}},
		"polled without pause": {SharedServiceSchedule(300, time.Nanosecond), []int{25, 25}},
		"pushed":               {LocalAgentSchedule(), []int{50, 100, 200, 200}},
	} {
		t.Run(name, func(t *testing.T) {
			at := time.Now()
			for n, want := range append(c.want, c.want[len(c.want)-1]) {
				require.Equal(t, minPause, c.schedule.NextCall(at, at, n+1, 0).Sub(at))
				require.Equal(t, ms(want), c.schedule.NextCall(at, at, n+1, 1).Sub(at), "after %d failures", n+1)
			}
			last := ms(c.want[len(c.want)-1])
			for _, n := range []int{64, 65, 1 << 30} {
				require.Equal(t, last, c.schedule.NextCall(at, at, n, 1).Sub(at))
			}
		})
	}
}

// TestAnswersInTime tests that after failed calls of any kind, and an outage of any length, a valid answer
// arrives at least margin before what discovery has counts as known to the dispatcher, counted from when
// discovery became reachable. The call in progress at that moment doesn't count. This must hold for any number
// of callers and any poll interval of the settings.
func TestAnswersInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		schedule := SharedServiceSchedule(rapid.IntRange(0, 10000).Draw(t, "callers"), time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "every")))
		reply := answerTime
		if rapid.Bool().Draw(t, "pushed") {
			schedule, reply = LocalAgentSchedule(), schedule.WatchGrace/3
		}
		start := time.Unix(0, 0)
		reached := start.Add(time.Duration(rapid.Int64Range(0, int64(40*time.Second)).Draw(t, "down for")))
		known, continues := rapid.Bool().Draw(t, "known"), rapid.Bool().Draw(t, "watched before")
		began := start
		for failures := 1; began.Before(reached); failures++ {
			_, until := schedule.Timeouts(began, known, known && continues)
			// A call fails at once (refused or reset), at its timeout, or at any time between: an answer of
			// 503, one that can't be read, is truncated or trickles.
			end := time.Duration(rapid.OneOf(rapid.Just(int64(0)), rapid.Int64Range(0, int64(until.Sub(began))), rapid.Just(int64(until.Sub(began)))).Draw(t, "fails after"))
			next := schedule.NextCall(began, began.Add(end), failures, rapid.Float64Range(0, 1).Draw(t, "draw"))
			if next.Sub(began) < minPause {
				t.Fatalf("a call is repeated after %v", next.Sub(began))
			}
			began, continues = next, false
		}
		most := knownAfter - margin
		if !schedule.PollFirst {
			most = 1700 * time.Millisecond // a drain that the agent has must be in effect after 2 s
		}
		if answered := began.Add(reply).Sub(reached); answered > most {
			t.Fatalf("answered %v after discovery became reachable", answered)
		}
		if _, until := schedule.Timeouts(began, known, false); until.Sub(began) < reply {
			t.Fatal("a call times out before an answer in time")
		}
	})
}

// serialService is a service of fixed capacity: it serves calls one after another, each for the same time, and
// fails a call that has waited longer than maxWait.
type serialService struct {
	callTime, maxWait time.Duration
	free              time.Duration // when the calls so far have been served
}

// call returns when a call that arrives at a time ends, and whether it is answered. Calls must arrive in order.
func (q *serialService) call(at time.Duration) (end time.Duration, ok bool) {
	start := max(at, q.free)
	if start-at > q.maxWait {
		return at + q.maxWait, false
	}
	q.free = start + q.callTime
	return q.free, true
}

// simulateOutage simulates callers of a service that is down for a time, during which calls are refused or
// hang. It returns how long after the service's return each caller was answered, in order. limit is the timeout
// of a call; nextCall returns when a caller repeats a failed call.
func simulateOutage(
	draw *rand.Rand, callers int, down time.Duration, hang bool, q serialService, limit time.Duration,
	nextCall func(began, failed time.Duration, failures int) time.Duration,
) []time.Duration {
	type caller struct {
		at       time.Duration
		failures int
	}
	var waiting []caller
	for range callers { // each has a watch, which fails as the outage begins
		waiting = append(waiting, caller{at: time.Duration(draw.Int64N(int64(50 * time.Millisecond)))})
	}
	var answered []time.Duration
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
			answered = append(answered, end-down)
			waiting = slices.Delete(waiting, i, i+1)
			continue
		}
		waiting[i].failures++
		waiting[i].at = nextCall(c.at, end, waiting[i].failures)
	}
	slices.Sort(answered)
	return answered
}

// TestManyCallersAfterOutage tests how soon the callers of a slow service are answered after an outage. The
// service serves calls one after another and fails those that have waited too long. Many callers must all be
// answered soon after the time that the service needs for all of them; few callers, or many of a fast service,
// within the bound of the schedule.
func TestManyCallersAfterOutage(t *testing.T) {
	for _, c := range []struct {
		callers int
		all     time.Duration // the time that the service needs for one call of each caller
		maxWait time.Duration // how long a call may wait for its turn at the service
		hang    bool          // during the outage calls hang; false: they are refused
		most    time.Duration // the bound of the last answer
	}{
		{300, 5 * time.Second, 2 * time.Second, false, knownAfter - margin},
		{300, 5 * time.Second, 2 * time.Second, true, knownAfter - margin},
		{300, 5 * time.Second, time.Second, false, 8 * time.Second},
		{300, 5 * time.Second, time.Second, true, 8 * time.Second},
		{300, 8 * time.Second, 2 * time.Second, false, 11 * time.Second},
		{300, 8 * time.Second, 2 * time.Second, true, 11 * time.Second},
		{300, 8 * time.Second, time.Second, false, 12 * time.Second},
		{300, 8 * time.Second, time.Second, true, 12 * time.Second},
		{60, time.Second, time.Second, false, knownAfter - margin - time.Second},
		{60, 1600 * time.Millisecond, time.Second, true, knownAfter - margin - time.Second},
		{6, 160 * time.Millisecond, time.Second, false, knownAfter - margin - time.Second},
		{6, 160 * time.Millisecond, time.Second, true, knownAfter - margin - time.Second},
	} {
		t.Run(fmt.Sprintf("%d callers take %v, maximum wait %v, hang %v", c.callers, c.all, c.maxWait, c.hang), func(t *testing.T) {
			draw := rand.New(rand.NewPCG(1, 2))
			p, zero := SharedServiceSchedule(c.callers, 10*time.Second), time.Unix(0, 0)
			nextCall := func(began, failed time.Duration, failures int) time.Duration {
				return p.NextCall(zero.Add(began), zero.Add(failed), failures, draw.Float64()).Sub(zero)
			}
			// The former schedule, for comparison: 25 ms per caller after a failed call, doubled up to 8 s,
			// a quarter more or less; after a call that hung for 4 s, a random time within the next second.
			formerNextCall := func(began, failed time.Duration, failures int) time.Duration {
				if failed-began >= 4*time.Second {
					return failed + time.Duration(draw.Float64()*float64(time.Second))
				}
				backoff := min(8*time.Second, time.Duration(c.callers)*serviceCallTime<<min(failures-1, 16))
				return failed + time.Duration((0.75+draw.Float64()/2)*float64(backoff))
			}
			// The answer times of all callers in 20 outages, by the current and by the former schedule.
			var current, former []time.Duration
			for range 20 {
				q := serialService{callTime: c.all / time.Duration(c.callers), maxWait: c.maxWait}
				current = append(current, simulateOutage(draw, c.callers, 8*time.Second, c.hang, q, p.ReplyTimeout, nextCall)...)
				former = append(former, simulateOutage(draw, c.callers, 8*time.Second, c.hang, q, 4*time.Second, formerNextCall)...)
			}
			slices.Sort(current)
			slices.Sort(former)
			t.Logf("99 %% answered after %v, all after %v; by the former schedule %v, %v",
				current[len(current)*99/100-1], current[len(current)-1], former[len(former)*99/100-1], former[len(former)-1])
			require.LessOrEqual(t, current[len(current)-1], c.most)
		})
	}
}
