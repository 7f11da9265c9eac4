package policy

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Affinity: a worker may keep the data that the jobs of an affinity key need, and any other worker
// has to fetch it first, which takes as long as a job. So jobs of one key go to the same few
// workers, its homes, which are the same at all dispatchers without a message between them:
// rendezvous hashing (Thaler and Ravishankar, 1998).

const (
	// affinityWindow is the number of jobs that the shares of the keys are of; it is halved there.
	affinityWindow = 2000.0
	// homePriorJobs weakens what is seen among few jobs.
	homePriorJobs = 20.0
	// extraHomes is how many more workers, at most, may hold a key whose homes have no room.
	extraHomes = 3
	// spareHomes is how many workers are ranked beyond, for homes that can't be used now.
	spareHomes = 4
	// unresponsiveZone is the number of unresponsive workers in a row of another zone from which
	// that zone counts as cut off.
	unresponsiveZone = 3
)

// affinityStats is what is known of an affinity key.
type affinityStats struct {
	hash         uint32    // of the key, which itself is not kept
	jobs         float64   // that named it, fading
	ranked       []*worker // the first ones of its order of workers
	tableVersion uint64    // of the table of workers that the order is of
}

// affinityOf counts a job for its affinity key, of which it keeps a hash alone; nil: the job has
// none.
func (d *Dispatcher) affinityOf(r Request) *affinityStats {
	if r.AffinityKey == "" {
		return nil
	}
	h := fnv.New32a()
	h.Write([]byte(r.AffinityKey))
	s := d.affinities[h.Sum32()]
	if s == nil {
		s = &affinityStats{hash: h.Sum32()}
		d.affinities[s.hash] = s
	}
	s.jobs++
	if d.affinityJobs++; d.affinityJobs >= affinityWindow {
		d.affinityJobs /= 2
		for hash, s := range d.affinities {
			if s.jobs /= 2; s.jobs < 1 {
				delete(d.affinities, hash)
			}
		}
	}
	return s
}

// homes returns the workers that are to serve a job's affinity key: as many as its share of the
// jobs asks for, and with more set further ones, for where those have no room. The place of one
// that can't be used is taken by the next in the key's order. The slice is good until the next
// call.
func (d *Dispatcher) homes(j *job, more int) []*worker {
	s := j.affinity
	if s == nil {
		return nil
	}
	n := 1 + int(s.jobs/(d.affinityJobs+homePriorJobs)*float64(len(d.workers)))
	n += more * min(n, extraHomes)
	if s.tableVersion != d.tableVersion || len(s.ranked) < min(n+spareHomes, len(d.workers)) {
		d.rankWorkers(s, min(2*n+spareHomes, len(d.workers)))
	}
	d.homeBuffer = d.homeBuffer[:0]
	for i := 0; i < len(s.ranked) && len(d.homeBuffer) < n; i++ {
		w := s.ranked[i]
		cut := w.Zone != d.Zone && d.unresponsive[w.Zone] >= unresponsiveZone
		if w.State == Ready && !cut && d.compatible(j, w) && !d.warmingUp(w) && !d.avoided(w, j) {
			d.homeBuffer = append(d.homeBuffer, w)
		}
	}
	return d.homeBuffer
}

// rankWorkers takes the first n workers in a key's order.
func (d *Dispatcher) rankWorkers(s *affinityStats, n int) {
	all := slices.SortedFunc(slices.Values(d.workers), func(a, b *worker) int {
		byChance := cmp.Compare(b.hashFraction(uint64(s.hash)), a.hashFraction(uint64(s.hash)))
		return cmp.Or(byChance, cmp.Compare(a.Number, b.Number))
	})
	s.ranked, s.tableVersion = slices.Clone(all[:n]), d.tableVersion
}
