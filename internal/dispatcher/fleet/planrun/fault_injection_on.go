//go:build faults

package planrun

import "os"

// faultRunTwice, set by BASALTLOFT_FAULT_TWICE=1, lets a Tracker send an at-most-once
// job again that may have run: the checkers of plan runs must find it.
var faultRunTwice = os.Getenv("BASALTLOFT_FAULT_TWICE") == "1"
