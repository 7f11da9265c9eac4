// Package simworld has tests only: it runs the control plane of the cluster scheduler in
// virtual time, in one goroutine, from one seed. What runs is the code of production: the
// replica groups with their logs on simulated disks, the leaders of the configuration and of the
// shards, the dispatchers' watchers and calls, bootstrap and joining. What drives them, the
// network, disks, clocks, operators, clients and runners are simulated.
//
// A process may be frozen whenever it reads its clock: other processes go on while it is in the
// middle of a function, and it goes on later without noticing. So each action may come long
// after the check that allowed it.
//
// The same seed gives the same run; TestSeedDigests compares 200 of them with those on file.
//
// BASALTLOFT_SEEDS sets how many seeds TestManySeeds runs, BASALTLOFT_FIRST the first one;
// BASALTLOFT_SEED runs one, with its trace. docs/control-safety.md says what is checked.
package simworld
