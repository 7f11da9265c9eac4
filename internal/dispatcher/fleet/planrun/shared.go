package planrun

import (
	"slices"
	"time"
)

// Output is an output that plans share by a key: made by one run at a time, for all.
type Output struct {
	Key     string
	Gen     uint64 // made, or being made
	Ready   bool
	Until   time.Duration // who comes later has it made anew
	Results [][]byte
	Owner   *User // who makes it; nil: nobody
	Users   []User
}

// User is a stage of a run under way that uses an output, or waits for it.
type User struct {
	Run   string
	Stage int
}

func (o *Output) owned(r *Run, stage int) bool {
	return !o.Ready && o.Owner != nil && *o.Owner == User{r.ID, stage}
}

// attach joins a stage that was just opened to its output: it takes what is there
// and good, waits for what is being made, or makes it.
func (b *Book) attach(at time.Duration, r *Run, stage int) {
	key, me := r.Stages[stage].Key, User{r.ID, stage}
	o := b.shared[key]
	if o == nil {
		o = &Output{Key: key, Gen: b.newest + 1} // above all that the key had, should it have been dropped
		b.shared[key] = o
	}
	o.Users = append(o.Users, me)
	switch {
	case o.Ready && at < o.Until:
		r.take(stage, o)
		return
	case o.Ready: // those that have it go on with it
		o.Gen++
		o.Ready, o.Results, o.Owner = false, nil, &me
	case o.Owner == nil:
		o.Owner = &me
	}
	b.newest = max(b.newest, o.Gen)
	r.Stages[stage].Gen = o.Gen
}

// take gives a stage an output that is there.
func (r *Run) take(stage int, o *Output) {
	st := &r.Stages[stage]
	st.Gen, st.Joined, st.Copied = o.Gen, true, o.Results
}

// publish gives the output that a stage has made to all that wait for it. It counts
// whoever the owner is by now: the first to be there is good.
func (b *Book) publish(at time.Duration, r *Run, stage int) {
	st := &r.Stages[stage]
	o := b.shared[st.Key]
	if st.Key == "" || o == nil || o.Ready || o.Gen != st.Gen {
		return
	}
	o.Ready, o.Owner, o.Results = true, nil, st.Results()
	o.Until = at + r.shape.Stages[stage].SharedFor
	for _, u := range slices.Clone(o.Users) {
		if w := b.runs[u.Run]; w != nil && w.Gave == nil && !w.Stages[u.Stage].Joined {
			w.take(u.Stage, o)
			if w != r {
				b.settle(at, w)
			}
		}
	}
}

// renewShared has the generation after gen made by a run that has lost it, unless
// another has begun to. Other runs that still need the output wait for it,
// and keep what they did with the lost one until a stage of theirs reports it.
func (b *Book) renewShared(o *Output, r *Run, stage int, gen uint64) (fresh bool) {
	if o.Gen > gen {
		if r.Stages[stage].Gen = o.Gen; o.Ready {
			r.take(stage, o)
		}
		return false
	}
	o.Gen, o.Ready, o.Results, o.Owner = gen+1, false, nil, &User{r.ID, stage}
	b.newest = max(b.newest, o.Gen)
	r.Stages[stage].Gen = o.Gen
	for _, u := range o.Users {
		w := b.runs[u.Run]
		if w == r && u.Stage == stage || w.Gave != nil || w.Stages[u.Stage].Gen > gen || !w.wants(u.Stage) {
			continue
		}
		w.unjoin(u.Stage, o.Gen)
	}
	return true
}

// wants tells whether something is still to be done with a stage's output.
func (r *Run) wants(stage int) bool {
	for i := range r.Stages {
		if i == stage && !r.Stages[i].Joined || r.shape.hangs(i, stage) && !r.Stages[i].Joined {
			return true
		}
	}
	return false
}

// leave takes a run that needs no more output off all that it uses.
func (b *Book) leave(r *Run) {
	for i := range r.Stages {
		o := b.shared[r.Stages[i].Key]
		if r.Stages[i].Key == "" || o == nil {
			continue
		}
		me := User{r.ID, i}
		o.Users = slices.DeleteFunc(o.Users, func(u User) bool { return u == me })
		b.pass(o, me)
		if len(o.Users) == 0 && !o.Ready {
			delete(b.shared, o.Key)
		}
	}
}

// handOn gives what a run was making to others that wait for it, if there are any
// whose coordinator lives.
func (b *Book) handOn(r *Run) {
	for i := range r.Stages {
		if o := b.shared[r.Stages[i].Key]; r.Stages[i].Key != "" && o != nil {
			b.pass(o, User{r.ID, i})
		}
	}
}

// pass finds a new owner of an output, if from is its owner: the first in line that
// waits and has a coordinator, else the first that waits.
func (b *Book) pass(o *Output, from User) {
	if o.Ready || o.Owner == nil || *o.Owner != from {
		return
	}
	o.Owner = nil
	for _, u := range o.Users {
		w := b.runs[u.Run]
		if w == nil || w.Gave != nil || w.Stages[u.Stage].Joined {
			continue
		}
		if o.Owner == nil || !w.Orphan {
			o.Owner = &User{u.Run, u.Stage}
		}
		if !w.Orphan {
			return
		}
	}
}

func (b *Book) pruneShared(at time.Duration) {
	for key, o := range b.shared { // in any order: each is judged by itself
		if o.Ready && len(o.Users) == 0 && o.Until <= at {
			delete(b.shared, key)
		}
	}
}
