package settings

import (
	"errors"
	"fmt"
	"strings"

	"github.com/valyala/fastjson"
)

// CheckReload checks a configuration that is read again while the program serves, more closely than one at
// its start: one that is rejected here leaves the running settings as they are. Beyond what DecodeConfig
// requires, the keys of the name, the addresses and the classes must be there, and each class's deadline and
// the number of attempts must be numbers above 0. Its error names the first thing that is wrong.
func CheckReload(text []byte) error {
	if len(text) == 0 {
		return errors.New("configuration: the file is empty")
	}
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	if v.Type() != fastjson.TypeObject {
		return errors.New("configuration: not an object")
	}
	for _, key := range []string{"name", "listen", "discovery"} {
		if v.Get(key) == nil {
			return fmt.Errorf("configuration: %s is missing", key)
		}
	}
	s := v.Get("settings")
	if s == nil || s.Type() != fastjson.TypeObject {
		return errors.New("configuration: settings is missing or no object")
	}
	if err := above0(s, "settings.", "limits", "most_tries"); err != nil {
		return err
	}
	lanes := s.GetArray("lanes")
	if len(lanes) == 0 {
		return errors.New("configuration: settings.lanes is missing or empty")
	}
	for i, lane := range lanes {
		in := fmt.Sprintf("settings.lanes[%d].", i)
		for _, key := range []string{"name", "effect"} {
			if lane.Get(key) == nil {
				return fmt.Errorf("configuration: %s%s is missing", in, key)
			}
		}
		for _, key := range []string{"promise", "give_up"} {
			if err := above0(lane, in, key); err != nil {
				return err
			}
		}
	}
	return nil
}

// above0 checks that what is at a path is a number above 0.
func above0(v *fastjson.Value, in string, path ...string) error {
	at := v.Get(path...)
	name := in + strings.Join(path, ".")
	switch {
	case at == nil:
		return fmt.Errorf("configuration: %s is missing", name)
	case at.Type() != fastjson.TypeNumber:
		return fmt.Errorf("configuration: %s is no number", name)
	case at.GetFloat64() <= 0:
		return fmt.Errorf("configuration: %s is not above 0", name)
	}
	return nil
}
