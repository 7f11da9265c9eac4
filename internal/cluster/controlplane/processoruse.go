package controlplane

import "time"

// processorInterval is the interval at which the used processor time is sampled. A platform that limits a
// process to a share of a processor grants this quota anew for each interval of the same length.
const processorInterval = 100 * time.Millisecond

const (
	// busyShare and saturatedShare are shares of the quota: an interval in which the process used more
	// counts as busy or as saturated, respectively.
	busyShare      = 0.5
	saturatedShare = 0.9
)

// processorUse summarizes how a process used processor time since the last report. It counts busy and
// saturated intervals because a mean hides that a process is throttled for a part of an interval. The zero
// value has no intervals.
type processorUse struct {
	intervals        int
	busy             int           // intervals above busyShare of the quota
	saturated        int           // intervals above saturatedShare of the quota
	longestSaturated int           // largest number of consecutive saturated intervals
	saturatedNow     int           // consecutive saturated intervals up to now
	used             time.Duration // processor time
	worstLag         time.Duration // maximum delay of a sample
}

// add records one sample: the processor time that was used, and the time that passed, since the previous
// sample. quota is the share of a processor that the process may use; 0 means no limit.
func (u *processorUse) add(used, passed time.Duration, quota float64) {
	u.intervals++
	u.used += used
	u.worstLag = max(u.worstLag, passed-processorInterval)
	share := processorShare(used, passed, quota)
	if share > busyShare {
		u.busy++
	}
	if share <= saturatedShare {
		u.saturatedNow = 0
		return
	}
	u.saturated++
	u.saturatedNow++
	u.longestSaturated = max(u.longestSaturated, u.saturatedNow)
}

// processorShare returns the used processor time as a share of the time that the quota allows. Without a
// quota, the share is that of one processor.
func processorShare(used, passed time.Duration, quota float64) float64 {
	if quota <= 0 {
		quota = 1
	}
	return used.Seconds() / (passed.Seconds() * quota)
}

// takeTotals returns the totals and resets them. A sequence of saturated intervals continues across calls.
func (u *processorUse) takeTotals() processorUse {
	totals := *u
	*u = processorUse{saturatedNow: u.saturatedNow, longestSaturated: u.saturatedNow}
	return totals
}
