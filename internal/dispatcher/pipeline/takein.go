package pipeline

import (
	"errors"
	"fmt"
	"math"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/policy"
)

// MaxBody is the most bytes that a job may have on any wire.
const MaxBody = 64 << 10

// answerMargin is kept back from a client's own deadline, so that the final answer
// is whole at the client before it gives up.
const answerMargin = 25 * time.Millisecond

const maxIDLength = 128

// ErrTooLarge says that a job is larger than MaxBody.
var ErrTooLarge = errors.New("the job is too large")

// ErrUnknownClass says that the settings have no such class.
var ErrUnknownClass = errors.New("unknown class")

// Submission is what a front read of a job, in no wire's terms.
type Submission struct {
	ID, Class, Tenant, Target, Key string
	AffinityKey                    string // see core.Transaction
	Front                          string // the front that read it
	Body                           []byte
	BodyFormat                     string    // see core.Transaction
	ClientDeadline                 time.Time // when the client stops waiting; zero: as the class says
	Hint                           time.Duration
	Slots, Memory                  float64
	Retry                          bool
	KnownFirst                     bool
	NoRetryOnError                 bool
	Capability                     string // see core.Transaction
	Plan, Stage                    string
	ExcludedMember                 string
	ExcludeItsZone                 bool
}

// NewTransaction makes a transaction of an arrival, or says what is wrong with it. Bad
// input goes no further: the decisions never see it.
func (c *Pipeline) NewTransaction(a Submission, now time.Time, client engine.Client) (*engine.Transaction, error) {
	class, ok := (*c.classes.Load())[a.Class]
	switch {
	case a.ID == "" || len(a.ID) > maxIDLength:
		return nil, fmt.Errorf("the id must have 1 to %d bytes", maxIDLength)
	case !printable(a.ID):
		return nil, errors.New("the id must be plain printable characters without spaces")
	case !ok:
		return nil, fmt.Errorf("%w %q", ErrUnknownClass, a.Class)
	case len(a.Body) > MaxBody:
		return nil, ErrTooLarge
	case !validAmount(a.Slots) || !validAmount(a.Memory) || a.Hint < 0:
		return nil, errors.New("a figure is negative or no number")
	}
	if a.Capability == "" && c.defaultCapability != nil {
		a.Capability = c.defaultCapability(a.Class)
	}
	if latest := now.Add(class.GiveUp); a.ClientDeadline.IsZero() || a.ClientDeadline.After(latest) {
		a.ClientDeadline = latest
	}
	return &engine.Transaction{
		ID: a.ID, Class: a.Class, Tenant: a.Tenant, Front: a.Front, Target: a.Target, Key: a.Key, Body: a.Body, BodyFormat: a.BodyFormat, AffinityKey: a.AffinityKey,
		Arrived: now, Deadline: a.ClientDeadline.Add(-answerMargin), Hint: a.Hint, Slots: a.Slots, Memory: a.Memory, Retry: a.Retry, Capability: a.Capability, NoRetryOnError: a.NoRetryOnError, Client: client,
		KnownFirst: a.KnownFirst, Plan: a.Plan, Stage: a.Stage, ExcludedMember: a.ExcludedMember, ExcludeItsZone: a.ExcludeItsZone,
	}, nil
}

// Effect tells how often a job of a class may run. It reports false for a class
// that is not known.
func (c *Pipeline) Effect(class string) (policy.Effect, bool) {
	known, ok := (*c.classes.Load())[class]
	return known.Effect, ok
}

func validAmount(f float64) bool { return f >= 0 && f < math.MaxInt32 }

func printable(s string) bool {
	for _, r := range []byte(s) {
		if r <= ' ' || r > '~' {
			return false
		}
	}
	return true
}
