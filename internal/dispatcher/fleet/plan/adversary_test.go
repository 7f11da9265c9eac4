package plan

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/policy"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fastjson"
	"pgregory.net/rapid"
)

var seeds = flag.Int("seeds", 1500, "random plans of TestAdversary")

// dice returns a random number below n.
type dice func(n int) int

func (d dice) Float64() float64 { return float64(d(1001)) / 1000 }

// randomPlan returns the text of a plan with random stages and rules, most of them valid.
func randomPlan(r dice) string {
	pick := func(list ...string) string { return list[r(len(list))] }
	some := func(share float64, text string, args ...any) string {
		if r.Float64() <= share {
			return fmt.Sprintf(text, args...) + "; "
		}
		return ""
	}
	var lines, names []string
	for i := range 2 + r(4) {
		name, class := string(rune('a'+i)), pick("safe", "safe", "keyed", "once")
		line, upstream := name+" "+class, ""
		for _, n := range names {
			if r(2) == 0 {
				line, upstream = line+" "+n, n
			}
		}
		line += ": "
		each := some(0.4, "each = input.l; most = 3; at_least = %d", 1+r(3))
		line += each
		if class == "keyed" {
			key := "input.k"
			if each != "" {
				key += "}-${item"
			}
			if upstream != "" && r(3) == 0 {
				key += "}-${jsonencode(" + upstream + ")"
			}
			line += `key = "` + name + "-${" + key + `}"; `
		}
		never := `"full", "unsent"`
		if class != "once" || r(6) == 0 {
			never = pick(never, `"late", "failed"`, `"reset", "full", "lost_input"`)
		}
		line += some(0.6, `retry {; on = [%s]; most = %d; wait = "%dms"; jitter = 0.5; wait_at_most = "1s"; }`, never, 1+r(2), r(900))
		line += some(0.3, `retry {; on = ["refused"]; most = 1; wait = "10ms"; }`)
		if upstream != "" {
			line += some(0.8, `rerun "%s" {; when = %s; most = %d; }`, pick(append(names, upstream, upstream, upstream, upstream)...),
				pick(`end == "full"`, `end != "done" && try(result.lost, false)`, `try(result.lost, false)`, `end == "failed" || end == "unsent"`), 1+r(2))
		}
		line += some(0.3, `undo {; class = "%s"; path = "/"; most = %d; wait = "50ms"; }`, pick("safe", "once"), 1+r(2))
		lines, names = append(lines, strings.TrimSuffix(line, "; ")), append(names, name)
	}
	return strings.Replace(strings.Replace(stages(lines...), "10m", "24h", 1), "1000", "100000", 1)
}

// job is one item of a stage in walk.
type job struct {
	inFlight, succeeded, failed, ran bool
	stale                            bool // its stage was reset while it was in flight
	at                               time.Duration
	end                              time.Duration // when the attempt in flight ends
	tries                            []int
	key                              string
}

