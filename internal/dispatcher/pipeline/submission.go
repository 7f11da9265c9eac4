package pipeline

import (
	"errors"
	"fmt"
	"math"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/policy"
)

// MaxBody is the largest body of a job on any wire, in bytes.
const MaxBody = 64 << 10

// answerMargin is taken off a client's own deadline, so that it has the whole answer before that.
const answerMargin = 25 * time.Millisecond

// maxIDLength is the longest id of a job, in bytes.
const maxIDLength = 128

// ErrTooLarge says that a body is larger than MaxBody.
var ErrTooLarge = errors.New("the job is too large")

// ErrUnknownClass says that the settings have no such class.
var ErrUnknownClass = errors.New("unknown class")

// Submission is a job as a front has read it, in no wire's terms. The fields that are not explained
// here are those of engine.Transaction.
type Submission struct {
	ID, Class, Tenant, Target, Key string
	AffinityKey                    string
	Front                          string
	Body                           []byte
	BodyFormat                     string
	ClientDeadline                 time.Time // when the client stops waiting; zero: as its class says
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

// NewTransaction makes a transaction of a submission. Its errors tell the client what is wrong with the
// submission: ErrUnknownClass, ErrTooLarge or another.
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

// Effect returns how often a job of a class may run; false: the class is not known.
func (p *Pipeline) Effect(class string) (policy.Effect, bool) {
	known, ok := (*p.classes.Load())[class]
	return known.Effect, ok
}

// validAmount reports whether a client may ask for so much.
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
