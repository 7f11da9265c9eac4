package settings

import (
	"errors"
	"fmt"
	"strings"

	"github.com/valyala/fastjson"
)

// CheckReload checks a configuration that is reloaded while the program serves. It is stricter than the check
// at the start, since the running settings stay in effect if it returns an error. Beyond what DecodeConfig
// requires, the keys of the name, the addresses and the classes must be present, and each class's latency
// target and deadline and the number of attempts must be numbers above 0. Its error names the first mistake.
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
	if err := requirePositive(s, "settings.", "limits", "most_tries"); err != nil {
		return err
	}
	lanes := s.GetArray("lanes")
	if len(lanes) == 0 {
		return errors.New("configuration: settings.lanes is missing or empty")
	}
	for i, lane := range lanes {
		prefix := fmt.Sprintf("settings.lanes[%d].", i)
		for _, key := range []string{"name", "effect"} {
			if lane.Get(key) == nil {
				return fmt.Errorf("configuration: %s%s is missing", prefix, key)
			}
		}
		for _, key := range []string{"promise", "give_up"} {
			if err := requirePositive(lane, prefix, key); err != nil {
				return err
			}
		}
	}
	return nil
}

// requirePositive returns an error unless the value at a path is a number above 0.
func requirePositive(v *fastjson.Value, prefix string, path ...string) error {
	value := v.Get(path...)
	name := prefix + strings.Join(path, ".")
	switch {
	case value == nil:
		return fmt.Errorf("configuration: %s is missing", name)
	case value.Type() != fastjson.TypeNumber:
		return fmt.Errorf("configuration: %s is no number", name)
	case value.GetFloat64() <= 0:
		return fmt.Errorf("configuration: %s is not above 0", name)
	}
	return nil
}
