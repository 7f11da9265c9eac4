package soak

import (
	"fmt"
	"sync"
)

// Rule names the rule that a finding violates.
type Rule string

// Rules that are checked.
const (
	RuleLost     Rule = "LOST"     // a request that was read ended without an answer, or an accepted job is gone
	RuleHeld     Rule = "HELD"     // a request had no answer long after its timeout
	RuleTwice    Rule = "TWICE"    // two runs of a task overlapped, or it ran again after its end
	RuleRefused  Rule = "REFUSED"  // a job ran although each submission was refused
	RuleUnasked  Rule = "UNASKED"  // a task began long after its job was cancelled
	RuleMixed    Rule = "MIXED"    // a job is completed although not all its tasks are
	RuleConfig   Rule = "CONFIG"   // a configuration was lost, wrongly refused, or is outdated
	RuleStop     Rule = "STOP"     // a process did not stop in time, or ended by itself
	RuleCollapse Rule = "COLLAPSE" // something is not served although no fault is active
)

// maxFindings bounds how many findings are kept: one fault often causes many.
const maxFindings = 50

// Findings holds the violations of rules. It may be used concurrently.
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

// Texts returns the findings, the earliest first.
func (f *Findings) Texts() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.texts...)
}
