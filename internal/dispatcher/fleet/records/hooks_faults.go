//go:build faults

package records

import "os"

// plantResurrected makes a state take in records that were cut: a bug that the
// checker must find. BASALTLOFT_PLANT=resurrected sets it for a process.
var plantResurrected = os.Getenv("BASALTLOFT_PLANT") == "resurrected"
