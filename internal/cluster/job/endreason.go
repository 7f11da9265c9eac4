package job

// EndReason is the reason for the end of a run. Its numbers are stored in the log.
type EndReason uint8

// Reasons for the end of a run. All but the last two are reported by runners.
const (
	EndDone           EndReason = iota + 1 // the task is complete
	EndFailed                              // the task failed; it counts against the job's retries
	EndStopped                             // stopped by an order
	EndLeaseExpired                        // the runner stopped it because its task lease was not renewed
	EndGangBroken                          // another member of its gang ended for a reason other than EndDone
	EndGangIncomplete                      // the other members of its gang did not start in time
	EndRejected                            // it never began: the runner rejected the order to start it
	EndLost                                // it is certainly over, but no runner has reported its end
)

// endReasonNames maps the names of the runners' protocol to reasons.
var endReasonNames = map[string]EndReason{
	"done":    EndDone,
	"failed":  EndFailed,
	"stopped": EndStopped,
	"lapsed":  EndLeaseExpired,
	"broken":  EndGangBroken,
	"alone":   EndGangIncomplete,
}

// ParseEndReason returns the reason for a name that a runner reported. For an unknown name it returns
// EndLeaseExpired, which does not count as a failure.
func ParseEndReason(name string) EndReason {
	if reason, ok := endReasonNames[name]; ok {
		return reason
	}
	return EndLeaseExpired
}

// reported reports whether runners report ends with this reason.
func (r EndReason) reported() bool { return r != EndRejected && r != EndLost }
