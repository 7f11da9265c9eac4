package controlplane

import "time"

// processorInterval is the interval at which a process's use of the processor is sampled. A platform
// that grants a share of a processor as a quota grants it for each such interval.
const processorInterval = 100 * time.Millisecond

const (
	// busyShare and saturatedShare of the quota: an interval that used more counts as busy, or as
	// saturated.
	busyShare      = 0.5
	saturatedShare = 0.9
)

// processorUse tells how evenly a process used its processor time since the last report: a mean says
// nothing of a process that stands still for a part of each interval. The zero value has no intervals.
type processorUse struct {
	intervals        int
	busy             int           // intervals above busyShare of the quota
	saturated        int           // intervals above saturatedShare of the quota
	longestSaturated int           // most saturated intervals in a row
	saturatedNow     int           // saturated intervals in a row up to now
	used             time.Duration // processor time
	worstLag         time.Duration // the latest that a sample was taken after it was due
}

// add takes in one sample: the processor time that was used and the time that passed since the one
// before. quota is the share of a processor that the process may use; 0: it has no limit.
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

// processorShare returns the processor time that was used, as a share of what the quota allows.
func processorShare(used, passed time.Duration, quota float64) float64 {
	if quota <= 0 {
		quota = 1
	}
	return used.Seconds() / (passed.Seconds() * quota)
}

// take returns the sums and begins new ones. A row of saturated intervals goes on over it.
func (u *processorUse) take() processorUse {
	taken := *u
	*u = processorUse{saturatedNow: u.saturatedNow, longestSaturated: u.saturatedNow}
	return taken
}
