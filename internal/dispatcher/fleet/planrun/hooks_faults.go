//go:build faults

package planrun

import "os"

// faultTwice, set by BASALTLOFT_FAULT_TWICE=1, lets a Book send a never-twice job
// again that may have run: the checkers of plan runs must trip over it.
var faultTwice = os.Getenv("BASALTLOFT_FAULT_TWICE") == "1"
