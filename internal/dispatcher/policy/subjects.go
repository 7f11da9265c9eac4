package policy

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Subjects: a worker may keep what a subject needs, and any other one has to get that first, for as long as a
// job takes. So jobs of one subject go to the same few workers, the same ones at all dispatchers without a word
// among them ("rendezvous hashing", Thaler and Ravishankar, 1998).

const (
	subjectsFor = 2000.0 // so many jobs' subjects count, or half as many
	homesPrior  = 20.0   // what is seen among few jobs counts for less
	homesMore   = 3      // so many more, at most, may hold a subject whose homes have no room
	homesSpare  = 4      // workers ranked beyond, for those that can't be homes now
	zoneCut     = 3      // so many silent ones in a row of another zone, and it is taken for cut off
)

// subject is what is known of a subject.
type subject struct {
	hash  uint32
	jobs  float64   // that named it, fading
	ranks []*worker // the first ones in the order of its chances at each
	lists uint64    // as of which change of the table of workers
}

// about counts a job for its subject; nil: it named none. Of subjects only hashes are kept, of few jobs at most.
func (d *Dispatcher) about(r Request) *subject {
	if r.AffinityKey == "" {
		return nil
	}
	h := fnv.New32a()
	h.Write([]byte(r.AffinityKey))
	s := d.subjects[h.Sum32()]
	if s == nil {
		s = &subject{hash: h.Sum32()}
		d.subjects[s.hash] = s
	}
	s.jobs++
	if d.told++; d.told >= subjectsFor {
		d.told /= 2
		for hash, s := range d.subjects {
			if s.jobs /= 2; s.jobs < 1 {
				delete(d.subjects, hash)
			}
		}
	}
	return s
}

// homes are the workers that a job's subject is kept at: as many as its share of the jobs asks for, or with more
// of its order, for where those have no room. Of one that is out of use the next in the order takes the place.
func (d *Dispatcher) homes(j *job, more int) []*worker {
	s := j.subject
	if s == nil {
		return nil
	}
	n := 1 + int(s.jobs/(d.told+homesPrior)*float64(len(d.workers)))
	n += more * min(n, homesMore)
	if s.lists != d.lists || len(s.ranks) < min(n+homesSpare, len(d.workers)) {
		d.rank(s, min(2*n+homesSpare, len(d.workers)))
	}
	d.home = d.home[:0]
	for i := 0; i < len(s.ranks) && len(d.home) < n; i++ {
		w := s.ranks[i]
		cut := w.Zone != d.Zone && d.unheardOf[w.Zone] >= zoneCut
		if w.State == Ready && !cut && d.suits(j, w) && !d.cold(w) && !d.dubious(w, j) {
			d.home = append(d.home, w)
		}
	}
	return d.home
}

// rank puts so many of the workers into a subject's order.
func (d *Dispatcher) rank(s *subject, n int) {
	all := slices.SortedFunc(slices.Values(d.workers), func(a, b *worker) int {
		return cmp.Or(cmp.Compare(b.chance(uint64(s.hash)), a.chance(uint64(s.hash))), cmp.Compare(a.Worker, b.Worker))
	})
	s.ranks, s.lists = slices.Clone(all[:n]), d.lists
}
