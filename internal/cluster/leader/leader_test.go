package leader_test

import (
	"time"

	"basaltloft/coord/group"
	"basaltloft/coord/replica"
)

// fakeGroup is a group of one replica that commits when commit is called.
type fakeGroup struct {
	states         group.StateMachine
	leads          bool
	leaseChecks    int // so far
	expiresAtCheck int // the number of the check at which the lease has expired; 0: it does not expire
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

// commit commits what was proposed.
func (f *fakeGroup) commit() {
	for len(f.proposals) > 0 {
		next := f.proposals[0]
		f.proposals = f.proposals[1:]
		next()
	}
}
