package harness

import (
	"context"
	"fmt"
	"time"
)

// PlanLoad starts runs of a plan, and compares the outcomes that processes report of them.
type PlanLoad struct {
	Plan, Query string        // Query: the further query string of the request that starts a run
	Interval    time.Duration // from one run to the next
	started     []string      // ids of runs, written by Run until it returns
}

// Run starts runs until the context ends, each at a random process, and again at another
// until one has confirmed it. It is for Soak.Background.
func (l *PlanLoad) Run(ctx context.Context, r *Cluster) {
	for n := 0; ctx.Err() == nil; n++ {
		run := fmt.Sprintf("run-%05d", n)
		l.started = append(l.started, run)
		for until := time.Now().Add(transitionTimeout); time.Now().Before(until); { // even after the context has ended
			path := "/plans/" + l.Plan + "?run=" + run + "&" + l.Query
			status, _, err := r.RandomProcess().AdminRequest("POST", path, fmt.Sprintf(`{"booking":%q}`, run), time.Now().Add(2*time.Second))
			if err == nil && (status == 200 || status == 202) {
				break
			}
			time.Sleep(l.Interval / 8)
		}
		time.Sleep(l.Interval)
	}
}

// Outcomes queries the outcome of each run twice, at random processes, until a time at the latest.
func (l *PlanLoad) Outcomes(r *Cluster, until time.Time) Outcomes {
	var answers []FinalAnswer
	for _, run := range l.started {
		for range 2 {
			for p := r.RandomProcess(); time.Now().Before(until); p = r.RandomProcess() {
				status, text, err := p.AdminRequest("GET", "/runs/"+run, "", time.Now().Add(2*time.Second))
				if err == nil && status == 200 {
					answers = append(answers, FinalAnswer{run, text})
					break
				}
				time.Sleep(5 * time.Millisecond)
			}
		}
	}
	return CompareOutcomes(l.started, answers)
}
