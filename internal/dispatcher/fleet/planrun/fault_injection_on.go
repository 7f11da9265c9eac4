//go:build faults

package planrun

import "os"

// faultRunTwice, set by BASALTLOFT_FAULT_TWICE=1, makes a Tracker allow a further attempt at
// an at-most-once job that may have run. The checkers of plan runs must detect this fault.
var faultRunTwice = os.Getenv("BASALTLOFT_FAULT_TWICE") == "1"
