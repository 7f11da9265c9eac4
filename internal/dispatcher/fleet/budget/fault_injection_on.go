//go:build faults

package budget

import "os"

// Faults that the checkers must find. BASALTLOFT_FAULT_SHARES=full lets a share that
// has grown begin with a full bucket; =twice gives what an older incarnation holds to
// the new one at once.
var (
	faultFullBucket = os.Getenv("BASALTLOFT_FAULT_SHARES") == "full"
	faultGrantTwice = os.Getenv("BASALTLOFT_FAULT_SHARES") == "twice"
)
