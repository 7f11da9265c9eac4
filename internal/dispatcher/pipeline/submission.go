package pipeline

import (
	"errors"
	"fmt"
	"math"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/policy"
)

// MaxBody is the size of the largest body of a job that any front accepts, in bytes.
const MaxBody = 64 << 10

// answerMargin is subtracted from a client's deadline, so that the client has the whole answer before it.
const answerMargin = 25 * time.Millisecond

// maxIDLength is the length of the longest id of a job, in bytes.
const maxIDLength = 128

// ErrTooLarge is returned for a submission whose body is larger than MaxBody.
var ErrTooLarge = errors.New("the job is too large")

// ErrUnknownClass is returned for a submission whose class is not in the settings.
var ErrUnknownClass = errors.New("unknown class")

// Submission is a job as read by a front, independent of the wire protocol. For fields without a comment
// see engine.Transaction.
type Submission struct {
	ID, Class, Tenant, Target, Key string
	AffinityKey                    string
	Front                          string
	Body                           []byte
	BodyFormat                     string
	ClientDeadline                 time.Time // when the client stops waiting; zero: after the timeout of its class
	Hint                           time.Duration
	Slots, Memory                  float64
	Retry                          bool
	KnownFirst                     bool
	NoRetryOnError                 bool
	Capability                     string // empty: the default of its class
	Plan, Stage                    string
	ExcludedMember                 string
	ExcludeItsZone                 bool
}

// NewTransaction returns a transaction for a submission. It returns ErrUnknownClass, ErrTooLarge or another
// error if the submission is invalid; the error's text is meant for the client.
func (p *Pipeline) NewTransaction(s Submission, now time.Time, client engine.Client) (*engine.Transaction, error) {
	class, ok := (*p.classes.Load())[s.Class]
	switch {
	case s.ID == "" || len(s.ID) > maxIDLength:
		return nil, fmt.Errorf("the id must have 1 to %d bytes", maxIDLength)
	case !printable(s.ID):
		return nil, errors.New("the id must be plain printable characters without spaces")
	case !ok:
		return nil, fmt.Errorf("%w %q", ErrUnknownClass, s.Class)
	case len(s.Body) > MaxBody:
		return nil, ErrTooLarge
	case !validAmount(s.Slots) || !validAmount(s.Memory) || s.Hint < 0:
		return nil, errors.New("a figure is negative or no number")
	}
	if s.Capability == "" && p.defaultCapability != nil {
		s.Capability = p.defaultCapability(s.Class)
	}
	if latest := now.Add(class.ClientTimeout); s.ClientDeadline.IsZero() || s.ClientDeadline.After(latest) {
		s.ClientDeadline = latest
	}
	return &engine.Transaction{
		ID: s.ID, Class: s.Class, Tenant: s.Tenant, Front: s.Front, Target: s.Target,
		Key: s.Key, AffinityKey: s.AffinityKey, Body: s.Body, BodyFormat: s.BodyFormat,
		Arrived: now, Deadline: s.ClientDeadline.Add(-answerMargin),
		Hint: s.Hint, Slots: s.Slots, Memory: s.Memory, Capability: s.Capability,
		Retry: s.Retry, KnownFirst: s.KnownFirst, NoRetryOnError: s.NoRetryOnError,
		Plan: s.Plan, Stage: s.Stage, ExcludedMember: s.ExcludedMember, ExcludeItsZone: s.ExcludeItsZone,
		Client: client,
	}, nil
}

// Effect returns the effect of a class, which limits how often its jobs may run. It returns false if the
// class is not in the settings.
func (p *Pipeline) Effect(class string) (policy.Effect, bool) {
	known, ok := (*p.classes.Load())[class]
	return known.Effect, ok
}

// validAmount reports whether f is a valid amount of slots or memory.
func validAmount(f float64) bool { return f >= 0 && f < math.MaxInt32 }

// printable reports whether a text is printable ASCII without spaces.
func printable(s string) bool {
	for _, r := range []byte(s) {
		if r <= ' ' || r > '~' {
			return false
		}
	}
	return true
}
