package accounting

import "basaltloft/internal/dispatcher/policy"

// statusNames are the names that metrics and logs print.
var statusNames = [flowStatuses]string{
	policy.OK:             "ok",
	policy.Error:          "error",
	policy.Rejected:       "full",
	policy.TimedOut:       "timed out",
	policy.ConnectFailed:  "connect failed",
	policy.Reset:          "reset",
	policy.Cancelled:      "cancelled",
	policy.NotSent:        "moot",
	policy.InvalidRequest: "unfit",
}

// StatusName returns the name of how a flow ended.
func StatusName(s policy.Status) string { return statusNames[s] }

// StatusNameAt returns the name of an index of FlowCounts.Ends.
func StatusNameAt(i int) string { return statusNames[i] }
