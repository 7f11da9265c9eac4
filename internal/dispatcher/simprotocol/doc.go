// Package simprotocol reads and writes the simulator's line protocol, in which a simulator drives the policy
// dispatchers of many instances: it sends events in batches, and each batch is answered with actions. The
// package only converts the protocol's names and units to the types of package policy and back, and rejects
// invalid input; all decisions are made in package policy.
//
// A line is the name of a message and its fields, NAME<TAB>key=value<TAB>...; points in time are in
// nanoseconds since the start of the simulation. A batch is the lines from BEGIN_BATCH to EOB; the reply to
// it ends with FINISHED.
package simprotocol
