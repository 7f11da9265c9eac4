// Package systemtest runs three control-plane nodes and a dispatcher in one process, on loopback
// addresses and temporary disks, against fakes of the platform's instance list and of runners.
// The fakes are also used by package upgradetest; no program imports this package.
package systemtest
