package engine

import "github.com/sirupsen/logrus"

// trace logs what happens at one member, at the trace level. Load tests count the behaviour of the
// whole fleet over these lines, so that their messages and keys must not change.
func (e *Engine) trace(what string, fields func() logrus.Fields) {
	if l, ok := e.log.(*logrus.Logger); ok && l.IsLevelEnabled(logrus.TraceLevel) {
		l.WithFields(fields()).Trace(what)
	}
}

func (f *Flow) fields() logrus.Fields {
	t := f.Transaction
	return logrus.Fields{
		"transaction": t.ID, "class": t.Class, "hint": t.Hint.String(), "slots": t.Slots,
		"flow": f.Number, "member": f.Member.ID, "kind": f.Member.Kind,
	}
}

func (m *Member) fields() logrus.Fields { return logrus.Fields{"member": m.ID, "kind": m.Kind} }
