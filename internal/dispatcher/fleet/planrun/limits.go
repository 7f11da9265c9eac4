package planrun

import (
	"time"
)

// Limits bound a Tracker. They are part of its state: replicas with different limits would
// refuse different commands.
type Limits struct {
	Runs               int           // in progress
	KnownRuns          int           `cbor:"Known"`   // in progress, or ended and still known by their id
	AnswersWithResults int           `cbor:"Answers"` // ended runs that keep their results
	SharedOutputs      int           `cbor:"Shared"`  // over all runs
	RunBytes           int           // of one run: input, items and results
	ResultBytes        int           `cbor:"Result"`  // of one result
	AnswerBytes        int           `cbor:"Answer"`  // of the results in an answer
	MaxTimeout         time.Duration `cbor:"Longest"` // of a run
	Grace              time.Duration // a run has its answer this long after its deadline at the latest
	AnswerRetention    time.Duration `cbor:"KeepFor"` // how long an answer is known
	KeyBytes           int           // of a shared key
	ReasonSize         int           // bytes of a reason, which is truncated
}

// DefaultLimits keep a Tracker within what a raft node can snapshot.
func DefaultLimits() Limits {
	return Limits{
		Runs: 20_000, KnownRuns: 500_000, AnswersWithResults: 20_000, SharedOutputs: 10_000, RunBytes: 1 << 20, ResultBytes: 64 << 10, AnswerBytes: 64 << 10,
		MaxTimeout: 24 * time.Hour, Grace: 5 * time.Second, AnswerRetention: 10 * time.Minute, KeyBytes: 512, ReasonSize: 256,
	}
}
