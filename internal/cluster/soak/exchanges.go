package soak

import (
	"sync/atomic"
	"time"
)

// lossSlack is how long after a request's last byte its connection may be closed without the request counting
// as read: a process that closes an idle connection can't see a request that is still in transit.
const lossSlack = 200 * time.Millisecond

// exchanges checks and counts the exchanges of clients and operators.
type exchanges struct {
	timeline *Timeline
	findings *Findings

	answered, refused, cut, silent, unsent atomic.Int64
}

// record counts and checks an exchange that has ended.
func (x *exchanges) record(e *Exchange) {
	switch e.outcome {
	case answered:
		x.countAnswer(e)
	case cut:
		x.cut.Add(1)
		if x.isLost(e) && x.timeline.isCalm(e.lastByte, e.ended) {
			x.findings.add(RuleLost, "%s", x.describe(e))
		}
	case silent:
		x.silent.Add(1)
		if x.timeline.isCalm(e.lastByte, e.ended) {
			x.findings.add(RuleHeld, "%s", x.describe(e))
		}
	case unsent:
		x.unsent.Add(1)
	}
}

func (x *exchanges) countAnswer(e *Exchange) {
	if e.hasDefiniteAnswer() {
		x.answered.Add(1)
	} else {
		x.refused.Add(1)
	}
}

// isLost reports whether a request whose connection was closed counts as read: a part of its answer arrived,
// or the connection stayed open for longer than lossSlack. If this process stalled meanwhile, it can't measure
// how long the connection stayed open.
func (x *exchanges) isLost(e *Exchange) bool {
	return e.partial || e.ended.Sub(e.lastByte) > lossSlack && !x.timeline.hasStalled(e.lastByte, e.ended)
}

func (x *exchanges) describe(e *Exchange) string {
	t := x.timeline
	connection := "new connection"
	if e.reused {
		connection = "reused connection"
	}
	return e.request.method + " " + e.request.path + " at " + e.target + " on a " + connection + ", sent " + t.at(e.lastByte) + ", ended " + t.at(e.ended) +
		": " + errorText(e.err) + "; near: " + t.near(e.lastByte, e.ended)
}

func errorText(err error) string {
	if err == nil {
		return "no error"
	}
	return err.Error()
}