// walk simulates a run of a plan, with random run times, ends and results of attempts, and
// returns the violations that it found. It is a short model of the language: a stage begins
// when all stages that it comes after have their output; a stage has its output once each item
// has ended and enough items have succeeded.
func walk(p *Plan, r dice) (violations []string, reruns int) { //nolint:funlen,gocognit // one scenario, to be read from top to bottom
	jobs, gens, complete := make([][]job, len(p.Stages)), make([]int, len(p.Stages)), make([]bool, len(p.Stages))
	lost, gaveUp, now, sent := make([]int, len(p.Stages)), false, time.Duration(0), 0
	index := func(name string) int { return slices.Index(p.Stages, p.ByName[name]) }
	values := func(i, k int) Values {
		v := Values{Input: []byte(`{"k":"x","l":[1,2,3]}`), Item: fmt.Append(nil, k), Results: map[string][]byte{}}
		for _, st := range p.Stages[:i] {
			v.Results[st.Name] = fmt.Appendf(nil, `{"gen":%d}`, gens[index(st.Name)])
		}
		return v
	}
	for i, st := range p.Stages {
		items, err := st.Items(values(i, 0))
		if err != nil {
			return []string{err.Error()}, 0
		}
		jobs[i] = make([]job, len(items))
	}
	ready := func(i int) bool {
		return !slices.ContainsFunc(p.Stages[i].After, func(name string) bool { return !complete[index(name)] })
	}
	join := func(i int) {
		successes, need := 0, p.Stages[i].MinSucceeded
		if need == 0 {
			need = len(jobs[i])
		}
		for _, j := range jobs[i] {
			if !j.succeeded && !j.failed {
				return
			}
			if j.succeeded {
				successes++
			}
		}
		complete[i], gaveUp = successes >= need, gaveUp || successes < need
	}
	send := func(i, k int) {
		st, j := p.Stages[i], &jobs[i][k]
		_, _, key, err := st.Render(values(i, k))
		if err != nil {
			violations = append(violations, err.Error())
		}
		if st.Effect == policy.AtMostOnce && j.ran {
			violations = append(violations, st.Name+" ran twice")
		}
		if j.key != "" && j.key != key {
			violations = append(violations, st.Name+" had two keys")
		}
		j.key, j.inFlight, j.ran, j.end = key, true, true, max(now, j.at)+time.Duration(r(int(st.AttemptTimeout)+1))
		if r(2) == 0 {
			j.end = max(now, j.at) + st.AttemptTimeout
		}
		sent++
	}
	finish := func(i, k int) {
		st, j := p.Stages[i], &jobs[i][k]
		j.inFlight = false
		e := []End{Done, Refused, Full, Unsent, Late, Failed, Reset, Done, Done, Done, Done, Done, Done}[r(13)]
		result := [][]byte{nil, []byte(`{"lost":true}`), []byte(`{}`), []byte(`{"lost":true}`)}[r(4)]
		j.ran = e.MayHaveRun() || st.Effect != policy.AtMostOnce
		if gaveUp {
			return
		}
		if j.stale {
			j.stale, j.at = false, now
			return
		}
		for k := range st.Reruns {
			q := &st.Reruns[k]
			holds, _ := q.Holds(e, result)
			if !holds {
				continue
			}
			e = Lost
			of := index(q.Of)
			if lost[of] >= q.MaxReruns {
				break
			}
			lost[of]++
			reruns++
			for d := range p.Stages {
				if d != of && !dependsOn(p, d, of) {
					continue
				}
				gens[d]++
				complete[d] = false
				for n := range jobs[d] {
					x := &jobs[d][n]
					x.succeeded, x.failed, x.stale, x.tries, x.at = false, false, x.inFlight, nil, now
				}
			}
			return
		}
		if e == Done {
			j.succeeded = true
			join(i)
			return
		}
		if j.tries == nil {
			j.tries = make([]int, len(st.Retries))
		}
		for n := range st.Retries {
			if q := &st.Retries[n]; slices.Contains(q.On, e) {
				if j.tries[n] < q.MaxRetries {
					j.at = now + q.Pause(j.tries[n], r.Float64()*2-1)
					j.tries[n]++
					return
				}
				break
			}
		}
		j.failed = true
		join(i)
	}
	for {
		// All attempts that are due are sent; then the one that ends first ends.
		first, fi, fk := time.Duration(-1), 0, 0
		for i := range jobs {
			for k := range jobs[i] {
				j := &jobs[i][k]
				if !gaveUp && !j.inFlight && !j.succeeded && !j.failed && ready(i) {
					send(i, k)
				}
				if j.inFlight && (first < 0 || j.end < first) {
					first, fi, fk = j.end, i, k
				}
			}
		}
		if first < 0 {
			break
		}
		now = max(now, first)
		finish(fi, fk)
	}
	if gaveUp { // stages are undone in reverse order
		undoTime := make([]time.Duration, len(p.Stages))
		for i := len(p.Stages) - 1; i >= 0; i-- {
			st := p.Stages[i]
			for d := range p.Stages {
				if dependsOn(p, d, i) {
					undoTime[i] = max(undoTime[i], undoTime[d])
				}
			}
			if st.Undo == nil {
				continue
			}
			if st.Undo.Effect == policy.AtMostOnce && st.Undo.MaxTries > 1 {
				violations = append(violations, "the undo of "+st.Name+" ran twice")
			}
			sent += st.Undo.MaxTries * len(jobs[i])
			undoTime[i] += st.Undo.totalDuration()
		}
		now += slices.Max(undoTime)
	}
	if sent > p.Worst.Attempts || now > p.Worst.Duration {
		violations = append(violations, fmt.Sprintf("%d attempts and %s, at most %+v", sent, now, p.Worst))
	}
	return violations, reruns
}

func dependsOn(p *Plan, i, on int) bool {
	for _, name := range p.Stages[i].After {
		if up := slices.Index(p.Stages, p.ByName[name]); up == on || dependsOn(p, up, on) {
			return true
		}
	}
	return false
}

