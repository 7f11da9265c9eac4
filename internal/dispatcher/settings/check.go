package settings

import (
	"github.com/valyala/fastjson"
)

// Report is what Check found in a file.
type Report struct {
	Kind     string // "configuration", "operator's file" or "experiment"
	Problems Problems
	Unknown  []string // keys that are not read
}

// Check reads a file of any kind and names all that is wrong with it. A file
// with an experiment is one for the lab; one with settings is a configuration.
func Check(text []byte) Report {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return Report{Kind: "file", Problems: Problems{{"", err.Error()}}}
	}
	if v.Type() != fastjson.TypeObject {
		return Report{Kind: "file", Problems: Problems{{"", "must be a JSON object"}}}
	}
	if v.Exists("experiment") {
		_, r := decodeExperiment(v)
		return Report{"experiment", r.problems, r.unknown("settings")}
	}
	if v.Exists("settings") || v.Exists("discovery") {
		c, r := decodeConfig(v)
		if c.Listen != "" {
			r.address("listen", c.Listen)
		}
		if c.Discovery != "" {
			r.address("discovery", c.Discovery)
		}
		if c.Admin != "" {
			r.address("admin", c.Admin)
		}
		return Report{"configuration", r.problems, r.unknown("settings", "known")}
	}
	_, r := decodeOperator(v)
	return Report{"operator's file", r.problems, r.unknown()}
}
