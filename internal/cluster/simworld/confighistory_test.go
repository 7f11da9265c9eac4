package simworld_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"basaltloft/internal/cluster/protocol"
)

// configHistory records the requests of operators and their answers.
type configHistory struct {
	operations   []porcupine.Operation
	acknowledged []acknowledgedVersion
	newest       int64           // highest version that was acknowledged
	accepted     []*configChange // candidates for being sent again
}

// acknowledgedVersion is a version whose acceptance was acknowledged to an operator.
type acknowledgedVersion struct {
	version int64
	at      time.Duration
}

// configChange is a change of the configuration, as an operator sends it.
type configChange struct {
	base, version int64
	content       []byte
}

// configInput is the input of an operation on the configuration, for porcupine.
type configInput struct {
	read          bool
	base, version int64
	content       string
}

// configOutput is the answer to an operation on the configuration.
type configOutput struct {
	status  protocol.Status // 0: unknown
	content string
}

// configState is the state of the configuration's model: the newest version and its content, and
// all accepted changes, as a text with ";version=content;" for each.
type configState struct {
	version  int64
	content  string
	accepted string
}

// hasAccepted reports whether a change was accepted before.
func (s configState) hasAccepted(in configInput) bool {
	return strings.Contains(s.accepted, fmt.Sprintf(";%d=%s;", in.version, in.content))
}

// afterAccepting returns the state after accepting a change.
func (s configState) afterAccepting(in configInput) configState {
	return configState{version: in.version, content: in.content, accepted: s.accepted + fmt.Sprintf(";%d=%s;", in.version, in.content)}
}

// configModel defines which histories of the configuration are linearizable.
var configModel = porcupine.Model{
	Init: func() any { return configState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(configState), input.(configInput), output.(configOutput)
		if in.read {
			return out.content == s.content, s
		}
		acceptable := in.base == s.version && in.version > s.version
		switch {
		case out.status == 0: // it may have taken effect or not
			if acceptable && !s.hasAccepted(in) {
				return true, s.afterAccepting(in)
			}
			return true, s
		case out.status == http.StatusOK && s.hasAccepted(in):
			return true, s
		case out.status == http.StatusOK:
			return acceptable, s.afterAccepting(in)
		}
		return !s.hasAccepted(in) && !acceptable, s // rejected
	},
}

// add records an operation; from and to are stamps.
func (h *configHistory) add(client int, from, to int64, in configInput, out configOutput) {
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: in, Call: from, Return: to, Output: out})
}

// checkVersionInUse checks rule CONFIG at a dispatcher: it uses no version older than one that was
// acknowledged more than applyWithin before the request was sent, and none older than one that this
// incarnation has used.
func (h *configHistory) checkVersionInUse(d *dispatcher, version int64, sent time.Duration) {
	for _, acked := range h.acknowledged {
		if sent > acked.at+d.w.deployment.applyWithin && version < acked.version {
			d.w.fail("CONFIG: %s uses version %d for a request sent %v after %d was acknowledged", d.name, version, sent-acked.at, acked.version)
		}
	}
	if version < d.highestVersion {
		d.w.fail("CONFIG: %s goes back from version %d to %d", d.name, d.highestVersion, version)
	}
	d.highestVersion = version
}

// configText returns a configuration: two queues, each at one of two services.
func configText(version int64, first, second int, timeout int) []byte {
	type route struct {
		Name       string  `json:"name"`
		Host       string  `json:"host"`
		PathPrefix string  `json:"path_prefix"`
		TimeoutMs  int     `json:"timeout_ms"`
		TargetMs   float64 `json:"target_ms"`
		Backend    string  `json:"backend"`
		Retries    int     `json:"retries"`
	}
	type service struct {
		Name string `json:"name"`
	}
	content, err := json.Marshal(struct {
		Version  int64     `json:"version"`
		Routes   []route   `json:"routes"`
		Services []service `json:"services"`
	}{version, []route{
		{"r0", "h", "/q0/", timeout, 250, twoServices[first], retries},
		{"r1", "h", "/q1/", timeout, 250, twoServices[second], retries},
	}, []service{{twoServices[0]}, {twoServices[1]}}})
	if err != nil {
		panic(err)
	}
	return content
}
