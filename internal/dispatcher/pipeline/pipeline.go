// Package pipeline has the stages that a transaction passes, a file for each: a front makes it of a
// submission (submission.go); the engine then has it counted (ledger.go), admitted (admit.go), put into
// a request to the policy (route.go), sent (send.go), has the end of each flow relayed (relay.go) and
// the final answer counted. No stage knows a wire.
package pipeline

import (
	"log/slog"
	"sync/atomic"
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// Pipeline is the stages of one dispatcher. It implements engine.Stages, whose methods belong to the
// engine's goroutine; NewTransaction, Effect and Reconfigure may be called by any.
type Pipeline struct {
	limits            Limits
	classes           atomic.Pointer[map[string]policy.Class] // by name; fronts read it, Reconfigure replaces it
	ledger            Ledger
	defaultCapability func(class string) string // of jobs that name none; nil: none
	tenants           TenantLimiter             // nil: tenants are not limited
	log               *slog.Logger
}

// TenantLimiter is this dispatcher's part of the jobs that the whole fleet may take of each tenant.
type TenantLimiter interface {
	// Admit takes one job of a tenant; not ok: there is none left until then.
	Admit(tenant string, now time.Time) (until time.Time, ok bool)
}

// SetTenantLimiter limits what is admitted of each tenant. It must be called before the first job.
func (p *Pipeline) SetTenantLimiter(l TenantLimiter) { p.tenants = l }

// SetDefaultCapability sets what jobs of a class require that name no capability. It must be called
// before the first job.
func (p *Pipeline) SetDefaultCapability(of func(class string) string) { p.defaultCapability = of }

// New returns the pipeline for the policy's settings.
func New(s policy.Settings, limits Limits, ledger Ledger, log *slog.Logger) *Pipeline {
	p := &Pipeline{limits: limits, ledger: ledger, log: log}
	p.Reconfigure(s)
	return p
}

// Reconfigure takes the classes of new settings for what comes from now on.
func (p *Pipeline) Reconfigure(s policy.Settings) {
	classes := make(map[string]policy.Class, len(s.Classes))
	for _, class := range s.Classes {
		classes[class.Name] = class
	}
	p.classes.Store(&classes)
}
