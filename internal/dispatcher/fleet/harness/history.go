package harness

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// History records calls and their answers, of any number of clients.
type History struct {
	start time.Time
	mu    sync.Mutex
	calls []porcupine.Operation
}

// NewHistory is an empty history, which begins now.
func NewHistory() *History { return &History{start: time.Now()} }

// Call notes that a call begins. What it returns notes the answer; it is not
// called for a call of which nobody knows whether it took effect: it may have at
// any time from its begin on, and after all others it makes no difference.
func (h *History) Call(client int, input any) (answered func(output any)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.calls)
	h.calls = append(h.calls, porcupine.Operation{ClientId: client, Input: input, Call: int64(time.Since(h.start)), Return: math.MaxInt64})
	return func(output any) {
		at := int64(time.Since(h.start))
		h.mu.Lock()
		defer h.mu.Unlock()
		h.calls[n].Output, h.calls[n].Return = output, at
	}
}

// Check tells whether the history is one that the model could have had, each
// call at one moment between its begin and its answer. It gives up at a time.
func (h *History) Check(m porcupine.Model, until time.Time) error {
	h.mu.Lock()
	calls := append([]porcupine.Operation(nil), h.calls...)
	h.mu.Unlock()
	for _, part := range m.Partition(calls) {
		if result := porcupine.CheckOperationsTimeout(m, part, max(1, time.Until(until))); result != porcupine.Ok {
			return fmt.Errorf("a history of %d calls, the first of them %+v, is %s", len(part), part[0].Input, result)
		}
	}
	return nil
}

// LeaseCall asks for a lease by name, or to renew the one with a fencing number.
type LeaseCall struct {
	Name, Holder string
	Fence        uint64 // 0: a grant is asked for
}

// LeaseAnswer is what the keepers said, at a fleet time.
type LeaseAnswer struct {
	Granted   bool
	Fence     uint64 // of a grant
	At, Until time.Duration
}

// leaseState is one lease as it is held. Loose: a call without an answer may have
// changed its end, and raised its fencing number.
type leaseState struct {
	holder    string
	fence     uint64
	at, until time.Duration
	uncertain bool
}

// LeaseModel are the rules of leases by name. Fleet time never runs backward; while
// a lease lasts no other holder is granted it; each grant has a greater fencing
// number; only who holds it renews it, with its number, before its end; and it is
// refused only while it is held, its renewal only while it is not.
func LeaseModel() porcupine.Model {
	return porcupine.Model{
		Partition: partitionBy(func(in any) string { return in.(LeaseCall).Name }),
		Init:      func() any { return leaseState{} },
		Step: func(state, input, output any) (bool, any) {
			s, in := state.(leaseState), input.(LeaseCall)
			own := s.holder == in.Holder && (in.Fence == s.fence || s.uncertain && in.Fence > s.fence)
			out, ok := output.(LeaseAnswer)
			switch {
			case !ok && (in.Fence == 0 || own):
				return true, leaseState{in.Holder, max(s.fence, in.Fence), s.at, s.until, true}
			case !ok:
				return true, s
			case out.At < s.at:
				return false, s
			}
			lasts := s.holder != "" && (out.At < s.until || s.uncertain)
			free := s.holder == "" || out.At >= s.until || s.uncertain || s.holder == in.Holder
			next := leaseState{in.Holder, out.Fence, out.At, out.Until, false}
			s.at = out.At
			switch {
			case in.Fence == 0 && out.Granted && free && out.Fence > s.fence && out.Until > out.At:
				return true, next
			case in.Fence == 0 && !out.Granted && lasts:
				return true, s
			case in.Fence != 0 && out.Granted && own && lasts && out.Until >= s.until:
				next.fence = in.Fence
				return true, next
			case in.Fence != 0 && !out.Granted && !(own && lasts && !s.uncertain):
				return true, s
			}
			return false, s
		},
	}
}

// RunCall ends a plan's run with an outcome, or asks for it with none. The answer
// is a string: the outcome that counts, or none.
type RunCall struct{ Run, Outcome string }

// RunModel are the rules of runs that end once: the first outcome counts, and each
// who comes later is told that one.
func RunModel() porcupine.Model {
	return porcupine.Model{
		Partition: partitionBy(func(in any) string { return in.(RunCall).Run }),
		Init:      func() any { return "" },
		Step: func(state, input, output any) (bool, any) {
			counts, in := state.(string), input.(RunCall)
			if counts == "" {
				counts = in.Outcome
			}
			out, ok := output.(string)
			return !ok || out == counts, counts
		},
	}
}

// partitionBy parts a history by a key of its calls.
func partitionBy(key func(input any) string) func([]porcupine.Operation) [][]porcupine.Operation {
	return func(all []porcupine.Operation) (parts [][]porcupine.Operation) {
		place := make(map[string]int)
		for _, o := range all {
			k := key(o.Input)
			if _, ok := place[k]; !ok {
				place[k] = len(parts)
				parts = append(parts, nil)
			}
			parts[place[k]] = append(parts[place[k]], o)
		}
		return parts
	}
}
