package simworld_test

import (
	"net/http"
	"time"

	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
)

// isFinalStatus reports whether an operator stops retrying after an answer with that status.
func isFinalStatus(status protocol.Status) bool {
	return status == http.StatusOK || status >= 400 && status < 500
}

// sendOperatorRequest sends an operator's request to random nodes, unchanged, until it has a final
// answer. done gets false if there is none in time.
func (w *world) sendOperatorRequest(request protocol.OperatorRequest, done func(protocol.OperatorResponse, bool)) {
	began, attempts := w.now, 0
	var attempt func()
	attempt = func() {
		if w.now > began+operatorDeadline {
			done(protocol.OperatorResponse{}, false)
			return
		}
		c := w.nodes[w.random.IntN(len(w.nodes))]
		w.callFromOutside(c.process, operatorTimeout, func(reply func(any)) {
			c.serveOperator(request, func(a protocol.OperatorResponse) {
				if request.Replace && a.Status == http.StatusOK {
					w.acknowledged(configAcknowledged)
				}
				reply(a)
			})
		}, func(answer any, ok bool) {
			got, _ := answer.(protocol.OperatorResponse)
			if ok && isFinalStatus(got.Status) && (got.Status != http.StatusNotFound || w.random.IntN(2) == 0) {
				w.recorder.operatorAnswered(w, c, request, got)
				done(got, true)
				return
			}
			attempts++
			w.schedule(time.Duration(attempts)*operatorPauseStep, attempt)
		})
	}
	attempt()
}

// replaceConfig sends a change and records its outcome.
func (w *world) replaceConfig(client int, o *configChange, then func(accepted bool)) {
	from := w.nextStamp()
	in := configInput{base: o.base, version: o.version, content: string(o.content)}
	w.tracef("operator %d sends %d on %d", client, o.version, o.base)
	w.sendOperatorRequest(protocol.OperatorRequest{Replace: true, Base: o.base, Content: o.content}, func(got protocol.OperatorResponse, isFinal bool) {
		w.tracef("operator %d: %d on %d: %d", client, o.version, o.base, got.Status)
		if !isFinal {
			w.config.add(client, from, noReturn, in, configOutput{})
			then(false)
			return
		}
		w.config.add(client, from, w.nextStamp(), in, configOutput{status: got.Status})
		if got.Status == http.StatusOK {
			w.recordAccepted(o)
		}
		then(got.Status == http.StatusOK)
	})
}

// recordAccepted records a change whose acceptance was acknowledged to an operator.
func (w *world) recordAccepted(o *configChange) {
	w.config.acknowledged = append(w.config.acknowledged, acknowledgedVersion{version: o.version, at: w.now})
	w.config.newest = max(w.config.newest, o.version)
	w.config.accepted = append(w.config.accepted, o)
}

// readConfig reads the configuration and records the answer. then gets its version, or -1 if there
// was no answer.
func (w *world) readConfig(client int, then func(version int64)) {
	from := w.nextStamp()
	w.sendOperatorRequest(protocol.OperatorRequest{}, func(got protocol.OperatorResponse, isFinal bool) {
		version := int64(0)
		switch {
		case !isFinal:
			then(-1)
			return
		case got.Status == http.StatusOK:
			config, err := opconfig.Parse(got.Content)
			if err != nil {
				w.fail("CONFIG: what is read back is not a configuration: %v", err)
			}
			version = config.Version
		}
		w.config.add(client, from, w.nextStamp(), configInput{read: true}, configOutput{content: string(got.Content)})
		then(version)
	})
}

// runOperator runs an operator that changes the configuration a number of times, each change based
// on a version that it has read before.
func (w *world) runOperator(client int, changes int) {
	if changes == 0 || w.noNewLoad {
		return
	}
	again := func(bool) {
		w.schedule(w.randomBetween(20*time.Millisecond, 900*time.Millisecond), func() { w.runOperator(client, changes-1) })
	}
	if len(w.config.accepted) > 0 && w.random.IntN(6) == 0 { // it sends an accepted change again
		w.replaceConfig(client, w.config.accepted[w.random.IntN(len(w.config.accepted))], again)
		return
	}
	w.readConfig(client, func(version int64) {
		if version < 0 {
			again(false)
			return
		}
		next := version + 1 + int64(w.random.IntN(2)) // the other operators may choose the same number
		base := version
		if w.random.IntN(12) == 0 {
			base = max(0, version-1)
		}
		w.replaceConfig(client, &configChange{base: base, version: next, content: configText(next, w.random.IntN(2), w.random.IntN(2), 1000+w.random.IntN(3))}, again)
	})
}
