package harness

import (
	"slices"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/fakes"
)

// Span is a time interval within which an event took place, or for which something lasted. A
// zero End means that it still lasts.
type Span struct{ Start, End time.Time }

// Spans returns the spans of the selected arrivals, each from its arrival to its end at the
// member. The span of a rejected arrival has no length.
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

// Overspent returns by how many events the worst window exceeds its allowance, and that window.
// The allowance is rate (a second) times the window's length, plus burst. An event counts only
// if its whole span lies within the window, so the result is above 0 only if the budget was
// exceeded, whatever the moment within its span at which each event took place.
func Overspent(events []Span, rate, burst float64) (by float64, window Span) {
	events = slices.DeleteFunc(slices.Clone(events), func(e Span) bool { return e.End.IsZero() })
	slices.SortFunc(events, func(a, b Span) int { return a.End.Compare(b.End) })
	type span struct{ from, to int64 } // since the first end; integers, as each pair of events is compared
	var all []span
	for _, e := range events {
		all = append(all, span{int64(e.Start.Sub(events[0].End)), int64(e.End.Sub(events[0].End))})
	}
	by = -burst
	for i, first := range all { // the worst window starts with an event and ends with an event
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

// FinalAnswer is a final answer that a client received.
type FinalAnswer struct{ ID, Text string }

// Outcomes groups the ids of requests by the final answers that they got.
type Outcomes struct {
	Once []string // requested, and ended with one answer
	// Never: no answer; Repeated: several equal ones; Contradictory: different ones, with their
	// texts; Unrequested: answers without a request.
	Never, Repeated, Contradictory, Unrequested []string
}

// CompareOutcomes compares final answers with requests. Repeated answers are wrong for a
// call, which has one answer; for a plan run, whose outcome may be queried several times, only
// Contradictory ones are.
func CompareOutcomes(requested []string, answers []FinalAnswer) (e Outcomes) {
	texts := make(map[string][]string)
	for _, id := range requested {
		texts[id] = nil
	}
	for _, answer := range answers {
		if _, ok := texts[answer.ID]; !ok {
			e.Unrequested = append(e.Unrequested, answer.ID)
			continue
		}
		texts[answer.ID] = append(texts[answer.ID], answer.Text)
	}
	for _, id := range slices.Compact(slices.Sorted(slices.Values(requested))) {
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
func RunTwice(log []fakes.Arrival, once func(class string) bool) (ids []string) {
	runs := make(map[string]int)
	for _, a := range log {
		id := a.LogicalID
		if id == "" {
			id = a.ID
		}
		if once(a.Class) && !a.StartedAt.IsZero() {
			if runs[id]++; runs[id] == 2 {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// UnfoundedAnswers returns the calls whose answer is wrong: served although no run had begun,
// or, for an at-most-once class, refused although it ran.
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
// were pruned. It returns records that are missing, unknown or duplicate ones, and pruned ones
// that are back.
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
