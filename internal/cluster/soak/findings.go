package soak

import (
	"fmt"
	"sync"
)

// Rule names the rule that a finding broke.
type Rule string

// Rules that are checked.
const (
	RuleLost     Rule = "LOST"     // a request that was read ended without an answer, or an accepted job is gone
	RuleHeld     Rule = "HELD"     // a request had no answer long after its time-out
	RuleTwice    Rule = "TWICE"    // a task ran twice at once, or again after its end
	RuleRefused  Rule = "REFUSED"  // a job ran though each attempt to hand it in was refused
	RuleUnasked  Rule = "UNASKED"  // a task began long after its job was cancelled
	RuleMixed    Rule = "MIXED"    // a job is completed, and not all its tasks are
	RuleConfig   Rule = "CONFIG"   // a configuration was lost, refused wrongly, or is old
	RuleStop     Rule = "STOP"     // a process did not stop in time, or ended by itself
	RuleCollapse Rule = "COLLAPSE" // in calm times something is not served
)

// maxFindings bounds what is kept; a fault often shows many times.
const maxFindings = 50

// Findings are what broke a rule. It may be used concurrently.
type Findings struct {
	mu    sync.Mutex
	count int
	texts []string
}

func (f *Findings) add(rule Rule, format string, arguments ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	if len(f.texts) < maxFindings {
		f.texts = append(f.texts, string(rule)+": "+fmt.Sprintf(format, arguments...))
	}
}

// Texts returns what was found, the earliest first.
func (f *Findings) Texts() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.texts...)
}
