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

// Pipeline is the stages of one dispatcher. It implements core.Stages.
type Pipeline struct {
	limits            Limits
	classes           atomic.Pointer[map[string]policy.Class] // fronts read it, a retune replaces it
	ledger            Ledger
	defaultCapability func(class string) string // what jobs need that do not say; nil: nothing
	tenants           TenantLimiter             // nil: nothing is shared
	log               *logrus.Logger
}

// TenantLimiter are this dispatcher's of what the whole fleet may take.
type TenantLimiter interface {
	// Admit takes one job of a tenant; not ok: there is none left until then.
	Admit(tenant string, now time.Time) (until time.Time, ok bool)
}

// SetTenantLimiter bounds what is admitted by this dispatcher's shares. It must be called before
// the first job.
func (c *Pipeline) SetTenantLimiter(s TenantLimiter) { c.tenants = s }

// SetDefaultCapability says what jobs need of a member whose front does not say. It must be
// called before the first job.
func (c *Pipeline) SetDefaultCapability(of func(class string) string) { c.defaultCapability = of }

// New returns the chain for the module's settings.
func New(s policy.Settings, limits Limits, books Ledger, log *logrus.Logger) *Pipeline {
	c := &Pipeline{limits: limits, ledger: books, log: log}
	c.Reconfigure(s)
	return c
}

// Reconfigure takes the classes of new settings for what comes from now on.
func (c *Pipeline) Reconfigure(s policy.Settings) {
	classes := make(map[string]policy.Class, len(s.Classes))
	for _, class := range s.Classes {
		classes[class.Name] = class
	}
	c.classes.Store(&classes)
}
