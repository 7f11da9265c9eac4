package placement

import (
	"strings"

	"basaltloft/internal/cluster/job"
)

// Round places the requests of one scheduling cycle on the same candidates. It decides as Choose does,
// and remembers for which requests no runner had the capacity free: when thousands of jobs wait for
// full runners, almost every request needs at least as much as one that was rejected before.
//
// During a round the free capacity and headroom of the candidates may only decrease: calling Assign and
// setting Reserved are the only changes allowed.
type Round struct {
	Candidates []Candidate
	// rejected holds, by the other requirements of the request, the resources for which no runner had
	// the capacity free. No entry of a list fits in another one of that list.
	rejected             map[filter][]job.Resources
	examinedWithoutMatch int
}

// filter is what a request requires of a runner apart from resources and budget.
type filter struct {
	service     string
	constraints string
	localTo     string // label of the required rack; empty: any
	healthyOnly bool
}

// constraintSeparator separates labels in filter.constraints. It can't occur in a label, since labels
// are printable.
const constraintSeparator = "\x00"

// NewRound returns a round over candidates.
func NewRound(candidates []Candidate) *Round {
	return &Round{Candidates: candidates}
}

// ExaminedWithoutMatch returns how many candidates Choose has examined so far for requests for which it
// found none.
func (r *Round) ExaminedWithoutMatch() int { return r.examinedWithoutMatch }

// Choose returns what the package's Choose returns for the round's candidates.
func (r *Round) Choose(request *Request) (best Assignment, result Result) {
	if request.HealthyOnly {
		if best, result = r.choose(request, true); result != Unsuitable {
			return best, result
		}
	}
	return r.choose(request, false)
}

// Rejects reports whether the requests rejected so far show that Choose will find no capacity, and with
// which result. The request's Count and Limit make no difference. It costs much less than Choose.
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
		r.examinedWithoutMatch += len(r.Candidates)
	}
	if result == NoCapacity && !limited {
		r.recordRejected(filterOf(request, healthyOnly), request.Resources)
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

// wasRejected reports whether a request that needed at most the same resources was rejected before, with
// the same filter or with the service as the only filter. If so, no runner has the capacity for this
// request either, since free capacity only decreases during a round.
func (r *Round) wasRejected(request *Request, healthyOnly bool) bool {
	return r.hasSmallerRejected(filter{service: request.Service}, request.Resources) ||
		r.hasSmallerRejected(filterOf(request, healthyOnly), request.Resources)
}

// hasSmallerRejected reports whether resources that fit in the given ones were rejected with a filter.
func (r *Round) hasSmallerRejected(key filter, resources job.Resources) bool {
	for _, smaller := range r.rejected[key] {
		if smaller.FitsIn(resources) {
			return true
		}
	}
	return false
}

// recordRejected adds resources to those rejected with a filter, and removes the entries that they make
// redundant.
func (r *Round) recordRejected(key filter, resources job.Resources) {
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

// anyFeasible reports whether some runner could take a task of the request if nothing else ran there.
func anyFeasible(request *Request, candidates []Candidate, healthyOnly bool) bool {
	for i := range candidates {
		c := &candidates[i]
		if (!healthyOnly || !c.Suspect) && c.Feasible(request) {
			return true
		}
	}
	return false
}
