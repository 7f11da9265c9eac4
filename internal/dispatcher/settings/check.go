package settings

import (
	"github.com/valyala/fastjson"
)

// Report is the result of Check for a file.
type Report struct {
	Kind     string // "configuration", "operator's file" or "experiment"
	Problems Problems
	Unknown  []string // keys that the code does not read
}

// Check reads a file of any kind and returns all its mistakes. A file with the
// key experiment is an experiment; one with settings or discovery is a
// configuration; any other is an operator's file.
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
		return Report{"experiment", r.problems, r.unknownKeys("settings")}
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
		return Report{"configuration", r.problems, r.unknownKeys("settings", "known")}
	}
	_, r := decodeOperator(v)
	return Report{"operator's file", r.problems, r.unknownKeys()}
}
