package accounting

import "basaltloft/internal/dispatcher/policy"

// statusNames holds the names of flows' statuses in metrics and logs.
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

// StatusName returns the name of a flow's status in metrics and logs.
func StatusName(s policy.Status) string { return statusNames[s] }

// StatusNameAt returns the name of the status at an index of FlowCounts.Ends.
func StatusNameAt(i int) string { return statusNames[i] }
