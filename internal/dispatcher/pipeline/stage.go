// Package pipeline has the six stages that a transaction passes, each in a unit
// of its own: take in, admit, route, send, relay, book. Take in is the fronts'
// way into the core; the core calls the others. None of them knows a wire.
package pipeline

import (
	"sync/atomic"
	"time"

	"basaltloft/internal/dispatcher/policy"

	"github.com/sirupsen/logrus"
)

// Chain is the stages of one dispatcher. It implements core.Stages.
type Chain struct {
	limits  Limits
	classes atomic.Pointer[map[string]policy.Class] // fronts read it, a retune replaces it
	books   Books
	needs   func(class string) string // what jobs need that do not say; nil: nothing
	shares  Shares                    // nil: nothing is shared
	log     *logrus.Logger
}

// Shares are this dispatcher's of what the whole fleet may take.
type Shares interface {
	// Admit takes one job of a tenant; not ok: there is none left until then.
	Admit(tenant string, now time.Time) (until time.Time, ok bool)
}

// Share bounds what is admitted by this dispatcher's shares. It must be called before the first job.
func (c *Chain) Share(s Shares) { c.shares = s }

// Need says what jobs need of a member whose front does not say. It must be
// called before the first job.
func (c *Chain) Need(of func(class string) string) { c.needs = of }

// New returns the chain for the module's settings.
func New(s policy.Settings, limits Limits, books Books, log *logrus.Logger) *Chain {
	c := &Chain{limits: limits, books: books, log: log}
	c.Retune(s)
	return c
}

// Retune takes the classes of new settings for what comes from now on.
func (c *Chain) Retune(s policy.Settings) {
	classes := make(map[string]policy.Class, len(s.Classes))
	for _, class := range s.Classes {
		classes[class.Name] = class
	}
	c.classes.Store(&classes)
}
