// Package simprotocol reads and writes the simulator's line protocol, in which a host drives
// the policy dispatchers of many instances: events come in, in batches, and actions go out. It
// makes no decisions: it translates the protocol's words and units into the types of package
// policy and back, and rejects what it can't read.
//
// A line is a message's name and fields, NAME<TAB>key=value<TAB>...; times are in nanoseconds
// since the start of the simulation. A batch is the lines from BEGIN_BATCH to EOB; the reply to
// it ends with FINISHED.
package simprotocol
