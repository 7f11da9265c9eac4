//go:build faults

package budget

import "os"

// Injected faults, which the checkers must find. With BASALTLOFT_FAULT_SHARES=full, each
// new grant begins with a full bucket; with =twice, what an older incarnation holds is
// granted to the new one at once.
var (
	faultFullBucket = os.Getenv("BASALTLOFT_FAULT_SHARES") == "full"
	faultGrantTwice = os.Getenv("BASALTLOFT_FAULT_SHARES") == "twice"
)
