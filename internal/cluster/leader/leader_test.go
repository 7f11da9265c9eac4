package leader_test

import (
	"time"

	"basaltloft/coord/group"
	"basaltloft/coord/replica"
)

// fakeGroup is a group of one replica. It commits the proposed commands when commit is called.
type fakeGroup struct {
	states         group.StateMachine
	leads          bool
	leaseChecks    int // number of checks so far
	expiresAtCheck int // number of the first check that finds the lease expired; 0: it never expires
	proposals      []func()
	proposeError   error
}

func (f *fakeGroup) Lease() (uint64, time.Duration, bool) { return 1, 0, f.IsLeader() }
func (f *fakeGroup) Leader() replica.Member               { return replica.Member{Address: "leader"} }

func (f *fakeGroup) IsLeader() bool {
	f.leaseChecks++
	return f.leads && (f.expiresAtCheck == 0 || f.leaseChecks < f.expiresAtCheck)
}

func (f *fakeGroup) Propose(command []byte, done func(any, error)) {
	f.proposals = append(f.proposals, func() {
		if f.proposeError != nil {
			done(nil, f.proposeError)
			return
		}
		result, err := f.states.Apply(1, command)
		done(result, err)
	})
}

// commit commits the proposed commands, in order.
func (f *fakeGroup) commit() {
	for len(f.proposals) > 0 {
		next := f.proposals[0]
		f.proposals = f.proposals[1:]
		next()
	}
}
