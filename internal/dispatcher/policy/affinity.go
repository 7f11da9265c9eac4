package policy

import (
	"cmp"
	"hash/fnv"
	"slices"

	"basaltloft/internal/shared/saturating"
)

// Affinity: a worker may keep the data that the jobs of an affinity key need. Any other worker has
// to fetch the data first, which takes as long as a job. So the jobs of a key go to the same few
// workers, the homes of the key. All dispatchers choose the same homes without exchanging messages,
// by rendezvous hashing (Thaler and Ravishankar, 1998).

const (
	// affinityWindow is the number of jobs over which the shares of the keys are counted; at this
	// number all counts are halved.
	affinityWindow = 2000.0
	// homePriorJobs is added to the number of jobs when a key's share is computed, so that a few
	// jobs do not give a key a large share.
	homePriorJobs = 20.0
	// extraHomes is the maximum number of additional homes of a key whose homes have no capacity.
	extraHomes = 3
	// spareHomes is how many further workers are ranked, to replace homes that can't be used now.
	spareHomes = 4
	// zoneCutOffCount: after this many unresponsive workers in a row, another zone counts as cut
	// off from this dispatcher.
	zoneCutOffCount = 3
)

// affinityStats is the state of one affinity key.
type affinityStats struct {
	hash         uint32    // of the key; the key itself is not kept
	jobs         float64   // decaying count of the jobs with this key
	ranked       []*worker // the first workers in the key's order
	tableVersion uint64    // the version of the worker table that was ranked
}

// affinityOf counts a job for its affinity key and returns the key's state, or nil if the job has no
// key. Only a hash of the key is kept.
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

// homes returns the workers that serve a job's affinity key: a number in proportion to the key's
// share of the jobs, and additional ones with more = 1, to be used if the others have no capacity. A
// home that can't be used is replaced by the next worker in the key's order. The slice is valid
// until the next call.
func (d *Dispatcher) homes(j *job, more int) []*worker {
	s := j.affinity
	if s == nil {
		return nil
	}
	n := 1 + saturating.Int(s.jobs/(d.affinityJobs+homePriorJobs)*float64(len(d.workers)))
	n += more * min(n, extraHomes)
	if s.tableVersion != d.tableVersion || len(s.ranked) < min(n+spareHomes, len(d.workers)) {
		d.rankWorkers(s, min(2*n+spareHomes, len(d.workers)))
	}
	d.homeBuffer = d.homeBuffer[:0]
	for i := 0; i < len(s.ranked) && len(d.homeBuffer) < n; i++ {
		w := s.ranked[i]
		cutOff := w.Zone != d.Zone && d.unresponsive[w.Zone] >= zoneCutOffCount
		if w.State == Ready && !cutOff && d.compatible(j, w) && !d.warmingUp(w) && !d.avoided(w, j) {
			d.homeBuffer = append(d.homeBuffer, w)
		}
	}
	return d.homeBuffer
}

// rankWorkers stores the first n workers in a key's order.
func (d *Dispatcher) rankWorkers(s *affinityStats, n int) {
	all := slices.SortedFunc(slices.Values(d.workers), func(a, b *worker) int {
		byHash := cmp.Compare(b.hashFraction(uint64(s.hash)), a.hashFraction(uint64(s.hash)))
		return cmp.Or(byHash, cmp.Compare(a.Number, b.Number))
	})
	s.ranked, s.tableVersion = slices.Clone(all[:n]), d.tableVersion
}
