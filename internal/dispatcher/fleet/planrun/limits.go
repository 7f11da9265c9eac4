package planrun

import (
	"time"
)

// Limits are the bounds of a Tracker. They are part of its state, since replicas with
// different limits would refuse different commands.
type Limits struct {
	Runs               int           // in progress
	KnownRuns          int           `cbor:"Known"`   // in progress, or ended with an answer that is still kept
	AnswersWithResults int           `cbor:"Answers"` // ended runs that keep their results
	SharedOutputs      int           `cbor:"Shared"`  // over all runs
	RunBytes           int           // of one run: input, items and results
	ResultBytes        int           `cbor:"Result"`  // of one result
	AnswerBytes        int           `cbor:"Answer"`  // of the results in an answer
	MaxTimeout         time.Duration `cbor:"Longest"` // of a run
	Grace              time.Duration // a run has its answer this long after its deadline at the latest
	AnswerRetention    time.Duration `cbor:"KeepFor"` // how long an answer is kept at least
	KeyBytes           int           // of a shared key
	ReasonSize         int           // bytes of a reason, which is truncated
}

// DefaultLimits returns limits that keep a Tracker's state small enough for a Raft node to
// snapshot.
func DefaultLimits() Limits {
	return Limits{
		Runs: 20_000, KnownRuns: 500_000, AnswersWithResults: 20_000, SharedOutputs: 10_000, RunBytes: 1 << 20, ResultBytes: 64 << 10, AnswerBytes: 64 << 10,
		MaxTimeout: 24 * time.Hour, Grace: 5 * time.Second, AnswerRetention: 10 * time.Minute, KeyBytes: 512, ReasonSize: 256,
	}
}
