// Package settings reads the files of the platform and of the operators, and maps their keys to the names
// that the code uses: the settings object of a dispatcher instance (settings.go), which the simulator's
// adapter and the program share, the program's configuration (config.go) and its reload (reload.go), the
// operator's file (operator.go, fleet.go), and the experiments of package lab (experiment.go). Check reports
// all mistakes in a file.
package settings

import (
	"errors"
	"fmt"
	"slices"

	"basaltloft/internal/dispatcher/policy"

	"github.com/valyala/fastjson"
)

// Parse reads a settings object from its JSON; see Decode.
func Parse(text []byte) (policy.Settings, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return policy.Settings{}, err
	}
	return Decode(v)
}

// Decode reads a settings object. Unknown keys are ignored. Its error is of type Problems unless the value
// is not an object.
func Decode(v *fastjson.Value) (policy.Settings, error) {
	if v == nil || v.Type() != fastjson.TypeObject {
		return policy.Settings{}, errors.New("not an object")
	}
	r := newReader(v)
	s := policy.Settings{
		Instances:          int(r.integer("balancers")),
		Rank:               int(r.integer("rank")),
		Zone:               r.text("zone"),
		ReportsStart:       r.flag("family_info.tells_start"),
		ClientsMarkRetries: r.flag("clients.marks_retry"),
		ReportX0:           r.text("family_info.report_x0"),
		ReportX1:           r.text("family_info.report_x1"),
		CrossZonePrice:     r.number("prices.cross_zone"),
		Limits:             limits(r),
		Rules:              rules(r),
	}
	s.Kinds = r.names("shapes")
	dropUnreportedFields(r, &s)
	switch mode := r.text("registry_mode"); mode {
	case "push":
	case "ask":
		s.PullsMembership = true
	default:
		r.fail("registry_mode", fmt.Errorf("unknown mode %q", mode))
	}
	switch by := r.text("worth_by"); by {
	case "request", "":
	case "work":
		s.ValueByWork = true
	default:
		r.fail("worth_by", fmt.Errorf("unknown value %q", by))
	}
	s.Classes = classes(r)
	return s, r.err()
}

// limits reads the limits on what a dispatcher may do.
func limits(r *reader) policy.Limits {
	return policy.Limits{
		MaxAttempts:        int(r.integer("limits.most_tries")),
		Cancel:             r.flag("limits.cancel"),
		Probes:             r.flag("limits.probes"),
		ConcurrentAttempts: r.flag("limits.second_copies"),
		RetryAfter:         r.flag("limits.retry_after"),
		MaxRetryAfter:      r.span("limits.max_retry_after"),
		ConnectTimeout:     r.span("limits.dial_timeout"),
	}
}

// rules reads the parameters of the platform's rules.
func rules(r *reader) policy.Rules {
	return policy.Rules{
		AnswerGrace:          r.span("guarantees.grace_to_answer"),
		MembershipMaxAge:     r.span("guarantees.ask_every"),
		ColdCapacity:         r.number("guarantees.start_capacity"),
		WarmupTime:           r.span("guarantees.warm_after"),
		ColdOverloadMultiple: r.number("guarantees.fall_multiple"),
		ColdOverloadWindow:   r.span("guarantees.tip_after"),
		RejectedMayHaveRun:   r.flag("guarantees.late_shedding"),
		RemovedMayServe:      r.flag("guarantees.dropped_stay_open"),
	}
}

// dropUnreportedFields clears the meanings of report fields that members don't report. family_info defines
// only the meaning of each field; reporting.columns lists the fields that members report, and reporting.via
// is silent if they send no reports. A dispatcher that waited for reports that are never sent would ignore
// the reported starts of attempts.
func dropUnreportedFields(r *reader, s *policy.Settings) {
	reported := r.names("reporting.columns")
	if r.text("reporting.via") == "silent" || !slices.Contains(reported, "x0") {
		s.ReportX0 = ""
	}
	if s.ReportX0 == "" || !slices.Contains(reported, "x1") {
		s.ReportX1 = ""
	}
}

// classes reads the classes of requests, which the file calls lanes.
func classes(r *reader) (classes []policy.Class) {
	kinds, stretches := r.list("family_info.class_kind"), r.list("family_info.class_stretch")
	for i, lane := range r.list("lanes") {
		c, problems := class(lane, i)
		if problems != nil {
			r.problems = append(r.problems, problems...)
			continue
		}
		if slices.ContainsFunc(classes, func(o policy.Class) bool { return o.Name == c.Name }) {
			r.fail(fmt.Sprintf("lanes[%d].name", i), fmt.Errorf("class %q is defined twice", c.Name))
			continue
		}
		if i < len(kinds) {
			c.Kind = kinds[i].GetInt()
		}
		if !lane.Exists("aim_stretch") && i < len(stretches) {
			c.TargetPerWork = stretches[i].GetFloat64()
		}
		classes = append(classes, c)
	}
	return classes
}

// class reads one entry of lanes. It sets Kind to -1, any kind; classes replaces that by the kind in
// family_info, if there is one.
func class(lane *fastjson.Value, i int) (policy.Class, Problems) {
	r := &reader{at: lane, prefix: fmt.Sprintf("lanes[%d].", i)}
	c := policy.Class{
		Name: r.text("name"), DedupWindow: r.span("repeat_window"), LatencyTarget: r.span("promise"),
		TargetPerWork: r.number("aim_stretch"), ClientTimeout: r.span("give_up"), Value: r.number("worth"), Kind: -1,
	}
	if c.Name == "" {
		r.fail("name", errors.New("missing"))
	}
	switch effect := r.text("effect"); effect {
	case "idempotent":
		c.Effect = policy.Idempotent
	case "deduplicated":
		c.Effect = policy.Deduplicated
	case "at_most_once":
		c.Effect = policy.AtMostOnce
	default:
		r.fail("effect", fmt.Errorf("unknown effect %q", effect))
	}
	switch scope := r.text("key_scope"); scope {
	case "all":
		c.DedupScope = policy.DedupAll
	case "zone":
		c.DedupScope = policy.DedupZone
	case "cell", "": // without a scope, assume that only the cell deduplicates by the key
		c.DedupScope = policy.DedupCell
	default:
		r.fail("key_scope", fmt.Errorf("unknown scope %q", scope))
	}
	return c, r.problems
}
