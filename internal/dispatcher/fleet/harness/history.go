package harness

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// History records operations and their results, for a check of linearizability by
// porcupine.
type History struct {
	start time.Time
	mu    sync.Mutex
	calls []porcupine.Operation
}

// NewHistory returns an empty history, which begins now.
func NewHistory() *History { return &History{start: time.Now()} }

// Call records the start of an operation. The function that it returns records the result,
// and is not called if it is unknown whether the operation took effect: it may then have done
// so at any time since its start.
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

// Check checks whether the history is linearizable with respect to a model. It returns an
// error if it has no result by a given time.
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

// LeaseCall requests a lease by name, or renews the one with a fencing token.
type LeaseCall struct {
	Name, Holder string
	Fence        uint64 // the fencing token; 0: a grant is requested
}

// LeaseAnswer is the raft nodes' answer, with its fleet time.
type LeaseAnswer struct {
	Granted   bool
	Fence     uint64 // of a grant
	At, Until time.Duration
}

// leaseState is a lease. If it is uncertain, an operation without an answer may have
// changed its end, and raised its fencing token.
type leaseState struct {
	holder    string
	fence     uint64
	at, until time.Duration
	uncertain bool
}

// LeaseModel returns the model of leases by name. Fleet time never runs backward; no other
// holder is granted a lease while it lasts; each grant has a greater fencing token; only
// its holder renews it, with its token, before its end; a grant is refused only while the
// lease is held, and a renewal only while it is not.
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
			case in.Fence != 0 && !out.Granted && (!own || !lasts || s.uncertain):
				return true, s
			}
			return false, s
		},
	}
}

// RunCall ends a plan run with an outcome, or queries the outcome if Outcome is empty. The
// result is a string: the effective outcome, or an empty one.
type RunCall struct{ Run, Outcome string }

// RunModel returns the model of runs that end once: the first outcome is the effective one, and
// all later operations return it.
func RunModel() porcupine.Model {
	return porcupine.Model{
		Partition: partitionBy(func(in any) string { return in.(RunCall).Run }),
		Init:      func() any { return "" },
		Step: func(state, input, output any) (bool, any) {
			effective, in := state.(string), input.(RunCall)
			if effective == "" {
				effective = in.Outcome
			}
			out, ok := output.(string)
			return !ok || out == effective, effective
		},
	}
}

// partitionBy returns a function that partitions a history by a key of its operations.
func partitionBy(key func(input any) string) func([]porcupine.Operation) [][]porcupine.Operation {
	return func(all []porcupine.Operation) (parts [][]porcupine.Operation) {
		index := make(map[string]int)
		for _, o := range all {
			k := key(o.Input)
			if _, ok := index[k]; !ok {
				index[k] = len(parts)
				parts = append(parts, nil)
			}
			parts[index[k]] = append(parts[index[k]], o)
		}
		return parts
	}
}
