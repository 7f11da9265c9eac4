//go:build faults

package budget

import "os"

// BASALTLOFT_FAULT_SHARES=full lets a share that grew start with a full bucket;
// =twice gives what an older incarnation holds to the new one at once.
var (
	plantFull  = os.Getenv("BASALTLOFT_FAULT_SHARES") == "full"
	plantTwice = os.Getenv("BASALTLOFT_FAULT_SHARES") == "twice"
)
