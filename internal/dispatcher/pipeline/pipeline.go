// Package pipeline implements the processing stages of a transaction, each in its own file. A front creates
// the transaction from a submission (submission.go). The engine then calls the stages that count it
// (ledger.go), admit it (admit.go), turn it into a request to the policy (route.go), send it (send.go),
// relay the end of each flow (relay.go) and count the final answer (ledger.go). No stage depends on a wire
// protocol.
package pipeline

import (
	"log/slog"
	"sync/atomic"
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// Pipeline implements engine.Stages for one dispatcher. Only the engine's goroutine may call the methods of
// engine.Stages; any goroutine may call NewTransaction, Effect and Reconfigure.
type Pipeline struct {
	limits            Limits
	classes           atomic.Pointer[map[string]policy.Class] // by name; fronts read it, Reconfigure replaces it
	ledger            Ledger
	defaultCapability func(class string) string // for jobs that require no capability; nil: none
	tenants           TenantLimiter             // nil: tenants are not limited
	log               *slog.Logger
}

// TenantLimiter limits the jobs that this dispatcher admits of each tenant to its part of the fleet's budget.
type TenantLimiter interface {
	// Admit admits one job of a tenant. If it is not ok, the tenant's budget is spent until the given time.
	Admit(tenant string, now time.Time) (until time.Time, ok bool)
}

// SetTenantLimiter sets the limiter of the jobs that are admitted of each tenant. It must be called before
// the first job.
func (p *Pipeline) SetTenantLimiter(l TenantLimiter) { p.tenants = l }

// SetDefaultCapability sets the function that returns the default capability of a class, for jobs that
// require none themselves. It must be called before the first job.
func (p *Pipeline) SetDefaultCapability(of func(class string) string) { p.defaultCapability = of }

// New returns a pipeline for the policy's settings.
func New(s policy.Settings, limits Limits, ledger Ledger, log *slog.Logger) *Pipeline {
	p := &Pipeline{limits: limits, ledger: ledger, log: log}
	p.Reconfigure(s)
	return p
}

// Reconfigure applies the classes of new settings to submissions that arrive from now on.
func (p *Pipeline) Reconfigure(s policy.Settings) {
	classes := make(map[string]policy.Class, len(s.Classes))
	for _, class := range s.Classes {
		classes[class.Name] = class
	}
	p.classes.Store(&classes)
}
