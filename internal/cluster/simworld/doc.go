// Package simworld has tests only: it runs the control side of the cluster scheduler in
// virtual time, in one goroutine, from one seed. What runs is what runs in service: the
// groups with their logs on simulated disks, the owners of the configuration and of the
// jobs' shards, the dispatchers' followers and calls, founding and joining. Drivers, network,
// disks, clocks, operators, clients and runners are simulated.
//
// A process may be frozen whenever it reads its clock: the rest of the world goes on in the
// middle of its function, and it goes on later as if nothing had happened. So every check
// can be outlived by its effect.
//
// BASALTLOFT_SEEDS sets how many seeds TestManySeeds plays; BASALTLOFT_SEED plays one, with
// its trace.
package simworld
