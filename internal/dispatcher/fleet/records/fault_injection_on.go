//go:build faults

package records

import "os"

// faultResurrectPruned is the injected fault that makes a State store records that were
// pruned, which the checkers must find. BASALTLOFT_PLANT=resurrected sets it for a process.
var faultResurrectPruned = os.Getenv("BASALTLOFT_PLANT") == "resurrected"
