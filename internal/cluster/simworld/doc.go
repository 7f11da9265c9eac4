// Package simworld has tests only: a deterministic simulation of the cluster scheduler's control
// plane, in virtual time and one goroutine, from one seed. The code under test is production code:
// the replica groups with their logs, the leaders of the configuration and of the shards, the
// dispatchers' watchers and calls, bootstrap and joining. The event loops that drive it, the
// network, disks, clocks, operators, clients and runners are simulated.
//
// A process may be frozen whenever it reads its clock: other processes continue while it is in the
// middle of a function, and it continues later without noticing. So each action may happen long
// after the check that allowed it.
//
// The same seed gives the same run; TestSeedDigests compares the digests of 200 runs with those in
// a golden file.
//
// BASALTLOFT_SEEDS sets how many seeds TestManySeeds runs, BASALTLOFT_FIRST the first one;
// BASALTLOFT_SEED runs one, with its trace. docs/control-safety.md describes what is checked.
package simworld
