package wire

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	nt "nettletally"
)

// conf is the settings object of CONFIGURE, as far as a dispatcher needs it.
// Keys that are not named here are skipped.
type conf struct {
	Balancers int    `json:"balancers"`
	Rank      int    `json:"rank"`
	Zone      string `json:"zone"`
	Lanes     []struct {
		Name         string   `json:"name"`
		Effect       string   `json:"effect"`
		KeyScope     string   `json:"key_scope"`
		RepeatWindow int64    `json:"repeat_window"`
		Promise      int64    `json:"promise"`
		AimStretch   *float64 `json:"aim_stretch"`
		GiveUp       int64    `json:"give_up"`
		Worth        float64  `json:"worth"`
	} `json:"lanes"`
	Clients struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"clients"`
	FamilyInfo struct {
		ClassKind    []int     `json:"class_kind"`
		ClassStretch []float64 `json:"class_stretch"`
		ReportX0     string    `json:"report_x0"`
		ReportX1     string    `json:"report_x1"`
		TellsStart   bool      `json:"tells_start"`
	} `json:"family_info"`
	Limits struct {
		MostTries     int   `json:"most_tries"`
		Cancel        bool  `json:"cancel"`
		Probes        bool  `json:"probes"`
		SecondCopies  bool  `json:"second_copies"`
		RetryAfter    bool  `json:"retry_after"`
		MaxRetryAfter int64 `json:"max_retry_after"`
	} `json:"limits"`
	Guarantees struct {
		GraceToAnswer int64   `json:"grace_to_answer"`
		AskEvery      int64   `json:"ask_every"`
		StartCapacity float64 `json:"start_capacity"`
		WarmAfter     int64   `json:"warm_after"`
		FallMultiple  float64 `json:"fall_multiple"`
		TipAfter      int64   `json:"tip_after"`

		LateShedding    bool `json:"late_shedding"`
		DroppedStayOpen bool `json:"dropped_stay_open"`
	} `json:"guarantees"`
	Prices struct {
		CrossZone float64 `json:"cross_zone"`
	} `json:"prices"`
	RegistryMode string   `json:"registry_mode"`
	Shapes       []string `json:"shapes"`
	WorthBy      string   `json:"worth_by"`
}

func (d *Decoder) configure() error {
	seed, err := d.required("nonce64")
	if err != nil {
		return err
	}
	text, err := d.required("conf")
	if err != nil {
		return err
	}
	s, err := parseSettings(text)
	if err != nil {
		return fmt.Errorf("conf: %w", err)
	}
	if s.Seed, err = parseSeed(string(seed)); err != nil {
		return err
	}
	d.ev.Settings = s
	return nil
}

// parseSeed accepts the whole range of 64 bits, with or without a sign.
func parseSeed(v string) (uint64, error) {
	if n, err := strconv.ParseUint(v, 10, 64); err == nil {
		return n, nil
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("nonce64: bad integer %q", v)
	}
	return uint64(n), nil
}

func parseSettings(text []byte) (nt.Settings, error) {
	var c conf
	if err := json.Unmarshal(text, &c); err != nil {
		return nt.Settings{}, err
	}
	s := nt.Settings{
		Instances:      c.Balancers,
		Rank:           c.Rank,
		Zone:           c.Zone,
		Kinds:          c.Shapes,
		TellsStart:     c.FamilyInfo.TellsStart,
		MarksRetry:     c.Clients.MarksRetry,
		ReportX0:       c.FamilyInfo.ReportX0,
		ReportX1:       c.FamilyInfo.ReportX1,
		CrossZonePrice: c.Prices.CrossZone,
		Limits: nt.Limits{
			MaxAttempts:   c.Limits.MostTries,
			Cancel:        c.Limits.Cancel,
			Probes:        c.Limits.Probes,
			SecondCopies:  c.Limits.SecondCopies,
			RetryAfter:    c.Limits.RetryAfter,
			MaxRetryAfter: time.Duration(c.Limits.MaxRetryAfter),
		},
		Rules: nt.Rules{
			AnswerGrace:  time.Duration(c.Guarantees.GraceToAnswer),
			AskWithin:    time.Duration(c.Guarantees.AskEvery),
			ColdFrom:     c.Guarantees.StartCapacity,
			ColdFor:      time.Duration(c.Guarantees.WarmAfter),
			FallMultiple: c.Guarantees.FallMultiple,
			FallFor:      time.Duration(c.Guarantees.TipAfter),

			FullMayHaveRun:    c.Guarantees.LateShedding,
			OnlyDrainingBinds: c.Guarantees.DroppedStayOpen,
		},
	}
	switch c.RegistryMode {
	case "push":
	case "ask":
		s.AskLists = true
	default:
		return s, fmt.Errorf("registry_mode: unknown mode %q", c.RegistryMode)
	}
	switch c.WorthBy {
	case "request", "":
	case "work":
		s.WorthByWork = true
	default:
		return s, fmt.Errorf("worth_by: unknown word %q", c.WorthBy)
	}
	return s, c.classes(&s)
}

func (c *conf) classes(s *nt.Settings) error {
	for i, l := range c.Lanes {
		class := nt.Class{
			Name:   l.Name,
			Window: time.Duration(l.RepeatWindow),
			Aim:    time.Duration(l.Promise),
			GiveUp: time.Duration(l.GiveUp),
			Worth:  l.Worth,
			Kind:   -1,
		}
		if i < len(c.FamilyInfo.ClassKind) {
			class.Kind = c.FamilyInfo.ClassKind[i]
		}
		if l.AimStretch != nil {
			class.Stretch = *l.AimStretch
		} else if i < len(c.FamilyInfo.ClassStretch) {
			class.Stretch = c.FamilyInfo.ClassStretch[i]
		}
		switch l.Effect {
		case "idempotent":
			class.Effect = nt.Safe
		case "deduplicated":
			class.Effect = nt.Keyed
		case "at_most_once":
			class.Effect = nt.Unsafe
		default:
			return fmt.Errorf("lanes[%d].effect: unknown effect %q", i, l.Effect)
		}
		switch l.KeyScope {
		case "all", "":
			class.Group = nt.GroupAll
		case "zone":
			class.Group = nt.GroupZone
		case "cell":
			class.Group = nt.GroupCell
		default:
			return fmt.Errorf("lanes[%d].key_scope: unknown scope %q", i, l.KeyScope)
		}
		s.Classes = append(s.Classes, class)
	}
	return nil
}
