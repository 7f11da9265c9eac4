package harness

import (
	"slices"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/fakes"
)

// Span is when something was: an event that surely fell into it, or what lasted
// so long. A zero To is one that still lasts.
type Span struct{ From, To time.Time }

// Spans are of the arrivals that keep picks, each from its arrival to its end at
// the member. Those that were turned away are of no length.
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

// StartPoints are the spans' beginnings alone.
func StartPoints(spans []Span) (all []Span) {
	for _, s := range spans {
		all = append(all, Span{s.From, s.From})
	}
	return all
}

// Overspent is by how much the most spendthrift window goes over rate a second
// times its length, and burst: of all windows, the most events that surely fell
// into it, less what it may have. It is above 0 only if the whole was overspent,
// whatever the moment within its span at which each event was admitted.
func Overspent(events []Span, rate, burst float64) (by float64, window Span) {
	events = slices.DeleteFunc(slices.Clone(events), func(e Span) bool { return e.To.IsZero() })
	slices.SortFunc(events, func(a, b Span) int { return a.To.Compare(b.To) })
	type span struct{ from, to int64 } // from the first end on: this is done for each pair of events
	var all []span
	for _, e := range events {
		all = append(all, span{int64(e.From.Sub(events[0].To)), int64(e.To.Sub(events[0].To))})
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
				by, window = over, Span{events[i].From, events[j].To}
			}
		}
	}
	return by, window
}

// MaxConcurrent is how many spans there were at a time, at the most. One that ends
// as another begins was not there with it.
func MaxConcurrent(spans []Span) (most int) {
	type edge struct {
		at time.Time
		by int
	}
	var edges []edge
	for _, s := range spans {
		edges = append(edges, edge{s.From, 1})
		if !s.To.IsZero() {
			edges = append(edges, edge{s.To, -1})
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

// Outcomes is what became of what was asked.
type Outcomes struct {
	Once                                        []string // asked, and ended with one text
	Never, Repeated, Contradictory, Unrequested []string // no end; more than one, as the same; as others, with their texts; nobody asked
}

// CompareOutcomes holds final answers against what was asked. Again is wrong of a call,
// which has one answer; of a plan, which may be asked about again, only Differ.
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

// RunTwice are the asks of classes that must not run twice which did, over all
// tries and dispatchers.
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

// UnfoundedAnswers are the calls whose answer says what was not so: served without a
// run that had begun, or refused though it ran, of a class that must not run
// twice.
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

// CompareRecords holds what a replica has against what must be there and what was
// pruned: those that are missing, those that came back, and those that nobody
// made or that are there twice.
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
