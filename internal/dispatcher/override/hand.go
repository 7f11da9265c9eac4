// Package override keeps what operators set by hand: the runners they took out and
// when they put them back, and whether they drain this dispatcher. It decides
// without I/O; its state is written to a file by the service, so that a new
// version of the program started beside this one goes on with it.
package override

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/valyala/fastjson"
)

// FormatVersion is the form of the state that this program writes and reads.
const FormatVersion = 1

// State is what operators have set.
type State struct {
	outRunners map[string]bool      // runner ids taken out
	restoredAt map[string]time.Time // when each runner was last put back
}

// New returns a state in which nothing is set.
func New() *State {
	return &State{outRunners: map[string]bool{}, restoredAt: map[string]time.Time{}}
}

// TakeOut takes a runner out. A second call changes nothing; it tells whether this
// one did.
func (s *State) TakeOut(id string) bool {
	if s.outRunners[id] {
		return false
	}
	s.outRunners[id] = true
	return true
}

// PutBack puts a runner back at now, however often it was taken out. It tells
// whether it was out.
func (s *State) PutBack(id string, now time.Time) bool {
	if !s.outRunners[id] {
		return false
	}
	delete(s.outRunners, id)
	s.restoredAt[id] = now
	return true
}

// IsOut tells whether a runner is out.
func (s *State) IsOut(id string) bool { return s.outRunners[id] }

// OutRunners are the runners taken out, in order.
func (s *State) OutRunners() []string { return slices.Sorted(maps.Keys(s.outRunners)) }

// RestoredAt is when a runner was last put back; zero: never.
func (s *State) RestoredAt(id string) time.Time { return s.restoredAt[id] }

// ForgetRestoredBefore drops what is kept of runners put back before a time: they are warm
// by then or were listed as started again.
func (s *State) ForgetRestoredBefore(before time.Time) {
	for id, at := range s.restoredAt {
		if at.Before(before) {
			delete(s.restoredAt, id)
		}
	}
}

// Encode writes the state as JSON, with the name of the dispatcher it is of.
func (s *State) Encode(name string) []byte {
	a := fastjson.Arena{}
	o := a.NewObject()
	o.Set("version", a.NewNumberInt(FormatVersion))
	o.Set("name", a.NewString(name))
	outs := a.NewArray()
	for i, id := range s.OutRunners() {
		outs.SetArrayItem(i, a.NewString(id))
	}
	o.Set("out", outs)
	back := a.NewObject()
	for _, id := range s.RestoredRunners() {
		back.Set(id, a.NewNumberInt(int(s.restoredAt[id].UnixMilli())))
	}
	o.Set("back", back)
	return o.MarshalTo(nil)
}

// Decode reads a state that Encode wrote for the dispatcher of this name. A
// text that is cut short, of another form or version, or of another
// dispatcher is an error, and nothing of it is taken.
func Decode(text []byte, name string) (*State, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("state of the operators' settings: %w", err)
	}
	if n := v.GetInt("version"); n != FormatVersion {
		return nil, fmt.Errorf("state of the operators' settings: version %d, not %d", n, FormatVersion)
	}
	if got := string(v.GetStringBytes("name")); got != name {
		return nil, fmt.Errorf("state of the operators' settings: of dispatcher %q, not %q", got, name)
	}
	s := New()
	if v.Get("out") == nil || v.Get("back") == nil {
		return nil, fmt.Errorf("state of the operators' settings: out or back missing")
	}
	outs, err := v.Get("out").Array()
	if err != nil {
		return nil, fmt.Errorf("state of the operators' settings: out: %w", err)
	}
	for _, id := range outs {
		b, err := id.StringBytes()
		if err != nil || len(b) == 0 {
			return nil, fmt.Errorf("state of the operators' settings: out: no runner id")
		}
		s.outRunners[string(b)] = true
	}
	back, err := v.Get("back").Object()
	if err != nil {
		return nil, fmt.Errorf("state of the operators' settings: back: %w", err)
	}
	back.Visit(func(id []byte, at *fastjson.Value) {
		ms, e := at.Int64()
		if e != nil || ms <= 0 {
			err = fmt.Errorf("state of the operators' settings: back: %s: no time", id)
			return
		}
		s.restoredAt[string(id)] = time.UnixMilli(ms)
	})
	if err != nil {
		return nil, err
	}
	return s, nil
}

// RestoredRunners are the runners put back whose time is kept, in order.
func (s *State) RestoredRunners() []string { return slices.Sorted(maps.Keys(s.restoredAt)) }