// walkRandomPlans simulates runs of random plans that the check accepts. It returns the first
// violation, how many plans were accepted, and how many reruns there were.
func walkRandomPlans(t testing.TB, seeds int) (violation string, accepted, reruns int) {
	for seed := range seeds {
		r := dice(rand.New(rand.NewPCG(uint64(seed), 1)).IntN)
		text := randomPlan(r)
		plans, problems := Parse("p.hcl", []byte(text), classes)
		if len(problems) > 0 {
			require.Empty(t, plans)
			continue
		}
		accepted++
		for range 10 {
			bad, n := walk(plans[0], r)
			reruns += n
			if len(bad) > 0 {
				return fmt.Sprintf("seed %d: %v\n%s", seed, bad, text), accepted, reruns
			}
		}
	}
	return violation, accepted, reruns
}

// TestAdversary checks that no run of an accepted plan exceeds its worst case, runs an
// at-most-once stage twice, or changes a key, whatever the ends of its attempts are.
func TestAdversary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { // rapid shrinks failing plans
		draw := dice(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "") })
		if plans, _ := Parse("p.hcl", []byte(randomPlan(draw)), classes); len(plans) > 0 {
			bad, _ := walk(plans[0], draw)
			require.Empty(t, bad)
		}
	})
	violation, accepted, reruns := walkRandomPlans(t, *seeds)
	t.Logf("%d plans accepted, %d reruns", accepted, reruns)
	require.Empty(t, violation)
	require.Greater(t, accepted, 300)
	require.Greater(t, reruns, 300)
}

// TestPlanted checks that, without one of the checks, the simulation finds the violations that
// this check prevents.
func TestPlanted(t *testing.T) {
	whole := checks
	defer func() { checks = whole }()
	for name, c := range map[string]struct {
		without int
		want    string
	}{"never twice": {2, "ran twice"}, "keys": {3, "had two keys"}, "bounds": {4, "at most {Attempts:0 Duration:0s}"}} {
		checks = slices.Delete(slices.Clone(whole), c.without, c.without+1)
		violation, _, _ := walkRandomPlans(t, 400)
		require.Contains(t, violation, c.want, name)
	}
}

// FuzzParse checks that no file makes the parser panic, and that accepted plans are within their
// bounds and can be rendered.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"plans-example.hcl", "plans-archive-example.hcl"} {
		text, _ := example(f, name)
		f.Add(text)
	}
	for _, text := range []string{"", "plan", "\xff{", "plan \"p\" {\n", "x = <<E\n${", stages("a safe: body = [[1], {}[*].x, try(1/0)]"), strings.Repeat("a{", 99), "a=" + strings.Repeat("!", 9999), randomPlan(rand.New(rand.NewPCG(1, 1)).IntN)} {
		f.Add(text)
	}
	_, list := example(f, "plans-example.hcl")
	_, more := example(f, "plans-archive-example.hcl")
	known := ClassesByName(append(list, more...))
	for name, c := range classes {
		known[name] = c
	}
	f.Fuzz(func(t *testing.T, text string) {
		plans, problems := Parse("p.hcl", []byte(text), known)
		require.False(t, len(plans) == 0 && len(problems) == 0)
		for _, p := range problems {
			require.Positive(t, p.Line)
			require.Positive(t, p.Column)
			require.NotContains(t, p.String(), "\n")
		}
		for _, p := range plans {
			require.True(t, p.Worst.Attempts <= p.MaxAttempts && p.Worst.Duration <= p.Timeout && p.Worst.Attempts > 0 && p.Worst.Duration > 0)
			require.NotEmpty(t, p.Describe())
			for i, st := range p.Stages {
				v := Values{Input: []byte(`{"x":[1e300,null,{"x":"\u0000"}]}`), Item: []byte("1e-300"), Results: map[string][]byte{}}
				for _, name := range st.After {
					require.Less(t, slices.Index(p.Stages, p.ByName[name]), i)
					v.Results[name] = []byte(`[{"x":1}]`)
				}
				for _, q := range st.Retries {
					require.False(t, st.Effect == policy.AtMostOnce && slices.ContainsFunc(q.On, End.MayHaveRun))
					require.LessOrEqual(t, q.Pause(99, 1), 2*q.MaxWait)
				}
				for _, q := range st.Reruns {
					require.True(t, dependsOn(p, i, slices.Index(p.Stages, p.ByName[q.Of])))
					_, _ = q.Holds(Failed, []byte(`[]`))
				}
				if _, body, key, err := st.Render(v); err == nil {
					require.True(t, body == nil || fastjson.ValidateBytes(body) == nil)
					require.Equal(t, st.Effect == policy.Deduplicated, key != "")
				}
				_, _ = st.Items(v)
				_, _ = st.SharedKey(v)
			}
		}
	})
}
