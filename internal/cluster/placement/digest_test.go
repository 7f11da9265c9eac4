package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/placement"
	"basaltloft/internal/shared/admission"
	"basaltloft/internal/shared/digesttest"
)

// digestFile has a line for each part: its number, for how many requests a runner was found, and the
// digest of the choices.
const digestFile = "testdata/digests.txt"

// The random input consists of digestParts parts of choicesPerPart choices each.
const (
	digestParts    = 20
	choicesPerPart = 500
)

func randomResources(random *rand.Rand, most int64) job.Resources {
	return job.Resources{CPU: 1000 * random.Int64N(most), MemMB: 1000 * random.Int64N(most), GPU: random.Int64N(5)}
}

func randomCandidate(random *rand.Rand, key int) placement.Candidate {
	c := placement.Candidate{
		Key: key, Service: []string{"s", "s", "s", "t"}[random.IntN(4)], Labels: []string{[]string{"a", "b"}[random.IntN(2)], fmt.Sprint("r", random.IntN(3))},
		Capacity: job.Resources{CPU: 8000, MemMB: 8000, GPU: 4}, Free: randomResources(random, 9), Headroom: admission.Headroom{Amount: float64(random.IntN(40))},
		Idle: random.IntN(4) == 0, Reserved: random.IntN(8) == 0, Slowdown: 0.5 + 2*random.Float64(), RunTimeFactor: 0.8 + 0.4*random.Float64(), Suspect: random.IntN(5) == 0,
	}
	return c
}

func randomRequest(random *rand.Rand) *placement.Request {
	request := &placement.Request{
		Service: "s", Resources: randomResources(random, 5), Cost: float64(random.IntN(20)), LocalOnly: random.IntN(5) == 0,
		Urgency: placement.Urgency(random.IntN(3)), HealthyOnly: random.IntN(4) == 0, Count: random.IntN(6),
	}
	if random.IntN(3) == 0 {
		request.Constraints = []string{"a"}
	}
	if random.IntN(3) == 0 {
		request.DataRack = fmt.Sprint("r", random.IntN(3))
	}
	if random.IntN(4) == 0 {
		forbidden := random.IntN(6)
		request.Limit = func(key int) int { return (key + forbidden) % 4 }
	}
	return request
}

// choose places the random requests of one part, each on candidates of its own, assigns what is found
// and records the results. It returns for how many requests a runner was found.
func choose(part uint64, trace *digesttest.Trace) (found int) {
	random := rand.New(rand.NewPCG(part, 17))
	for number := range choicesPerPart {
		candidates := make([]placement.Candidate, random.IntN(12))
		for key := range candidates {
			candidates[key] = randomCandidate(random, key)
		}
		request := randomRequest(random)
		assignment, result := placement.Choose(request, candidates)
		trace.Begin(time.Duration(number), "choice").Int(int64(assignment.Candidate), int64(assignment.Count), int64(result))
		if result == placement.Found {
			found++
			assigned := &candidates[assignment.Candidate]
			assigned.Assign(request)
			trace.Int(assigned.Free.CPU, assigned.Free.MemMB, assigned.Free.GPU).Float(assigned.Headroom.Amount).Bool(assigned.Idle, assigned.Reserved)
		}
		trace.End()
	}
	return found
}

// TestChoiceDigests compares 10,000 choices on random input with the recorded digests.
func TestChoiceDigests(t *testing.T) {
	var lines []string
	for part := range uint64(digestParts) {
		trace := digesttest.New(true)
		found := choose(part, trace)
		if wanted, ok := digesttest.Traced(); ok && wanted == fmt.Sprint(part) {
			fmt.Print(trace.Text())
		}
		lines = append(lines, fmt.Sprintf("%d %d %s", part, found, trace.Sum()))
	}
	digesttest.Compare(t, digestFile, lines)
}
