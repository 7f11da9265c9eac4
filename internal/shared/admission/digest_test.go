package admission_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"basaltloft/internal/shared/admission"
	"basaltloft/internal/shared/digesttest"
)

// Products are rounded explicitly: the compiler may fuse them with an addition in an inlined call.

// digestFile has a line for each part: its number, the number of its events, and the digest of their
// results.
const digestFile = "testdata/digests.txt"

// The random input consists of digestParts parts of stepsPerPart steps each. The steps of a part work on
// the same state.
const (
	digestParts  = 20
	stepsPerPart = 500
)

// learner applies random input to the package's types and traces the results.
type learner struct {
	random    *rand.Rand
	trace     *digesttest.Trace
	now       time.Duration
	estimates *admission.RunTimeEstimates
	meanCost  admission.MeanCost
	budgets   [4]admission.Budget
	factors   [4]admission.RunTimeFactor
	average   admission.Average
}

func (l *learner) step() {
	l.now += time.Duration(l.random.IntN(300)) * time.Millisecond
	l.learnRunTime()
	l.useBudget(&l.budgets[l.random.IntN(len(l.budgets))])
	l.learnFactors()
	l.compareRanks()
	l.average.Add(l.random.Float64(), 1+float64(l.random.Float64()*30))
	l.trace.Begin(l.now, "average").Float(l.average.Value, l.average.Count).Bool(l.average.Known())
	l.trace.Float(admission.ShrunkBudget(float64(100*l.random.Float64()), l.random.Float64(), float64(20*l.random.Float64()))).End()
}

func (l *learner) learnRunTime() {
	taskType := admission.TaskType{Queue: []string{"p", "q"}[l.random.IntN(2)], Step: l.random.IntN(3)}
	estimate := 0.0
	if l.random.IntN(2) == 0 {
		estimate = float64(10 * l.random.Float64())
	}
	l.trace.Begin(l.now, "cost").Float(l.estimates.Expect(taskType, estimate)).End()
	if l.random.IntN(3) > 0 {
		l.estimates.Learn(taskType, estimate, float64(l.random.ExpFloat64()*4))
	}
}

func (l *learner) useBudget(budget *admission.Budget) {
	cost, inFlight := float64(10*l.random.Float64()), float64(50*l.random.Float64())
	switch l.random.IntN(4) {
	case 0:
		l.meanCost.Add(cost)
	case 1:
		budget.RecordBlocked(l.now, cost, 400)
	case 2:
		budget.Grow(cost, 400)
	case 3:
		if l.random.IntN(3) == 0 {
			budget.Shrink(l.now-time.Duration(l.random.IntN(500))*time.Millisecond, l.now, &l.meanCost)
		}
	}
	l.trace.Begin(l.now, "budget").Float(l.meanCost.Mean(), tracedHeadroom(budget.Headroom(inFlight, &l.meanCost))).End()
}

// tracedHeadroom returns the number that the digests on file have for a headroom.
func tracedHeadroom(headroom admission.Headroom) float64 {
	if headroom.BudgetNotSet {
		return math.MaxFloat64
	}
	return headroom.Amount
}

func (l *learner) learnFactors() {
	var peers []admission.PeerRun
	for range l.random.IntN(6) {
		peers = append(peers, admission.PeerRun{Factor: &l.factors[l.random.IntN(len(l.factors))], Took: float64(5 * l.random.Float64())})
	}
	admission.LearnRunTimeFactors(peers)
	l.trace.Begin(l.now, "speeds")
	for at := range l.factors {
		l.trace.Float(l.factors[at].Value())
	}
	l.trace.End()
}

func (l *learner) randomRank() admission.Rank {
	return admission.Rank{Aged: l.random.IntN(2) == 0, AgedAt: time.Duration(l.random.IntN(3)), Cost: float64(l.random.IntN(3)), Seq: l.random.Uint64N(3)}
}

func (l *learner) compareRanks() {
	l.trace.Begin(l.now, "order").Int(int64(admission.Compare(l.randomRank(), l.randomRank()))).End()
}

// TestLearningDigests compares the results of 10,000 random steps with the recorded digests.
func TestLearningDigests(t *testing.T) {
	var lines []string
	for part := range uint64(digestParts) {
		l := &learner{random: rand.New(rand.NewPCG(part, 23)), trace: digesttest.New(true), estimates: admission.NewRunTimeEstimates()}
		for range stepsPerPart {
			l.step()
		}
		if wanted, ok := digesttest.Traced(); ok && wanted == fmt.Sprint(part) {
			fmt.Print(l.trace.Text())
		}
		lines = append(lines, fmt.Sprintf("%d %d %s", part, l.trace.Lines(), l.trace.Sum()))
	}
	digesttest.Compare(t, digestFile, lines)
}
