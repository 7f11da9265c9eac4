package scheduler

import (
	"time"

	"basaltloft/internal/cluster/placement"
)

const (
	// waitLogAfter is how long the tasks of a group have to wait until that is logged.
	waitLogAfter = 3 * time.Second
	// waitLogInterval is the minimum time between two such log lines of a shard.
	waitLogInterval = time.Second
)

// waitLog limits the log lines about waiting tasks. The zero value has logged nothing.
type waitLog struct{ nextAt time.Duration }

// runnersFor counts the runners of a service by what they offer a request.
type runnersFor struct {
	feasible  int // could run one of the tasks if they were idle
	free      int // of these, have the capacity free
	headroom  int // of these, are idle or have the budget
	probation int // of the feasible ones, are suspect
	reserved  int // of the feasible ones, take no task in this cycle
}

// countRunners counts the candidates of a cycle by what they offer a request.
func countRunners(request *placement.Request, candidates []placement.Candidate) runnersFor {
	var n runnersFor
	for i := range candidates {
		c := &candidates[i]
		if !c.Feasible(request) {
			continue
		}
		n.feasible++
		if c.Suspect {
			n.probation++
		}
		if c.Reserved {
			n.reserved++
		}
		if !request.Resources.FitsIn(c.Free) {
			continue
		}
		n.free++
		if c.Idle || c.Headroom.Covers(request.Cost) {
			n.headroom++
		}
	}
	return n
}

// logWait logs why the tasks of a group still wait, if they have waited for long.
func (s *Scheduler) logWait(group *taskGroup, request *placement.Request, result placement.Result) {
	waited := s.now - group.readyAt
	if waited < waitLogAfter || s.now < s.waitLog.nextAt {
		return
	}
	s.waitLog.nextAt = s.now + waitLogInterval
	n := countRunners(request, s.cycle.candidates)
	s.log.Info("tasks wait for a runner", "job", group.key.job, "step", group.key.step, "tasks", len(group.pending), "gang", group.step.Gang,
		"waited", waited, "result", result.String(), "cost", request.Cost,
		"runners", n.feasible, "free", n.free, "headroom", n.headroom, "probation", n.probation, "reserved", n.reserved)
}

// logProbation logs when a runner is put on probation or cleared.
func (s *Scheduler) logProbation(runner *runnerSession, suspect bool) {
	if suspect == runner.probationLogged {
		return
	}
	runner.probationLogged = suspect
	if !suspect {
		s.log.Info("runner is off probation", "runner", runner.id)
		return
	}
	s.log.Info("runner is on probation", "runner", runner.id, "slow", runner.suspicion.slow, "failure_rate", runner.suspicion.failureRate.Value)
}
