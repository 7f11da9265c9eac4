package placement

import (
	"strings"

	"basaltloft/internal/cluster/job"
)

// Round is the choices of one scheduling cycle over the same candidates. It decides as Choose does,
// and remembers for which requests no runner had the capacity free: where thousands of jobs wait for
// full runners, almost all requests ask for no less than one that was rejected before.
//
// During a round the candidates may only lose: Assign, and setting Reserved, are allowed.
type Round struct {
	Candidates []Candidate
	// rejected has, by what else was asked of a runner, the resources for which none had the capacity
	// free. None of a list is contained in another.
	rejected       map[filter][]job.Resources
	examinedInVain int
}

// filter is what a request asks of a runner beside resources and budget.
type filter struct {
	service     string
	constraints string
	localTo     string // rack; empty: any
	healthyOnly bool
}

// constraintSeparator joins labels, which are printable.
const constraintSeparator = "\x00"

// NewRound begins a round over candidates.
func NewRound(candidates []Candidate) *Round {
	return &Round{Candidates: candidates}
}

// ExaminedWithoutMatch returns how many candidates the choices that found none have looked at so far.
func (r *Round) ExaminedWithoutMatch() int { return r.examinedInVain }

// Choose is the package's Choose over the round's candidates.
func (r *Round) Choose(request *Request) (best Assignment, result Result) {
	if request.HealthyOnly {
		if best, result = r.choose(request, true); result != Unsuitable {
			return best, result
		}
	}
	return r.choose(request, false)
}

// Rejects tells whether Choose finds no capacity by what was rejected before, and with which result,
// whatever the request's Count and Limit. It costs much less than Choose.
func (r *Round) Rejects(request *Request) (result Result, known bool) {
	if request.HealthyOnly {
		if result, known = r.rejects(request, true); !known || result != Unsuitable {
			return result, known
		}
	}
	return r.rejects(request, false)
}

func (r *Round) rejects(request *Request, healthyOnly bool) (result Result, known bool) {
	switch {
	case !r.wasRejected(request, healthyOnly):
		return Found, false
	case anyFeasible(request, r.Candidates, healthyOnly):
		return NoCapacity, true
	}
	return Unsuitable, true
}

func (r *Round) choose(request *Request, healthyOnly bool) (best Assignment, result Result) {
	if result, known := r.rejects(request, healthyOnly); known {
		return Assignment{Candidate: -1}, result
	}
	best, result, limited := choose(request, r.Candidates, healthyOnly)
	if result != Found {
		r.examinedInVain += len(r.Candidates)
	}
	if result == NoCapacity && !limited {
		r.reject(filterOf(request, healthyOnly), request.Resources)
	}
	return best, result
}

func filterOf(request *Request, healthyOnly bool) filter {
	key := filter{service: request.Service, constraints: strings.Join(request.Constraints, constraintSeparator), healthyOnly: healthyOnly}
	if request.LocalOnly {
		key.localTo = request.DataRack
	}
	return key
}

// wasRejected tells whether a request for no more than this was rejected, with the same filter or with
// the service alone. No runner has the capacity for it either: each lacks it as much as then, or more.
func (r *Round) wasRejected(request *Request, healthyOnly bool) bool {
	return r.holdsLesser(filter{service: request.Service}, request.Resources) || r.holdsLesser(filterOf(request, healthyOnly), request.Resources)
}

func (r *Round) holdsLesser(key filter, resources job.Resources) bool {
	for _, lesser := range r.rejected[key] {
		if lesser.FitsIn(resources) {
			return true
		}
	}
	return false
}

func (r *Round) reject(key filter, resources job.Resources) {
	kept := r.rejected[key][:0]
	for _, other := range r.rejected[key] {
		if !resources.FitsIn(other) {
			kept = append(kept, other)
		}
	}
	if r.rejected == nil {
		r.rejected = map[filter][]job.Resources{}
	}
	r.rejected[key] = append(kept, resources)
}

// anyFeasible tells whether some runner could take the task if nothing else ran there.
func anyFeasible(request *Request, candidates []Candidate, healthyOnly bool) bool {
	for i := range candidates {
		c := &candidates[i]
		if (!healthyOnly || !c.Suspect) && c.Feasible(request) {
			return true
		}
	}
	return false
}
