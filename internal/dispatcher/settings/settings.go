// Package settings reads the settings object that an instance is given, and
// the configuration of the program around it. The simulator's adapter and the
// program share it, so that both drive the policy with the same figures.
package settings

import (
	"errors"
	"fmt"
	"slices"

	"basaltloft/internal/dispatcher/policy"

	"github.com/valyala/fastjson"
)

// Parse reads the text of a settings object.
func Parse(text []byte) (policy.Settings, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return policy.Settings{}, err
	}
	return Decode(v)
}

// Decode reads a settings object. Keys that are not known are skipped.
func Decode(v *fastjson.Value) (policy.Settings, error) {
	if v == nil || v.Type() != fastjson.TypeObject {
		return policy.Settings{}, errors.New("not an object")
	}
	r := newReader(v, "")
	s := policy.Settings{
		Instances:          int(r.whole("balancers")),
		Rank:               int(r.whole("rank")),
		Zone:               r.text("zone"),
		ReportsStart:       r.flag("family_info.tells_start"),
		ClientsMarkRetries: r.flag("clients.marks_retry"),
		ReportX0:           r.text("family_info.report_x0"),
		ReportX1:           r.text("family_info.report_x1"),
		CrossZonePrice:     r.number("prices.cross_zone"),
		Limits: policy.Limits{
			MaxAttempts:        int(r.whole("limits.most_tries")),
			Cancel:             r.flag("limits.cancel"),
			Probes:             r.flag("limits.probes"),
			ConcurrentAttempts: r.flag("limits.second_copies"),
			RetryAfter:         r.flag("limits.retry_after"),
			MaxRetryAfter:      r.span("limits.max_retry_after"),
			ConnectTimeout:     r.span("limits.dial_timeout"),
		},
		Rules: policy.Rules{
			AnswerGrace:          r.span("guarantees.grace_to_answer"),
			MembershipMaxAge:     r.span("guarantees.ask_every"),
			ColdCapacity:         r.number("guarantees.start_capacity"),
			WarmupTime:           r.span("guarantees.warm_after"),
			ColdOverloadMultiple: r.number("guarantees.fall_multiple"),
			ColdOverloadWindow:   r.span("guarantees.tip_after"),
			RejectedMayHaveRun:   r.flag("guarantees.late_shedding"),
			OnlyDrainBinds:       r.flag("guarantees.dropped_stay_open"),
		},
	}
	s.Kinds = r.names("shapes")
	// family_info says what a report's values would mean; which of them are
	// told, and whether any report comes at all, is said elsewhere. A dispatcher
	// that waits for reports nobody sends heeds no told start in their place.
	told := r.names("reporting.columns")
	if r.text("reporting.via") == "silent" || !slices.Contains(told, "x0") {
		s.ReportX0 = ""
	}
	if s.ReportX0 == "" || !slices.Contains(told, "x1") {
		s.ReportX1 = ""
	}
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
		r.fail("worth_by", fmt.Errorf("unknown word %q", by))
	}
	kinds, stretches := r.list("family_info.class_kind"), r.list("family_info.class_stretch")
	for i, lane := range r.list("lanes") {
		c, err := class(lane, i)
		if err != nil {
			r.problems = append(r.problems, err...)
			continue
		}
		if slices.ContainsFunc(s.Classes, func(o policy.Class) bool { return o.Name == c.Name }) {
			r.fail(fmt.Sprintf("lanes[%d].name", i), fmt.Errorf("%q is a class already", c.Name))
			continue
		}
		if i < len(kinds) {
			c.Kind = kinds[i].GetInt()
		}
		if !lane.Exists("aim_stretch") && i < len(stretches) {
			c.Stretch = stretches[i].GetFloat64()
		}
		s.Classes = append(s.Classes, c)
	}
	return s, r.err()
}

// class reads one entry of lanes; its kind is any unless told elsewhere.
func class(lane *fastjson.Value, i int) (policy.Class, Problems) {
	r := &reader{at: lane, in: fmt.Sprintf("lanes[%d].", i)}
	c := policy.Class{
		Name: r.text("name"), Window: r.span("repeat_window"), Aim: r.span("promise"),
		Stretch: r.number("aim_stretch"), GiveUp: r.span("give_up"), Worth: r.number("worth"), Kind: -1,
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
		c.Group = policy.DedupAll
	case "zone":
		c.Group = policy.DedupZone
	case "cell", "": // a key that nobody says how far it is known is taken to be known nowhere else
		c.Group = policy.DedupCell
	default:
		r.fail("key_scope", fmt.Errorf("unknown scope %q", scope))
	}
	return c, r.problems
}
