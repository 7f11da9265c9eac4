package lab

import (
	"math"
	"time"

	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/shared/saturating"
)

// MemberKind is one kind of pool member.
type MemberKind struct {
	Name         string
	Count        int
	Cores        int
	Slots        int           // that running jobs may use at the same time
	Queue        int           // jobs that may wait; more are rejected
	Speed        float64       // of a core; at speed 1 a job runs for as long as its work
	SpeedCV      float64       // coefficient of variation of the speed between members
	Cells        int           // deduplication groups; 0 means one
	InitialSpeed float64       // share of the full speed right after a start
	WarmupTime   time.Duration // from a start until full speed
	// Crowding is the slowdown by contention for locks, memory and caches: with n jobs
	// running or waiting beyond CrowdFrom, or beyond the cores if these are more, all jobs
	// run at 1/(1+n*Crowding) of their speed.
	Crowding  float64
	CrowdFrom int
	// Connections is the limit of concurrent connections, one for each job that runs or
	// waits; attempts beyond it fail to connect. 0 means no limit.
	Connections int
	Handshake   time.Duration // additional work for each accepted attempt
}

// member is a pool member: it starts jobs in the order of their arrival when they fit its free
// slots, and has a bounded queue. Running jobs share its cores. Only a crash ends a job that
// has started.
type member struct {
	world            *World
	number           uint32
	kind             *MemberKind
	cell             int
	speed            float64
	started          time.Duration // the latest start; 0 means long ago
	state            policy.MemberState
	up               bool
	paused           bool
	partitionedUntil time.Duration // no message reaches or leaves the member until then
	speedFactor      float64       // factor on the speed that a fault sets
	queue            []*attempt
	running          []*attempt
	busySlots        float64       // slots that running jobs use
	advancedAt       time.Duration // time up to which advance has accounted the work of the jobs
	stepVersion      int           // of the latest scheduled step; steps of older versions do nothing
	workDone         time.Duration // core time that was in use
}

// attempt is one send of a request to a member.
type attempt struct {
	request    *request
	number     int
	dispatcher *dispatcher
	member     *member
	sentAt     time.Duration
	workLeft   float64 // nanoseconds at speed 1
	inFlight   bool    // the dispatcher has no result of it
	mayHaveRun bool    // it has started to run
}

// warmupFactor returns the share of its full speed that the member has now, after a start.
func (m *member) warmupFactor() float64 {
	k := m.kind
	if m.started == 0 || k.WarmupTime == 0 {
		return 1
	}
	age := float64(m.world.now-m.started) / float64(k.WarmupTime)
	return min(1, k.InitialSpeed+float64((1-k.InitialSpeed)*age))
}

// rate returns the speed of each running job: work per nanosecond.
func (m *member) rate() float64 {
	if m.paused || len(m.running) == 0 {
		return 0
	}
	coreShare := min(1, float64(m.kind.Cores)/m.busySlots)
	crowding := 1 / (1 + float64(m.kind.Crowding*max(0, float64(len(m.running)+len(m.queue)-max(m.kind.Cores, m.kind.CrowdFrom)))))
	return m.speed * m.speedFactor * m.warmupFactor() * coreShare * crowding
}

// advance accounts the work that the running jobs have done up to now.
func (m *member) advance() {
	if span := m.world.now - m.advancedAt; span > 0 && len(m.running) > 0 {
		if rate := m.rate(); rate > 0 {
			for _, a := range m.running {
				a.workLeft -= float64(rate * float64(span))
			}
			m.workDone += span * saturating.Duration(min(float64(m.kind.Cores), m.busySlots))
		}
	}
	m.advancedAt = m.world.now
}

// warmupStep is the interval at which the rate of a member that warms up is recomputed.
const warmupStep = 50 * time.Millisecond

// scheduleStep schedules the step at which the next job ends or the rate changes, and
// invalidates the step that was scheduled before.
func (m *member) scheduleStep() {
	m.stepVersion++
	rate := m.rate()
	if rate == 0 {
		return
	}
	least := math.Inf(1)
	for _, a := range m.running {
		least = min(least, a.workLeft)
	}
	next := saturating.Duration(math.Ceil(max(0, least) / rate))
	if m.warmupFactor() < 1 {
		next = min(next, warmupStep)
	}
	version := m.stepVersion
	m.world.after(next, func() {
		if m.stepVersion == version {
			m.step()
		}
	})
}

// step ends the jobs whose work is done, and starts queued jobs that fit the free slots.
func (m *member) step() {
	m.advance()
	unfinished := m.running[:0]
	for _, a := range m.running {
		if a.workLeft > 0.5 {
			unfinished = append(unfinished, a)
			continue
		}
		m.busySlots -= a.request.slots
		m.world.reply(a, policy.OK)
	}
	clear(m.running[len(unfinished):])
	m.running = unfinished
	for len(m.queue) > 0 && m.busySlots+m.queue[0].request.slots <= float64(m.kind.Slots) {
		a := m.queue[0]
		m.queue = m.queue[1:]
		m.start(a)
	}
	m.scheduleStep()
}

// start starts to run an attempt.
func (m *member) start(a *attempt) {
	a.mayHaveRun = true
	m.busySlots += a.request.slots
	m.running = append(m.running, a)
	m.world.reportStart(a)
}

// receive starts, queues or rejects an attempt, or fails its connection.
func (m *member) receive(a *attempt) {
	switch {
	case !m.up || m.kind.Connections > 0 && len(m.running)+len(m.queue) >= m.kind.Connections:
		m.world.reply(a, policy.ConnectFailed)
		return
	case m.state == policy.Draining || len(m.queue) >= m.kind.Queue && m.busySlots+a.request.slots > float64(m.kind.Slots):
		m.world.reply(a, policy.Rejected)
		return
	}
	m.world.checker.attemptReceived(m, a)
	m.advance()
	a.workLeft += float64(m.kind.Handshake)
	if len(m.queue) == 0 && m.busySlots+a.request.slots <= float64(m.kind.Slots) {
		m.start(a)
	} else {
		m.queue = append(m.queue, a)
	}
	m.scheduleStep()
}

// crash ends the process and all its jobs.
func (m *member) crash() {
	m.advance()
	for _, a := range append(m.running, m.queue...) {
		m.world.reply(a, policy.Reset)
	}
	m.running, m.queue, m.busySlots, m.up = nil, nil, 0, false
	m.stepVersion++
}

// restart starts the process, cold.
func (m *member) restart() {
	m.up, m.state, m.started, m.advancedAt = true, policy.Ready, max(m.world.now, 1), m.world.now
}

// drain makes the member reject new attempts, and rejects the queued ones.
func (m *member) drain() {
	m.state = policy.Draining
	for _, a := range m.queue {
		m.world.reply(a, policy.Rejected)
	}
	m.queue = nil
}

// remainingTime returns how long all cores need for the member's jobs, in nanoseconds. The
// baseline "true state" uses it.
func (m *member) remainingTime() float64 {
	m.advance()
	sum := 0.0
	for _, a := range m.running {
		sum += max(0, a.workLeft)
	}
	for _, a := range m.queue {
		sum += a.workLeft
	}
	return sum / (m.speed * m.speedFactor * m.warmupFactor() * float64(m.kind.Cores))
}
