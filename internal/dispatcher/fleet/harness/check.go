package harness

import (
	"slices"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/fakes"
)

// Span is a time within which an event took place, or through which something lasted. A
// zero End means that it still lasts.
type Span struct{ Start, End time.Time }

// Spans returns the spans of the selected arrivals, each from its arrival to its end at the
// member. A rejected one has no length.
func Spans(log []fakes.Arrival, keep func(fakes.Arrival) bool) (all []Span) {
	for _, a := range log {
		if a.Rejected {
			a.EndedAt = a.ArrivedAt
		}
		if keep == nil || keep(a) {
			all = append(all, Span{a.ArrivedAt, a.EndedAt})
		}
	}
	return all
}

// StartPoints returns the spans' starts alone.
func StartPoints(spans []Span) (all []Span) {
	for _, s := range spans {
		all = append(all, Span{s.Start, s.Start})
	}
	return all
}

// Overspent returns by how much the worst window exceeds rate a second times its length
// plus burst: of all windows, the most events that surely took place within it, less what
// is allowed. It is above 0 only if the budget was exceeded, whatever the moment within its
// span at which each event took place.
func Overspent(events []Span, rate, burst float64) (by float64, window Span) {
	events = slices.DeleteFunc(slices.Clone(events), func(e Span) bool { return e.End.IsZero() })
	slices.SortFunc(events, func(a, b Span) int { return a.End.Compare(b.End) })
	type span struct{ from, to int64 } // from the first end on: this is done for each pair of events
	var all []span
	for _, e := range events {
		all = append(all, span{int64(e.Start.Sub(events[0].End)), int64(e.End.Sub(events[0].End))})
	}
	by = -burst
	for i, first := range all { // a window begins with one, and ends with one
		n := 0
		for j, e := range all {
			if e.from < first.from {
				continue
			}
			n++
			if over := float64(n) - rate*time.Duration(e.to-first.from).Seconds() - burst; over > by {
				by, window = over, Span{events[i].Start, events[j].End}
			}
		}
	}
	return by, window
}

// MaxConcurrent returns the largest number of spans at one time. A span that ends as
// another starts does not overlap it.
func MaxConcurrent(spans []Span) (most int) {
	type edge struct {
		at time.Time
		by int
	}
	var edges []edge
	for _, s := range spans {
		edges = append(edges, edge{s.Start, 1})
		if !s.End.IsZero() {
			edges = append(edges, edge{s.End, -1})
		}
	}
	slices.SortFunc(edges, func(a, b edge) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return a.by - b.by
	})
	now := 0
	for _, e := range edges {
		now += e.by
		most = max(most, now)
	}
	return most
}

// FinalAnswer is a final answer that somebody was given.
type FinalAnswer struct{ ID, Text string }

// Outcomes tells what became of requests, by id.
type Outcomes struct {
	Once                                        []string // requested, and ended with one answer
	Never, Repeated, Contradictory, Unrequested []string // no answer; Repeated: several equal ones; Contradictory: different ones, with their texts; Unrequested: nobody asked
}

// CompareOutcomes compares final answers with requests. Repeated answers are wrong for a
// call, which has one answer; for a plan run, which may be asked about again, only
// Contradictory ones are.
func CompareOutcomes(asked []string, ends []FinalAnswer) (e Outcomes) {
	texts := make(map[string][]string)
	for _, id := range asked {
		texts[id] = nil
	}
	for _, end := range ends {
		if _, ok := texts[end.ID]; !ok {
			e.Unrequested = append(e.Unrequested, end.ID)
			continue
		}
		texts[end.ID] = append(texts[end.ID], end.Text)
	}
	for _, id := range slices.Compact(slices.Sorted(slices.Values(asked))) {
		all := texts[id]
		switch kinds := slices.Compact(slices.Sorted(slices.Values(all))); {
		case len(kinds) == 0:
			e.Never = append(e.Never, id)
		case len(kinds) > 1:
			e.Contradictory = append(e.Contradictory, id+": "+strings.Join(kinds, " | "))
		case len(all) > 1:
			e.Repeated = append(e.Repeated, id)
			fallthrough
		default:
			e.Once = append(e.Once, id)
		}
	}
	return e
}

// RunTwice returns the requests of at-most-once classes that ran twice, over all attempts
// and dispatchers.
func RunTwice(log []fakes.Arrival, once func(class string) bool) (asks []string) {
	runs := make(map[string]int)
	for _, a := range log {
		ask := a.LogicalID
		if ask == "" {
			ask = a.ID
		}
		if once(a.Class) && !a.StartedAt.IsZero() {
			if runs[ask]++; runs[ask] == 2 {
				asks = append(asks, ask)
			}
		}
	}
	return asks
}

// UnfoundedAnswers returns the calls whose answer is wrong: served without a run that had
// begun, or refused though it ran, of an at-most-once class.
func UnfoundedAnswers(calls []fakes.Call, log []fakes.Arrival, once func(class string) bool) (ids []string) {
	ran := make(map[string]time.Time)
	for _, a := range log {
		if first, ok := ran[a.ID]; !a.StartedAt.IsZero() && (!ok || a.StartedAt.Before(first)) {
			ran[a.ID] = a.StartedAt
		}
	}
	for _, c := range calls {
		first, ok := ran[c.ID]
		if c.Status == 200 && (!ok || first.After(c.Ended)) || c.Status == 503 && once(c.Class) && ok {
			ids = append(ids, c.ID)
		}
	}
	return ids
}

// CompareRecords compares a replica's records with those that must exist and those that
// were pruned: records that are missing, unknown or duplicate ones, and pruned ones that
// are back.
func CompareRecords(want, pruned, got []string) (missing, extra, back []string) {
	const wanted, gone = 1, 2
	state := make(map[string]int)
	for _, id := range pruned {
		state[id] = gone
	}
	for _, id := range want {
		state[id] = wanted
	}
	for _, id := range got {
		switch state[id] {
		case wanted:
			state[id] = 0 // a second one is extra
		case gone:
			back = append(back, id)
		default:
			extra = append(extra, id)
		}
	}
	for _, id := range want {
		if state[id] == wanted {
			missing = append(missing, id)
		}
	}
	return missing, extra, back
}
