// Package override holds the operators' manual overrides: which pool members they took out of service, and
// when they put pool members back. It does no I/O. Package server writes the state to a file, which a new
// version of the program that is started beside this one reads.
package override

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/valyala/fastjson"
)

// FormatVersion is the version of the saved state that this program writes and reads.
const FormatVersion = 1

// State holds the operators' overrides. It must not be used concurrently.
type State struct {
	outMembers map[string]bool      // by id: pool members that are out of service
	restoredAt map[string]time.Time // by id: when a pool member was last put back
}

// New returns a state without overrides.
func New() *State {
	return &State{outMembers: map[string]bool{}, restoredAt: map[string]time.Time{}}
}

// TakeOut takes a pool member out of service. It reports false if it was out already.
func (s *State) TakeOut(id string) bool {
	if s.outMembers[id] {
		return false
	}
	s.outMembers[id] = true
	return true
}

// PutBack puts a pool member back into service, however often it was taken out. It reports false if it
// was not out.
func (s *State) PutBack(id string, now time.Time) bool {
	if !s.outMembers[id] {
		return false
	}
	delete(s.outMembers, id)
	s.restoredAt[id] = now
	return true
}

// IsOut reports whether a pool member is out.
func (s *State) IsOut(id string) bool { return s.outMembers[id] }

// OutMembers returns the ids of the pool members that are out, sorted.
func (s *State) OutMembers() []string { return slices.Sorted(maps.Keys(s.outMembers)) }

// RestoredAt returns when a pool member was last put back; zero: never, or forgotten.
func (s *State) RestoredAt(id string) time.Time { return s.restoredAt[id] }

// ForgetRestoredBefore deletes the times of pool members that were put back before a time: these members
// are no longer warming up.
func (s *State) ForgetRestoredBefore(before time.Time) {
	for id, at := range s.restoredAt {
		if at.Before(before) {
			delete(s.restoredAt, id)
		}
	}
}

// Encode returns the state as JSON, marked with the dispatcher's name.
func (s *State) Encode(name string) []byte {
	a := fastjson.Arena{}
	o := a.NewObject()
	o.Set("version", a.NewNumberInt(FormatVersion))
	o.Set("name", a.NewString(name))
	outs := a.NewArray()
	for i, id := range s.OutMembers() {
		outs.SetArrayItem(i, a.NewString(id))
	}
	o.Set("out", outs)
	back := a.NewObject()
	for _, id := range s.RestoredMembers() {
		back.Set(id, a.NewNumberInt(int(s.restoredAt[id].UnixMilli())))
	}
	o.Set("back", back)
	return o.MarshalTo(nil)
}

// Decode decodes a state that Encode wrote for the dispatcher of this name. It returns an error and no state
// if the text is truncated, of another version, or of another dispatcher.
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
		s.outMembers[string(b)] = true
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

// RestoredMembers returns the ids of the pool members that were put back and whose time is stored, sorted.
func (s *State) RestoredMembers() []string { return slices.Sorted(maps.Keys(s.restoredAt)) }
