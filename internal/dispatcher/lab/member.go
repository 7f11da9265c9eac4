package lab

import (
	"math"
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// MemberKind is one kind of pool member.
type MemberKind struct {
	Name         string
	Count        int
	Cores        int
	Slots        int           // that running jobs may use at a time
	Queue        int           // jobs that may wait; more are rejected
	Speed        float64       // of a core; at 1 a job runs as long as its work
	SpeedCV      float64       // coefficient of variation of the speed between members
	Cells        int           // deduplication groups; 0: one
	InitialSpeed float64       // share of its speed at its start
	WarmupTime   time.Duration // until it has its full speed
	// Crowding is the share of their speed that each job beyond CrowdFrom, or beyond the
	// cores if that is more, costs all of them: locks, memory, caches.
	Crowding  float64
	CrowdFrom int
	// Connections is how many it has at a time, one for each job that runs or waits; more
	// fail to connect. 0: no bound.
	Connections int
	Handshake   time.Duration // work for each attempt that it accepts
}

// member is a pool member: it runs in order what fits its slots, and has a bounded queue.
// Running jobs share its cores. Nothing that has begun is stopped but by a crash.
type member struct {
	world            *World
	number           uint32
	kind             *MemberKind
	cell             int
	speed            float64
	started          time.Duration // its latest start; 0: long ago
	state            policy.MemberState
	up               bool
	paused           bool
	partitionedUntil time.Duration // no message gets to it or from it until then
	speedFactor      float64       // a fault's factor on its speed
	queue            []*attempt
	running          []*attempt
	busySlots        float64       // that running jobs use
	advancedAt       time.Duration // up to which the work of its jobs is accounted
	planNumber       int           // of the latest scheduled step: older ones are void
	workDone         time.Duration // time of its cores that was in use
}

// attempt is one send of a request to a member.
type attempt struct {
	request    *request
	number     int
	dispatcher *dispatcher
	member     *member
	sentAt     time.Duration
	workLeft   float64 // nanoseconds at speed 1
	inFlight   bool    // its dispatcher does not know its result
	mayHaveRun bool    // it has begun to run
}

// warmth is the share of its speed that it has now, after a start.
func (m *member) warmth() float64 {
	k := m.kind
	if m.started == 0 || k.WarmupTime == 0 {
		return 1
	}
	age := float64(m.world.now-m.started) / float64(k.WarmupTime)
	return min(1, k.InitialSpeed+(1-k.InitialSpeed)*age)
}

// rate is how fast each running job goes: work in a nanosecond.
func (m *member) rate() float64 {
	if m.paused || len(m.running) == 0 {
		return 0
	}
	coreShare := min(1, float64(m.kind.Cores)/m.busySlots)
	crowding := 1 / (1 + m.kind.Crowding*max(0, float64(len(m.running)+len(m.queue)-max(m.kind.Cores, m.kind.CrowdFrom))))
	return m.speed * m.speedFactor * m.warmth() * coreShare * crowding
}

// advance accounts the work of the running jobs up to now.
func (m *member) advance() {
	if span := m.world.now - m.advancedAt; span > 0 && len(m.running) > 0 {
		if rate := m.rate(); rate > 0 {
			for _, a := range m.running {
				a.workLeft -= rate * float64(span)
			}
			m.workDone += span * time.Duration(min(float64(m.kind.Cores), m.busySlots))
		}
	}
	m.advancedAt = m.world.now
}

// warmupStep is how often the rate of a member that warms up is computed anew.
const warmupStep = 50 * time.Millisecond

// scheduleNext schedules the step at which the next job ends or the rate changes.
func (m *member) scheduleNext() {
	m.planNumber++
	rate := m.rate()
	if rate == 0 {
		return
	}
	least := math.Inf(1)
	for _, a := range m.running {
		least = min(least, a.workLeft)
	}
	next := time.Duration(math.Ceil(max(0, least) / rate))
	if m.warmth() < 1 {
		next = min(next, warmupStep)
	}
	turn := m.planNumber
	m.world.after(next, func() {
		if m.planNumber == turn {
			m.step()
		}
	})
}

// step ends the jobs whose work is done, and starts those that fit.
func (m *member) step() {
	m.advance()
	rest := m.running[:0]
	for _, a := range m.running {
		if a.workLeft > 0.5 {
			rest = append(rest, a)
			continue
		}
		m.busySlots -= a.request.slots
		m.world.reply(a, policy.OK)
	}
	clear(m.running[len(rest):])
	m.running = rest
	for len(m.queue) > 0 && m.busySlots+m.queue[0].request.slots <= float64(m.kind.Slots) {
		a := m.queue[0]
		m.queue = m.queue[1:]
		m.start(a)
	}
	m.scheduleNext()
}

// start runs an attempt.
func (m *member) start(a *attempt) {
	a.mayHaveRun = true
	m.busySlots += a.request.slots
	m.running = append(m.running, a)
	m.world.reportStart(a)
}

// receive accepts an attempt, or rejects it.
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
	m.scheduleNext()
}

// crash ends the process, and all its jobs.
func (m *member) crash() {
	m.advance()
	for _, a := range append(m.running, m.queue...) {
		m.world.reply(a, policy.Reset)
	}
	m.running, m.queue, m.busySlots, m.up = nil, nil, 0, false
	m.planNumber++
}

// restart starts the process, cold.
func (m *member) restart() {
	m.up, m.state, m.started, m.advancedAt = true, policy.Ready, max(m.world.now, 1), m.world.now
}

// drain lets it accept nothing more, and rejects what waits.
func (m *member) drain() {
	m.state = policy.Draining
	for _, a := range m.queue {
		m.world.reply(a, policy.Rejected)
	}
	m.queue = nil
}

// remainingTime is how long all its cores need for the jobs that it has, in nanoseconds:
// the baseline that sees the true state decides by it.
func (m *member) remainingTime() float64 {
	m.advance()
	sum := 0.0
	for _, a := range m.running {
		sum += max(0, a.workLeft)
	}
	for _, a := range m.queue {
		sum += a.workLeft
	}
	return sum / (m.speed * m.speedFactor * m.warmth() * float64(m.kind.Cores))
}
